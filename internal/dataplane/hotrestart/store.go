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

	mu   sync.Mutex
	next *proxy.Snapshot // nil: nothing waits
	done []func()
}

// NewStore stores in dir for the lifetime of the process. What a process that was killed in the middle of a write has left there is
// removed.
func NewStore(l *netio.Loop, dir string) *Store {
	left, _ := filepath.Glob(filepath.Join(dir, "."+stateFile+".*"))
	for _, path := range left {
		os.Remove(path)
	}
	s := &Store{loop: l, dir: dir, wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Save writes a snapshot. done, which may be nil, is called on the loop once it is written, or the first attempt has failed: nobody waits
// for a disk that is full. The write is retried until it succeeds, or until something newer is to be stored.
func (s *Store) Save(k *proxy.Snapshot, done func()) {
	s.mu.Lock()
	s.next = k
	if done != nil {
		s.done = append(s.done, done)
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
	snapshot, done := s.take()
	var err error
	if snapshot != nil {
		var readable bool
		if readable, err = writeState(s.dir, snapshot); err != nil && !isRetry {
			slog.Warn("state_not_saved", "dir", s.dir, "for_the_next_process", readable, "reason", err)
		}
	}
	if err != nil {
		s.putBack(snapshot)
	} else if isRetry {
		slog.Info("state_saved", "dir", s.dir)
	}
	for _, f := range done {
		s.loop.Post(f)
	}
	return err == nil
}

// take removes what waits.
func (s *Store) take() (*proxy.Snapshot, []func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot, done := s.next, s.done
	s.next, s.done = nil, nil
	return snapshot, done
}

// putBack has a snapshot that could not be written wait again, unless something newer does.
func (s *Store) putBack(snapshot *proxy.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = snapshot
	}
}
