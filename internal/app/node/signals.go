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

// Signals returns a channel that receives SIGTERM, SIGINT and SIGHUP. It must be called before
// anything else that takes time, because a SIGHUP that arrives before the call ends the process.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// signalHandler handles signals on separate goroutines. SIGHUP reloads the files; SIGTERM and
// SIGINT start the shutdown.
type signalHandler struct {
	cfg       *platform.Config
	file      *settings.File         // the latest valid settings file; used only by the goroutine that reloads
	format    string                 // the log's format from the command line; empty if none was given
	tlsDialer *upstreamtls.Dialer    // nil if connections to upstream hosts do not use TLS
	redirect  func(discovery string) // sets the address of the discovery service
	shutDown  func()                 // starts the graceful shutdown
}

// run handles signals until stopped or signals is closed. It never waits for a reload, so that a
// SIGTERM after a SIGHUP is handled at once even if the disk with the files hangs.
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

// reload reads the settings file, which operators write, the TLS files that it names, and the
// platform's configuration again. An invalid file is logged and changes nothing; the others are
// still applied. Of the platform's configuration only the discovery address takes effect now; the
// log lists the changed parts that take effect at the next start.
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

// reloadSettings reads the settings file again and applies its log options. It keeps the previous
// settings if the file is invalid, and does nothing if the process has no settings file.
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
