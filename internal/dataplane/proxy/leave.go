package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
)

const (
	// handAtOnce is how many connections are handed to another process in one step.
	handAtOnce = 16
	// leaveEvery is how often leaving makes progress.
	leaveEvery = 50 * time.Millisecond
	// quietSteps is how many steps in a row have to find nothing left before the process ends: one that was held up does its step before it has looked
	// at the connections that came meanwhile, and these wait in the queue that ends with it.
	quietSteps = 2
)

// Newcomers are the connections on which no request has come yet.
type Newcomers interface {
	// EndIdle ends those that rest without having sent anything, and tells how many are left. With half it also ends those on which a
	// request has begun to come.
	EndIdle(half bool) int
}

// SetNewcomers has a proxy that leaves end the connections without a request, and wait for those on which one is coming.
func (c *Core) SetNewcomers(n Newcomers) { c.newcomers = n }

// shutdown is a process's way out, from SIGTERM to its end.
type shutdown struct {
	core  *Core
	plan  schedule
	began int64
	moved int  // connections that were moved so far
	all   int  // the most that there were to move
	cut   bool // answerBy is over
	quiet int  // steps in a row that found nothing left
	done  func()
}

// Shutdown ends the proxy's service in order: clients that still come are refused with advice, requests under way get
// their answer, and every open connection is moved. done is called once nothing is left, or when the time that the
// platform grants is nearly over.
func (c *Core) Shutdown(done func()) {
	if c.leaving {
		return
	}
	c.leaving = true
	s := &shutdown{core: c, plan: newSchedule(longestDeadline(c.opt.Settings.Classes), c.handed), began: c.loop.Now(), done: done}
	// The last two moments are kept to the millisecond, whatever the steps between them.
	c.loop.After(time.Duration(s.plan.answerBy), s.answerAll)
	c.loop.After(time.Duration(s.plan.exitBy), s.end)
	s.step()
}

// step makes progress, and comes again until nothing is left.
func (s *shutdown) step() {
	if s.done == nil {
		return
	}
	c, passed := s.core, s.core.loop.Now()-s.began
	open, pending := c.standing()
	unasked := 0
	if passed > s.plan.moveFrom && c.newcomers != nil {
		unasked = c.newcomers.EndIdle(s.cut)
	}
	if passed > s.plan.moveFrom && open+pending+c.handing+unasked == 0 && c.sessions == 0 {
		s.quiet++
	} else {
		s.quiet = 0
	}
	if s.quiet >= quietSteps {
		s.end()
		return
	}
	switch {
	case c.handed && open > 0 && c.keeper.Accepts() && passed < s.plan.moveBy:
		c.someOpen(handAtOnce, c.handOne)
	case passed > s.plan.moveFrom:
		s.move(open, passed)
	}
	c.loop.After(leaveEvery, s.step)
}

// move sends away as many clients as this part of the time asks for, also where there are fewer of them than steps. Those that come up
// meanwhile count, and after the time all go.
func (s *shutdown) move(open int, passed int64) {
	s.all = max(s.all, s.moved+open)
	n := min(open, s.plan.due(s.all, passed)-s.moved)
	if passed >= s.plan.moveBy {
		n = open
	}
	s.core.someOpen(n, func(r *Request) { r.move(balancer.Cancelled) })
	s.moved += max(0, n)
}

// answerAll gives each request that still waits its answer, and moves whoever is left: the process is about to be killed.
func (s *shutdown) answerAll() {
	if s.done == nil {
		return
	}
	s.cut = true
	for _, r := range s.core.requests {
		if r.answered {
			continue
		}
		slog.Warn("answered_before_kill", "request", r.ask.ID, "attempts", r.attempts, "state", r.state(), "left_ms", (r.deadline-s.core.loop.Now())/1e6)
		s.core.guard(r, func() { r.endNow(s.core.RetryAdvice()) })
	}
	s.core.monitor.Close()
	open, _ := s.core.standing()
	s.move(open, s.plan.answerBy)
	if s.core.newcomers != nil {
		s.core.newcomers.EndIdle(true)
	}
}

// end is the last step.
func (s *shutdown) end() {
	if s.done == nil {
		return
	}
	open, pending := s.core.standing()
	for _, r := range s.core.requests {
		r.rec.Dropped() // whoever has had no answer, or no word, gets none any more
	}
	broken, held := s.core.monitor.Counts.Sum()
	slog.Info("shutdown_summary", "open", open, "pending", pending, "connections", s.core.sessions, "handing", s.core.handing, "broken", broken, "held_back", held)
	s.done()
	s.done = nil
}

// standing counts open connections and requests without an answer.
func (c *Core) standing() (open, pending int) {
	for _, r := range c.requests {
		switch {
		case r.out != nil && r.out.up:
			open++
		case !r.answered:
			pending++
		}
	}
	return open, pending
}

// someOpen does something to n open connections.
func (c *Core) someOpen(n int, do func(r *Request)) {
	for _, r := range c.requests {
		if n <= 0 {
			return
		}
		if r.out != nil && r.out.up {
			do(r)
			n--
		}
	}
}
