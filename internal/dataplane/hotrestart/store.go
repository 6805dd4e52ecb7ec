package hotrestart

import (
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// Bounds of the backoff, the time from a failed write to the next attempt. It doubles with each failure.
const (
	minWriteBackoff = 50 * time.Millisecond
	maxWriteBackoff = time.Second
)

// Store writes snapshots of the process's state, for the next process, to the state file. It does so on
// its own goroutine, so that the loop does not wait for the disk. If several snapshots wait, only the
// latest is written.
type Store struct {
	loop *netio.Loop
	dir  string        // the private directory, which contains the state file
	wake chan struct{} // has an element if Save was called since the goroutine last received one

	mu        sync.Mutex      // guards the fields below
	pending   *proxy.Snapshot // nil if no snapshot waits to be written
	callbacks []func()        // to post to the loop after the next attempt to write
}

// NewStore returns a Store that writes to dir until the process exits. It removes incomplete files of
// a process that was killed during a write.
func NewStore(l *netio.Loop, dir string) *Store {
	unfinished, _ := filepath.Glob(filepath.Join(dir, "."+stateFile+".*"))
	for _, path := range unfinished {
		os.Remove(path)
	}
	s := &Store{loop: l, dir: dir, wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Save writes a snapshot asynchronously; it may be called from any goroutine. done, if not nil, is
// called on the loop once the snapshot is written or the first attempt has failed, so that no caller
// waits for a full disk. A failed write is retried until it succeeds or a newer snapshot replaces it.
func (s *Store) Save(snapshot *proxy.Snapshot, done func()) {
	s.mu.Lock()
	s.pending = snapshot
	if done != nil {
		s.callbacks = append(s.callbacks, done)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes pending snapshots until the process exits.
func (s *Store) run() {
	for range s.wake {
		s.writeUntilDone()
	}
}

// writeUntilDone writes until no snapshot is pending. It backs off after each failure, unless a newer
// snapshot arrives.
func (s *Store) writeUntilDone() {
	backoff := minWriteBackoff
	for isRetry := false; !s.writeNext(isRetry); isRetry = true {
		select {
		case <-s.wake:
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxWriteBackoff)
	}
}

// writeNext writes the pending snapshot, if any, and reports whether that succeeded; it returns true if
// none is pending. It posts the callbacks to the loop in either case. isRetry specifies whether the
// previous write failed: of several failures in succession only the first is logged, and then the
// success that ends them.
func (s *Store) writeNext(isRetry bool) bool {
	snapshot, callbacks := s.removePending()
	var err error
	if snapshot != nil {
		var readable bool
		if readable, err = writeState(s.dir, snapshot); err != nil && !isRetry {
			slog.Warn("state_not_saved", "dir", s.dir, "for_the_next_process", readable, "reason", err)
		}
	}
	if err != nil {
		s.requeue(snapshot)
	} else if isRetry {
		slog.Info("state_saved", "dir", s.dir)
	}
	for _, f := range callbacks {
		s.loop.Post(f)
	}
	return err == nil
}

// removePending removes and returns the pending snapshot and its callbacks.
func (s *Store) removePending() (*proxy.Snapshot, []func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot, callbacks := s.pending, s.callbacks
	s.pending, s.callbacks = nil, nil
	return snapshot, callbacks
}

// requeue makes a snapshot that could not be written pending again, unless a newer one is pending.
func (s *Store) requeue(snapshot *proxy.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = snapshot
	}
}
