package node

import (
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"croftlock/internal/dataplane/upstreamtls"
	"croftlock/internal/operations/platform"
	"croftlock/internal/operations/settings"
)

// Signals returns a channel with the signals that a proxy handles. It must be called first, because
// a SIGHUP that arrives before the call ends the process.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// signalHandler handles signals on separate goroutines. SIGHUP reloads the files; SIGTERM and
// SIGINT start the shutdown.
type signalHandler struct {
	cfg       *platform.Config
	file      *settings.File      // the latest valid one; used only by the goroutine that reloads
	format    string              // the log's format from the command line
	tlsDialer *upstreamtls.Dialer // nil if connections to upstream hosts do not use TLS
	redirect  func(discovery string)
	shutDown  func()
}

// run handles signals until stopped is closed. It never blocks, so that a SIGTERM after a SIGHUP
// is handled at once even if the disk with the files hangs.
func (h *signalHandler) run(signals <-chan os.Signal, stopped <-chan struct{}) {
	reloads := make(chan struct{}, 1)
	defer close(reloads)
	go h.reloadOnRequest(reloads)
	for {
		select {
		case <-stopped:
			return
		case s, ok := <-signals:
			if !ok {
				return
			}
			if s != syscall.SIGHUP {
				slog.Info("stopping", "signal", s)
				h.shutDown()
				continue
			}
			select {
			case reloads <- struct{}{}:
			default: // a pending reload will read the files as they are now
			}
		}
	}
}

// reloadOnRequest reloads the files for each value in reloads until run ends. It runs on a separate
// goroutine, since neither the loop nor run may wait for a disk.
func (h *signalHandler) reloadOnRequest(reloads <-chan struct{}) {
	for range reloads {
		h.reload()
	}
}

// reload reads the settings file, which operators write, and the platform's configuration again. An
// invalid file changes nothing and does not prevent the other from being applied.
func (h *signalHandler) reload() {
	h.reloadSettings()
	if h.tlsDialer != nil {
		o := tlsOptions(h.file)
		h.tlsDialer.Reload(&o)
	}
	next, deferred, err := platform.Reload(os.Getenv, h.cfg)
	if err != nil {
		slog.Warn("reload_failed", "reason", err)
		return
	}
	slog.Info("reloaded", "discovery", next.Discovery, "at_next_start", strings.Join(deferred, ","))
	h.redirect(next.Discovery)
}

// reloadSettings applies the settings file again. It keeps the previous settings if the file is
// invalid.
func (h *signalHandler) reloadSettings() {
	file, err := Schema().Load(h.file.Path)
	if err != nil {
		slog.Warn("settings_failed", "file", h.file.Path, "reason", err)
		return
	}
	if h.file.Path != "" {
		h.file = file
		ConfigureLog(file, h.format)
		slog.Info("settings_reloaded", "file", file.Path)
	}
}
