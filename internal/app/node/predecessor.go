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
	// startRetryTime limits the retries, one every startRetryInterval, of a start while an address
	// is in use or another hot restart is in progress. The platform expects a new process to be
	// ready within 6 s.
	startRetryTime     = 5500 * time.Millisecond
	startRetryInterval = 100 * time.Millisecond
	// invalidAnswerRetryTime limits the retries of a handover request that fails with another error
	// than ErrBusy.
	invalidAnswerRetryTime = 2 * time.Second
	// maxStateReads is the maximum number of attempts, one every stateReadInterval, to read the
	// state file while the disk fails.
	maxStateReads     = 10
	stateReadInterval = 100 * time.Millisecond
)

// retryStart calls attempt every startRetryInterval until attempt succeeds or returns an error for
// which retryable is false, or until startRetryTime has passed. It returns the results of the last
// call. It blocks meanwhile, so the loop must not run yet.
func retryStart[T any](attempt func() (T, error), retryable func(error) bool) (T, error) {
	for end := time.Now().Add(startRetryTime); ; time.Sleep(startRetryInterval) {
		result, err := attempt()
		if err == nil || !retryable(err) || time.Now().After(end) {
			return result, err
		}
	}
}

// requestOrReadHandoff requests a handover from the process that serves. If none hands over, it
// reads the state that an earlier process stored in dir. partner is nil if no process hands over;
// handoff is nil if there is no stored state either. The only error is ErrBusy: the serving process
// rejects the handover because it already has a partner, is shutting down, or serves another
// address. The caller must then end this process. now is the loop's time in nanoseconds.
func (p *process) requestOrReadHandoff(dir string, now int64) (partner *hotrestart.Partner, handoff *hotrestart.Handoff, err error) {
	partner, handoff, err = requestHandover(p.cfg, dir, now)
	if errors.Is(err, hotrestart.ErrBusy) {
		return nil, nil, err
	}
	if err != nil {
		slog.Warn("hot_restart_failed", "reason", err)
		p.restart.besideUnresponsive = true
	}
	if partner != nil {
		return partner, handoff, nil
	}
	return nil, storedHandoff(dir, now), nil
}

// requestHandover requests a handover from the process that serves. It retries for startRetryTime
// while that process rejects the request, and for invalidAnswerRetryTime after other errors. Without
// a handover this process would listen on a new socket, and the clients in the old process's accept
// queue would be lost when that process ends. It returns nil without an error if no process serves.
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

// storedHandoff returns the state that an earlier process stored in dir, as a handoff without
// sockets. It returns nil if there is no usable state. It renames a file that cannot be used, so
// that the file is not overwritten. now is the loop's time in nanoseconds.
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

// readState reads the state file in dir. It retries up to maxStateReads times while the disk fails,
// because a start without the file would lose the operators' suspensions of hosts. It returns nil
// without an error if there is no file.
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

// movedDiscovery returns the address of the discovery service for a process whose configuration at its
// start names startAddress, given the state of the process before it. If that process was started with
// the same address, and a reload moved the discovery service since, it returns the address of the reload:
// the platform starts processes of a proxy with the same environment.
func movedDiscovery(startAddress string, s *proxy.Snapshot) string {
	if s.StartDiscovery == startAddress && s.Discovery != "" {
		return s.Discovery
	}
	return startAddress
}

// noRevision is the revision of a list that cannot be compared with those of the discovery service.
const noRevision = -1

// knownList returns the endpoint list to start with. This is the list of s, which an earlier process
// handed over or stored, if that list is from the configured discovery service and newer than the
// list in the platform's configuration. Otherwise it is the configuration's list. live reports whether s
// is of a running process: its list is what the proxy has been notified of, also if discovery has moved
// since and has not sent a list from there, so that the list has no revision there.
func knownList(cfg *platform.Config, s *proxy.Snapshot, live bool) proxy.WatchEvent {
	known := cfg.CachedList
	comparable := s.Discovery == cfg.Discovery && s.Revision >= 0
	switch {
	case comparable && s.Revision > known.Version:
		known.Version, known.Hosts = s.Revision, s.Hosts
	case !comparable && live && len(s.Hosts) > 0:
		known.Version, known.Hosts = noRevision, s.Hosts
	}
	return known
}
