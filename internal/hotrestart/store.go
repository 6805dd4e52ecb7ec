package hotrestart

import (
	"log/slog"
	"sync"

	"croftlock/internal/netio"
	"croftlock/internal/proxy"
)

// Store writes what is kept, beside the loop; of what waits only the latest is written.
type Store struct {
	loop *netio.Loop
	dir  string
	wake chan struct{}

	mu   sync.Mutex
	next *proxy.Kept
	done []func()
}

// NewStore keeps in dir.
func NewStore(l *netio.Loop, dir string) *Store {
	s := &Store{loop: l, dir: dir, wake: make(chan struct{}, 1)}
	go s.work()
	return s
}

// Keep writes k; done, which may be nil, is called on the loop once it is written or can't be.
func (s *Store) Keep(k *proxy.Kept, done func()) {
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
	failed := false
	for range s.wake {
		s.mu.Lock()
		k, done := s.next, s.done
		s.next, s.done = nil, nil
		s.mu.Unlock()
		if k != nil {
			err := write(s.dir, k)
			if err != nil && !failed {
				slog.Warn("state_not_kept", "dir", s.dir, "reason", err)
			}
			failed = err != nil
		}
		for _, f := range done {
			s.loop.Post(f)
		}
	}
}
