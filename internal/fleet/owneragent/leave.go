package owneragent

import (
	"time"
)

// Leave gives all jobs and the lead back, and calls done once others have them or a short time has passed.
func (s *Agent) Leave(done func()) {
	if s == nil {
		done()
		return
	}
	if s.leaving != nil || s.left {
		// A process that has handed over is ended next, and must not cut off what it is about to say.
		if s.left {
			done()
		} else {
			s.leaving = append(s.leaving, done)
		}
		return
	}
	s.leaving = append(s.leaving, done)
	end := func() {
		if !s.left {
			s.left = true
			s.Yield()
			for _, f := range s.leaving {
				f()
			}
		}
	}
	s.loop.After(leaveWithin, end)
	s.post(func() {
		s.core.Leave(s.now(), "its process ends in order")
		var wait func()
		wait = func() {
			if s.core.HasLeft() {
				s.core.Yield(s.now())
				time.Sleep(5 * time.Millisecond) // what has just been said is on its way
				s.loop.Post(end)
				return
			}
			select {
			case <-s.quit:
			case f := <-s.in:
				f()
				go s.post(wait)
			case <-time.After(5 * time.Millisecond):
				s.core.Tick(s.now())
				go s.post(wait)
			}
		}
		wait()
	})
}

// Yield ends this process's part, and lets go of the store.
func (s *Agent) Yield() {
	if s == nil {
		return
	}
	s.once.Do(func() {
		s.members.Attach(whose, nil)
		if s.door != nil {
			s.door.close()
		}
		close(s.quit)
		select {
		case <-s.over:
		case <-time.After(300 * time.Millisecond): // a disk that hangs must not hold the process
		}
	})
}
