package node

import (
	"log/slog"
	"os"
	"strings"
	"syscall"

	"croftlock/internal/dataplane/upstreamtls"
	"croftlock/internal/operations/platform"
	"croftlock/internal/operations/settings"
)

type node struct {
	cfg      *platform.Config
	file     *settings.File
	format   string            // of the log, from the command line
	link     *upstreamtls.Link // nil: upstream hosts speak plain TCP
	redirect func(discovery string)
	leave    func()
}

// obey takes signals for as long as the program runs. It never waits: SIGTERM begins to count when it is sent, also behind a SIGHUP whose files
// come from a disk that hangs.
func (n *node) obey(signals <-chan os.Signal) {
	reloads := make(chan struct{}, 1)
	go n.reloadEach(reloads)
	for s := range signals {
		if s != syscall.SIGHUP {
			slog.Info("stopping", "signal", s)
			n.leave()
			continue
		}
		select {
		case reloads <- struct{}{}:
		default: // one that has not begun yet will read what stands there now
		}
	}
}

// reloadEach reads the files again whenever it is told to, beside the loop, which must not wait for a disk. A file that can't be used changes
// nothing.
func (n *node) reloadEach(reloads <-chan struct{}) {
	for range reloads {
		n.reload()
	}
}

// reload reads both files again. They are two parties', so a fault in one does not hold up the other.
func (n *node) reload() {
	file, err := Schema().Load(n.file.Path)
	if err != nil {
		slog.Warn("settings_failed", "file", n.file.Path, "reason", err)
	} else if n.file.Path != "" {
		n.file = file
		Logs(file, n.format)
		slog.Info("settings_reloaded", "file", file.Path)
	}
	if n.link != nil {
		o := n.file.Value("tls").(upstreamtls.Options)
		n.link.Reload(&o)
	}
	next, later, err := platform.Reload(os.Getenv, n.cfg)
	if err != nil {
		slog.Warn("reload_failed", "reason", err)
		return
	}
	slog.Info("reloaded", "discovery", next.Discovery, "at_next_start", strings.Join(later, ","))
	n.redirect(next.Discovery)
}
