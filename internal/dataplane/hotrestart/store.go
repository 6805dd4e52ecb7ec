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

// Store writes what is kept, beside the loop; of what waits only the latest is written.
type Store struct {
	loop *netio.Loop
	dir  string
	wake chan struct{}

	mu   sync.Mutex
	next *proxy.Snapshot
	done []func()
}

// How soon what could not be written is written again.
const (
	firstWriteAgain = 50 * time.Millisecond
	lastWriteAgain  = time.Second
)

// NewStore keeps in dir. What a process that was killed in the middle of a write has left there is removed.
func NewStore(l *netio.Loop, dir string) *Store {
	left, _ := filepath.Glob(filepath.Join(dir, "."+stateFile+".*"))
	for _, path := range left {
		os.Remove(path)
	}
	s := &Store{loop: l, dir: dir, wake: make(chan struct{}, 1)}
	go s.work()
	return s
}

// Save writes k; done, which may be nil, is called on the loop once it is written, or the first try has failed: nobody waits for a disk that is
// full. The write is made again until it succeeds, or until something newer is to be kept.
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

func (s *Store) work() {
	pause := firstWriteAgain
	for range s.wake {
		for !s.writeNext(pause > firstWriteAgain) {
			select {
			case <-s.wake: // something newer
			case <-time.After(pause):
			}
			pause = min(2*pause, lastWriteAgain)
		}
		pause = firstWriteAgain
	}
}

// writeNext writes what waits, and tells whether nothing is left to write. again says that the last write failed.
func (s *Store) writeNext(again bool) bool {
	s.mu.Lock()
	k, done := s.next, s.done
	s.next, s.done = nil, nil
	s.mu.Unlock()
	var err error
	if k != nil {
		var kept bool
		if kept, err = write(s.dir, k); err != nil && !again {
			slog.Warn("state_not_saved", "dir", s.dir, "for_the_next_process", kept, "reason", err)
		}
	}
	if err != nil {
		s.giveBack(k)
	} else if again {
		slog.Info("state_saved", "dir", s.dir)
	}
	for _, f := range done {
		s.loop.Post(f)
	}
	return err == nil
}

// giveBack has what could not be written wait again, unless something newer does.
func (s *Store) giveBack(k *proxy.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = k
	}
}
