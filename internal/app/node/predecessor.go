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
	// startRetryTime is how long a start waits for an address, or for another hot restart to end: a new process has 6 s to be ready.
	startRetryTime     = 5500 * time.Millisecond
	startRetryInterval = 100 * time.Millisecond
	// unclearAnswerTime is how long a process is asked again that does not answer as it should.
	unclearAnswerTime = 2 * time.Second
	// maxStateReads is how often a state file is read that the disk does not give, and stateReadInterval how soon again.
	maxStateReads     = 10
	stateReadInterval = 100 * time.Millisecond
)

// retryStart tries until it succeeds, for as long as a start may take and the error is one to retry.
func retryStart[T any](try func() (T, error), retryable func(error) bool) (T, error) {
	for end := time.Now().Add(startRetryTime); ; time.Sleep(startRetryInterval) {
		x, err := try()
		if err == nil || !retryable(err) || time.Now().After(end) {
			return x, err
		}
	}
}

// predecessor asks the process that serves to hand over, and where there is none reads what one before has stored. Both are nil where there was
// neither.
func predecessor(cfg *platform.Config, dir string, now int64) (*hotrestart.Partner, *hotrestart.Handoff, error) {
	partner, handoff, err := requestHandover(cfg, dir, now)
	if errors.Is(err, hotrestart.ErrBusy) {
		return nil, nil, err
	}
	if err != nil {
		slog.Warn("hot_restart_failed", "reason", err) // it serves on beside this one
	}
	if partner != nil {
		return partner, handoff, nil
	}
	return nil, storedHandoff(dir, now), nil
}

// requestHandover asks the process that serves, again where it could not answer for the moment: beside it, with a queue of its own, this one
// would serve, and what waits in the old one's queue as that ends is lost.
func requestHandover(cfg *platform.Config, dir string, now int64) (*hotrestart.Partner, *hotrestart.Handoff, error) {
	type answer struct {
		partner *hotrestart.Partner
		handoff *hotrestart.Handoff
	}
	began := time.Now()
	a, err := retryStart(func() (answer, error) {
		partner, handoff, err := hotrestart.RequestHandover(dir, cfg.Listen, now)
		return answer{partner, handoff}, err
	}, func(err error) bool {
		return errors.Is(err, hotrestart.ErrBusy) || time.Since(began) < unclearAnswerTime
	})
	return a.partner, a.handoff, err
}

// storedHandoff is what a process before this one has stored; nil: nothing that can be used.
func storedHandoff(dir string, now int64) *hotrestart.Handoff {
	s, err := readState(dir, now)
	if err != nil {
		slog.Warn("state_file_ignored", "reason", err)
		hotrestart.SetAside(dir)
	}
	if s == nil {
		return nil
	}
	return &hotrestart.Handoff{Snapshot: s, Listener: -1, Datagram: -1}
}

// readState reads the state file, again where the disk fails for a moment: it holds what operators have said.
func readState(dir string, now int64) (s *proxy.Snapshot, err error) {
	for range maxStateReads {
		s, err = hotrestart.Read(dir, now)
		if system := new(fs.PathError); !errors.As(err, &system) {
			return s, err
		}
		time.Sleep(stateReadInterval)
	}
	return nil, err
}

// knownList is the endpoint list to start from: the other process's, where it is the same service's and newer than the platform's.
func knownList(cfg *platform.Config, s *proxy.Snapshot) proxy.Change {
	if s.Discovery != cfg.Discovery || s.Revision <= cfg.CachedList.Version {
		return cfg.CachedList
	}
	return proxy.Change{Kind: cfg.CachedList.Kind, Version: s.Revision, Hosts: s.Hosts}
}
