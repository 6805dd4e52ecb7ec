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

const (
	// startRetryTime is how long a start retries where an address is in use or another hot restart is in progress: a new process has 6 s to
	// be ready.
	startRetryTime     = 5500 * time.Millisecond
	startRetryInterval = 100 * time.Millisecond
	// invalidAnswerRetryTime is how long a request to a process that answers with an error is retried.
	invalidAnswerRetryTime = 2 * time.Second
	// maxStateReads is how often a state file is read while the disk fails, at stateReadInterval.
	maxStateReads     = 10
	stateReadInterval = 100 * time.Millisecond
)

// retryStart retries until it succeeds, for as long as a start may take and the error is retryable.
func retryStart[T any](attempt func() (T, error), retryable func(error) bool) (T, error) {
	for end := time.Now().Add(startRetryTime); ; time.Sleep(startRetryInterval) {
		result, err := attempt()
		if err == nil || !retryable(err) || time.Now().After(end) {
			return result, err
		}
	}
}

// requestOrReadHandoff requests a handover from the process that serves, or else reads the state that an earlier one has stored. partner is nil
// where no process hands over, handoff where there is no stored state either. An error ends the start: the
// process that serves rejects a handover, since it has a partner already, is shutting down, or serves another address.
func requestOrReadHandoff(cfg *platform.Config, dir string, now int64) (partner *hotrestart.Partner, handoff *hotrestart.Handoff, err error) {
	partner, handoff, err = requestHandover(cfg, dir, now)
	if errors.Is(err, hotrestart.ErrBusy) {
		return nil, nil, err
	}
	if err != nil {
		slog.Warn("hot_restart_failed", "reason", err) // the other process goes on serving beside this one
	}
	if partner != nil {
		return partner, handoff, nil
	}
	return nil, storedHandoff(dir, now), nil
}

// requestHandover requests a handover from the process that serves, and retries where that one cannot answer for the moment. Without a handover
// this process would listen on a socket of its own, and the clients in the old one's accept queue would be lost at its end.
func requestHandover(cfg *platform.Config, dir string, now int64) (*hotrestart.Partner, *hotrestart.Handoff, error) {
	type answer struct {
		partner *hotrestart.Partner
		handoff *hotrestart.Handoff
	}
	startedAt := time.Now()
	a, err := retryStart(func() (answer, error) {
		partner, handoff, err := hotrestart.RequestHandover(dir, cfg.Listen, now)
		return answer{partner, handoff}, err
	}, func(err error) bool {
		return errors.Is(err, hotrestart.ErrBusy) || time.Since(startedAt) < invalidAnswerRetryTime
	})
	return a.partner, a.handoff, err
}

// storedHandoff is the state that an earlier process has stored; nil: there is none that can be used.
func storedHandoff(dir string, now int64) *hotrestart.Handoff {
	snapshot, err := readState(dir, now)
	if err != nil {
		slog.Warn("state_file_ignored", "reason", err)
		hotrestart.SetAsideState(dir)
	}
	if snapshot == nil {
		return nil
	}
	return handoffWithoutSockets(snapshot)
}

// handoffWithoutSockets is a handoff for a process that opens its own sockets.
func handoffWithoutSockets(snapshot *proxy.Snapshot) *hotrestart.Handoff {
	return &hotrestart.Handoff{Snapshot: snapshot, ListenerFD: -1, DatagramFD: -1}
}

// readState reads the state file, and retries while the disk fails: the file holds the operators' suspensions.
func readState(dir string, now int64) (s *proxy.Snapshot, err error) {
	for range maxStateReads {
		s, err = hotrestart.ReadState(dir, now)
		if system := new(fs.PathError); !errors.As(err, &system) {
			return s, err
		}
		time.Sleep(stateReadInterval)
	}
	return nil, err
}

// knownList is the endpoint list to start from: the one handed over, or stored by an earlier process, if it is of the same service and newer,
// else the platform's.
func knownList(cfg *platform.Config, s *proxy.Snapshot) proxy.WatchEvent {
	if s.Discovery != cfg.Discovery || s.Revision <= cfg.CachedList.Version {
		return cfg.CachedList
	}
	return proxy.WatchEvent{Kind: cfg.CachedList.Kind, Version: s.Revision, Hosts: s.Hosts}
}
