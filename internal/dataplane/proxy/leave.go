package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
)

const (
	// handoversPerStep is how many connections are handed to another process in one step.
	handoversPerStep = 16
	// shutdownStepInterval is how often leaving makes progress.
	shutdownStepInterval = 50 * time.Millisecond
	// idleStepsToEnd is how many steps in a row have to find nothing left before the process ends: one that was held up does its step before it has looked
	// at the connections that came meanwhile, and these wait in the queue that ends with it.
	idleStepsToEnd = 2
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
	core       *Core
	schedule   schedule
	began      int64
	migrated   int  // connections that were moved so far
	total      int  // the most that there were to move
	answersDue bool // answerBy is over
	idleSteps  int  // steps in a row that found nothing left
	done       func()
}

// Shutdown ends the proxy's service in order: clients that still come are refused with advice, requests under way get
// their answer, and every open connection is moved. done is called once nothing is left, or when the time that the
// platform grants is nearly over.
func (c *Core) Shutdown(done func()) {
	if c.shuttingDown {
		return
	}
	c.shuttingDown = true
	s := &shutdown{core: c, schedule: newSchedule(longestDeadline(c.opt.Settings.Classes), c.handedOver), began: c.loop.Now(), done: done}
	// The last two moments are kept to the millisecond, whatever the steps between them.
	c.loop.After(time.Duration(s.schedule.answerBy), s.answerAll)
	c.loop.After(time.Duration(s.schedule.exitBy), s.end)
	s.step()
}

// step makes progress, and comes again until nothing is left.
func (s *shutdown) step() {
	if s.done == nil {
		return
	}
	c, passed := s.core, s.core.loop.Now()-s.began
	open, pending := c.countRequests()
	unasked := 0
	if passed > s.schedule.migrateFrom && c.newcomers != nil {
		unasked = c.newcomers.EndIdle(s.answersDue)
	}
	if passed > s.schedule.migrateFrom && open+pending+c.handoversInFlight+unasked == 0 && c.admission.sessions == 0 {
		s.idleSteps++
	} else {
		s.idleSteps = 0
	}
	if s.idleSteps >= idleStepsToEnd {
		s.end()
		return
	}
	switch {
	case c.handedOver && open > 0 && c.successor.Accepts() && passed < s.schedule.migrateBy:
		c.forEachEstablished(handoversPerStep, c.handOver)
	case passed > s.schedule.migrateFrom:
		s.migrateDue(open, passed)
	}
	c.loop.After(shutdownStepInterval, s.step)
}

// migrateDue sends away as many clients as this part of the time asks for, also where there are fewer of them than steps. Those that come up
// meanwhile count, and after the time all go.
func (s *shutdown) migrateDue(open int, passed int64) {
	s.total = max(s.total, s.migrated+open)
	n := min(open, s.schedule.due(s.total, passed)-s.migrated)
	if passed >= s.schedule.migrateBy {
		n = open
	}
	s.core.forEachEstablished(n, func(r *Request) { r.migrate(balancer.Cancelled) })
	s.migrated += max(0, n)
}

// answerAll gives each request that still waits its answer, and moves whoever is left: the process is about to be killed.
func (s *shutdown) answerAll() {
	if s.done == nil {
		return
	}
	s.answersDue = true
	for _, r := range s.core.requests {
		if r.answered {
			continue
		}
		slog.Warn("answered_before_kill", "request", r.attributes.ID, "attempts", r.attempts, "state", r.stageName(), "left_ms", (r.deadline-s.core.loop.Now())/1e6)
		guard(r, func() { r.answerNow(s.core.RetryAdvice()) })
	}
	s.core.monitor.Close()
	open, _ := s.core.countRequests()
	s.migrateDue(open, s.schedule.answerBy)
	if s.core.newcomers != nil {
		s.core.newcomers.EndIdle(true)
	}
}

// end is the last step.
func (s *shutdown) end() {
	if s.done == nil {
		return
	}
	open, pending := s.core.countRequests()
	for _, r := range s.core.requests {
		r.record.Dropped() // whoever has had no answer, or no word, gets none any more
	}
	broken, held := s.core.monitor.Counts.Sum()
	slog.Info("shutdown_summary", "open", open, "pending", pending, "connections", s.core.admission.sessions, "handing", s.core.handoversInFlight, "broken", broken, "held_back", held)
	s.done()
	s.done = nil
}

// countRequests counts open connections and requests without an answer.
func (c *Core) countRequests() (open, pending int) {
	for _, r := range c.requests {
		switch {
		case r.attempt != nil && r.attempt.established:
			open++
		case !r.answered:
			pending++
		}
	}
	return open, pending
}

// forEachEstablished does something to n open connections.
func (c *Core) forEachEstablished(n int, do func(r *Request)) {
	for _, r := range c.requests {
		if n <= 0 {
			return
		}
		if r.attempt != nil && r.attempt.established {
			do(r)
			n--
		}
	}
}
