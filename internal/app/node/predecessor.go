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
	// startRetryTime is how long a start retries while an address is in use or another hot restart
	// is in progress. A new process must be ready within 6 s.
	startRetryTime     = 5500 * time.Millisecond
	startRetryInterval = 100 * time.Millisecond
	// invalidAnswerRetryTime is how long a handover request is retried if it fails for a reason
	// other than ErrBusy.
	invalidAnswerRetryTime = 2 * time.Second
	// maxStateReads is how many times a state file is read, at stateReadInterval, while the disk
	// fails.
	maxStateReads     = 10
	stateReadInterval = 100 * time.Millisecond
)

// retryStart calls attempt until it succeeds, returns an error that is not retryable, or
// startRetryTime has passed. It returns the results of the last call.
func retryStart[T any](attempt func() (T, error), retryable func(error) bool) (T, error) {
	for end := time.Now().Add(startRetryTime); ; time.Sleep(startRetryInterval) {
		result, err := attempt()
		if err == nil || !retryable(err) || time.Now().After(end) {
			return result, err
		}
	}
}

// requestOrReadHandoff requests a handover from the process that serves. If none hands over, it
// reads the state that an earlier process stored. partner is nil if no process hands over; handoff
// is nil if there is no stored state either. An error must end the start: the serving process
// rejects the handover because it already has a partner, is shutting down, or serves another
// address.
func requestOrReadHandoff(cfg *platform.Config, dir string, now int64) (partner *hotrestart.Partner, handoff *hotrestart.Handoff, err error) {
	partner, handoff, err = requestHandover(cfg, dir, now)
	if errors.Is(err, hotrestart.ErrBusy) {
		return nil, nil, err
	}
	if err != nil {
		slog.Warn("hot_restart_failed", "reason", err) // the other process continues to serve beside this one
	}
	if partner != nil {
		return partner, handoff, nil
	}
	return nil, storedHandoff(dir, now), nil
}

// requestHandover requests a handover from the process that serves, and retries while that process
// cannot answer. Without a handover this process would listen on a new socket, and the
// clients in the old process's accept queue would be lost when that process ends.
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

// storedHandoff returns the state that an earlier process stored. It returns nil if there is no
// usable state; a file that cannot be used is set aside.
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

// handoffWithoutSockets returns a handoff for a process that opens its own sockets.
func handoffWithoutSockets(snapshot *proxy.Snapshot) *hotrestart.Handoff {
	return &hotrestart.Handoff{Snapshot: snapshot, ListenerFD: -1, DatagramFD: -1}
}

// readState reads the state file. It retries while the disk fails, because the file holds the
// operators' suspensions.
func readState(dir string, now int64) (s *proxy.Snapshot, err error) {
	for range maxStateReads {
		s, err = hotrestart.ReadState(dir, now)
		if pathErr := new(fs.PathError); !errors.As(err, &pathErr) {
			return s, err
		}
		time.Sleep(stateReadInterval)
	}
	return nil, err
}

// knownList returns the endpoint list to start with. It is the list of s, which was handed over or
// stored by an earlier process, if it is of the same discovery service and newer than the
// platform's list. Otherwise it is the platform's.
func knownList(cfg *platform.Config, s *proxy.Snapshot) proxy.WatchEvent {
	if s.Discovery != cfg.Discovery || s.Revision <= cfg.CachedList.Version {
		return cfg.CachedList
	}
	return proxy.WatchEvent{Kind: cfg.CachedList.Kind, Version: s.Revision, Hosts: s.Hosts}
}
