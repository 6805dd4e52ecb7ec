package node

import (
	"errors"
	"io/fs"
	"log/slog"
	"time"

	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/operations/platform"
)

// predecessor asks the process that serves, if there is one, and else reads what one before has kept.
func predecessor(cfg *platform.Config, dir string, now int64) (*hotrestart.Partner, *hotrestart.Handoff, error) {
	type answer struct {
		p *hotrestart.Partner
		h *hotrestart.Handoff
	}
	began := time.Now()
	a, err := patiently(func() (answer, error) {
		p, h, err := hotrestart.RequestHandover(dir, cfg.Listen, now)
		return answer{p, h}, err
	}, func(err error) bool {
		// A process that could not answer in this moment is worth asking again: beside it, with a queue of its own, this one would serve, and what
		// waits in the old one's queue as that ends is lost.
		return errors.Is(err, hotrestart.ErrBusy) || time.Since(began) < askFor
	})
	if errors.Is(err, hotrestart.ErrBusy) {
		return nil, nil, err
	}
	if err != nil {
		slog.Warn("hot_restart_failed", "reason", err) // it serves on beside this one
	}
	if a.p != nil {
		return a.p, a.h, nil
	}
	k, err := readState(dir, now)
	if err != nil {
		slog.Warn("state_file_ignored", "reason", err)
		hotrestart.SetAside(dir)
	}
	if k == nil {
		return nil, nil, nil
	}
	return nil, &hotrestart.Handoff{Snapshot: k, Listener: -1, Datagram: -1}, nil
}

// askFor is for how long a process is asked that does not answer as it should: this one has 6 s to be ready.
const askFor = 2 * time.Second

// How often a state file is read that the disk does not give, and how soon again.
const (
	mostReads = 10
	readAgain = 100 * time.Millisecond
)

// readState gives what a process before this one has kept. A disk that fails for a moment is asked again: what operators have said stands there.
func readState(dir string, now int64) (k *proxy.Snapshot, err error) {
	for range mostReads {
		k, err = hotrestart.Read(dir, now)
		if system := new(fs.PathError); !errors.As(err, &system) {
			return k, err
		}
		time.Sleep(readAgain)
	}
	return nil, err
}

// known is the list to start from: what another process held, where it is the same service's and newer.
func known(cfg *platform.Config, h *hotrestart.Handoff) proxy.Change {
	if h == nil || h.Snapshot.Discovery != cfg.Discovery || h.Snapshot.Revision <= cfg.CachedList.Version {
		return cfg.CachedList
	}
	return proxy.Change{Kind: cfg.CachedList.Kind, Version: h.Snapshot.Revision, Hosts: h.Snapshot.Hosts}
}
