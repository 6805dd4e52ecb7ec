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

// The backoff after a failed write.
const (
	minWriteBackoff = 50 * time.Millisecond
	maxWriteBackoff = time.Second
)

// Store writes snapshots to the state file, beside the loop. Of those that wait only the latest is written.
type Store struct {
	loop *netio.Loop
	dir  string
	wake chan struct{}

	mu        sync.Mutex
	pending   *proxy.Snapshot // nil: nothing waits
	callbacks []func()
}

// NewStore stores in dir for the lifetime of the process. What a process that was killed in the middle of a write has left there is
// removed.
func NewStore(l *netio.Loop, dir string) *Store {
	unfinished, _ := filepath.Glob(filepath.Join(dir, "."+stateFile+".*"))
	for _, path := range unfinished {
		os.Remove(path)
	}
	s := &Store{loop: l, dir: dir, wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Save writes a snapshot. done, which may be nil, is called on the loop once it is written, or the first attempt has failed: nobody waits
// for a disk that is full. The write is retried until it succeeds, or until something newer is to be stored.
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

// run writes whatever waits. It never ends: a process stores until it exits.
func (s *Store) run() {
	for range s.wake {
		s.writeUntilDone()
	}
}

// writeUntilDone writes until nothing waits, with a backoff after each failure that something newer cuts short.
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

// writeNext writes what waits, and reports whether nothing is left to write.
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

// removePending removes what waits.
func (s *Store) removePending() (*proxy.Snapshot, []func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot, callbacks := s.pending, s.callbacks
	s.pending, s.callbacks = nil, nil
	return snapshot, callbacks
}

// requeue has a snapshot that could not be written wait again, unless something newer does.
func (s *Store) requeue(snapshot *proxy.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = snapshot
	}
}
