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

// Signals takes the signals that a proxy obeys. It comes before anything else: a SIGHUP that nobody takes ends the process.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// signalHandler acts on signals, beside the loop.
type signalHandler struct {
	cfg      *platform.Config
	file     *settings.File    // the latest one that could be used; the reloading goroutine's
	format   string            // of the log, from the command line
	link     *upstreamtls.Link // nil: upstream hosts speak plain TCP
	redirect func(discovery string)
	shutDown func()
}

// run acts on signals until stopped is closed. It never blocks, so that a SIGTERM behind a SIGHUP whose files come from a disk that hangs
// is acted on at once.
func (h *signalHandler) run(signals <-chan os.Signal, stopped <-chan struct{}) {
	reloads := make(chan struct{}, 1)
	defer close(reloads)
	go h.reloadEach(reloads)
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
			default: // one that has not begun yet will read what is there now
			}
		}
	}
}

// reloadEach reads the files again for each reload, until run ends. It has a goroutine of its own, since neither the loop nor run may wait for
// a disk.
func (h *signalHandler) reloadEach(reloads <-chan struct{}) {
	for range reloads {
		h.reload()
	}
}

// reload reads the settings file and the platform's configuration again. They are two parties', so a fault in one does not hold up the other;
// a file that cannot be used changes nothing.
func (h *signalHandler) reload() {
	h.reloadSettings()
	if h.link != nil {
		o := tlsOptions(h.file)
		h.link.Reload(&o)
	}
	next, later, err := platform.Reload(os.Getenv, h.cfg)
	if err != nil {
		slog.Warn("reload_failed", "reason", err)
		return
	}
	slog.Info("reloaded", "discovery", next.Discovery, "at_next_start", strings.Join(later, ","))
	h.redirect(next.Discovery)
}

func (h *signalHandler) reloadSettings() {
	file, err := Schema().Load(h.file.Path)
	if err != nil {
		slog.Warn("settings_failed", "file", h.file.Path, "reason", err)
		return
	}
	if h.file.Path != "" {
		h.file = file
		Logs(file, h.format)
		slog.Info("settings_reloaded", "file", file.Path)
	}
}
