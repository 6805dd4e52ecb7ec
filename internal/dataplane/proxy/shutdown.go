package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
)

// A process does the following from SIGTERM to its end, in order. The times are those of
// shutdownSchedule.
//
//  0. The process gives up the jobs that it runs for all proxies and leaves the fleet, the proxies that
//     work together, in parallel with the rest
//     (process.announceLeave in package node).
//  1. Core.Shutdown: Core.Open rejects new requests with a Retry-After.
//  2. If another process of this proxy has taken over, open connections are handed over
//     (shutdown.step, Core.handOver).
//  3. From migrateFrom to migrateBy open connections are migrated, spread evenly
//     (shutdown.migrateDue), and idle downstreams without a request are ended. Pending requests
//     continue.
//  4. Once idleStepsToEnd steps in a row have found nothing left, the process ends (shutdown.end).
//  5. At answerBy each pending request gets its answer, all remaining clients are migrated, and no
//     attempt starts any more (shutdown.answerAll).
//  6. At exitBy the process ends, even if clients have not closed their connections.
//
// If the process that has taken over ends meanwhile, this one accepts clients again and rejects them, and ends
// only once none has come for newConnectionWindow, or at exitBy (Core.SuccessorLost).
//
// If the longest deadline is 3 s or more, migrateFrom is 0.45 s, migrateBy 1.95 s, answerBy 3.25 s,
// exitBy 3.4 s and SIGKILL comes after 3.7 s. If another process has taken over, migrateFrom is 0 s
// and migrateBy 2.5 s.

// Between SIGTERM and SIGKILL the platform grants a process the longest deadline of all classes, of
// which at most maxGrantedDeadline counts, plus killGrace.
const (
	maxGrantedDeadline = 3 * time.Second
	killGrace          = 700 * time.Millisecond
)

const (
	// newConnectionWindow is how long after its SIGTERM a proxy still gets new connections. Clients
	// that are migrated earlier could reconnect to the same proxy.
	newConnectionWindow = 450 * time.Millisecond
	// migrationSpan is the time over which clients are migrated, so that they do not all reconnect
	// at once.
	migrationSpan = 1500 * time.Millisecond
	// handoverSpan replaces migrationSpan if another process of this proxy has taken over. It is
	// longer, because that process alone gets all clients again, and warming hosts accept only a
	// limited number per second. Clients hang up in the time that remains until exitBy.
	handoverSpan = 2500 * time.Millisecond
	// answerMargin is how long before SIGKILL every request must have its answer and every open
	// connection its migration: the process may be paused once when it receives the signal and once
	// when it answers, and clients need time to hang up. The margin is small enough that each request
	// accepted before SIGTERM keeps its deadline, up to maxGrantedDeadline.
	answerMargin = 3 * invariant.MaxPause
	// exitMargin is how long before SIGKILL the process ends: the time of two pauses of the process.
	exitMargin = 2 * invariant.MaxPause
	// shutdownStepInterval is the interval between the steps of a shutdown.
	shutdownStepInterval = 50 * time.Millisecond
	// handoversPerStep is how many connections are handed to the other process in one step.
	handoversPerStep = 16
	// idleStepsToEnd is how many steps in a row must find nothing left before the process ends. One
	// is not enough: after a pause of the process the first step runs before the connections in the
	// listener's queue are accepted, and those connections would end with the process.
	idleStepsToEnd = 2
)

// IdleDownstreams manages the client connections on which no complete request has arrived yet.
type IdleDownstreams interface {
	// EndIdle ends the connections that have not sent anything, and returns how many remain. If
	// partial is true, it also ends those that have sent part of a request.
	EndIdle(partial bool) int
}

// SetIdleDownstreams sets the connections without a complete request, which a shutdown ends. The
// shutdown waits until answerBy for those that have sent part of a request.
func (c *Core) SetIdleDownstreams(d IdleDownstreams) { c.idleDownstreams = d }

// shutdown holds the state of a process's shutdown, from SIGTERM to the end of the process.
type shutdown struct {
	core      *Core
	schedule  shutdownSchedule
	startedAt int64  // loop time of the start, in nanoseconds
	migrated  int    // open connections migrated so far
	total     int    // the largest sum so far of migrated and of then still open connections
	idleSteps int    // number of steps in a row that found nothing left
	answered  bool   // answerAll has run
	done      func() // nil once the shutdown has ended
}

// Shutdown shuts the proxy down gracefully: new requests are rejected with a Retry-After, pending
// requests get their answer, and every open connection is handed over or migrated. It calls done
// once nothing is left, or shortly before the time that the platform grants ends. Calls after the
// first do nothing.
func (c *Core) Shutdown(done func()) {
	if c.shuttingDown {
		return
	}
	c.shuttingDown, c.migrations.unpaced = true, true
	schedule := newShutdownSchedule(c.longestDeadline(), c.handover.handedOver)
	s := &shutdown{core: c, schedule: schedule, startedAt: c.loop.Now(), done: done}
	// answerBy and exitBy have timers of their own, accurate to the millisecond unless the loop is
	// busy, because the interval between steps is too coarse for them.
	c.loop.After(time.Duration(schedule.answerBy), s.answerAll)
	c.loop.After(time.Duration(schedule.exitBy), s.end)
	s.step()
}

// longestDeadline returns the longest deadline of all classes, in nanoseconds.
func (c *Core) longestDeadline() (longest int64) {
	for _, class := range c.opt.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// step ends idle downstreams, and hands over or migrates the connections that are due. It runs
// every shutdownStepInterval until the shutdown has ended.
func (s *shutdown) step() {
	if s.done == nil {
		return
	}
	c, elapsed := s.core, s.core.loop.Now()-s.startedAt
	open, pending := c.countRequests()
	withoutRequest := 0
	if elapsed > s.schedule.migrateFrom && c.idleDownstreams != nil {
		withoutRequest = c.idleDownstreams.EndIdle(s.answered)
	}
	remaining := open + pending + c.handover.inFlight + withoutRequest
	if s.isIdle(remaining, elapsed) {
		s.end()
		return
	}
	switch {
	case c.handover.handedOver && open > 0 && c.handover.successor.AcceptsHandovers() && elapsed < s.schedule.migrateBy:
		c.forEachOpen(handoversPerStep, c.handOver)
	case elapsed > s.schedule.migrateFrom:
		s.migrateDue(open, elapsed)
	}
	c.loop.After(shutdownStepInterval, s.step)
}

// isIdle counts a step that finds nothing left, and reports whether idleStepsToEnd steps in a row
// have found nothing left. remaining is the number of connections and requests left. Steps do not count
// while new connections may still arrive.
func (s *shutdown) isIdle(remaining int, elapsed int64) bool {
	if !s.mayGetRequests(elapsed) && remaining == 0 && s.core.admission.downstreams == 0 {
		s.idleSteps++
	} else {
		s.idleSteps = 0
	}
	return s.idleSteps >= idleStepsToEnd
}

// mayGetRequests reports whether new connections may still arrive: until migrateFrom, and if the process that
// had taken over has ended, until none has come for newConnectionWindow. Connections that the kernel accepts
// as the process ends get no answer.
func (s *shutdown) mayGetRequests(elapsed int64) bool {
	c := s.core
	return elapsed <= s.schedule.migrateFrom ||
		c.handover.lost && c.loop.Now()-c.admission.lastRequestAt < int64(newConnectionWindow)
}

// migrateDue migrates as many of the open connections as are due when elapsed nanoseconds have
// passed, including connections established during the shutdown. From migrateBy on it migrates all
// of them.
func (s *shutdown) migrateDue(open int, elapsed int64) {
	s.total = max(s.total, s.migrated+open)
	count := min(open, s.schedule.migrationsDue(s.total, elapsed)-s.migrated)
	if elapsed >= s.schedule.migrateBy {
		count = open
	}
	s.core.forEachOpen(count, func(r *Request) { r.migrate(balancer.Cancelled) })
	s.migrated += max(0, count)
}

// answerAll answers each pending request and migrates the remaining clients, because the process is
// about to be killed.
func (s *shutdown) answerAll() {
	if s.done == nil {
		return
	}
	s.answered = true
	for _, r := range s.core.requests {
		if r.answered() {
			continue
		}
		slog.Warn("answered_before_kill", "request", r.attributes.ID, "attempts", r.attempts, "state", r.stageName(), "left_ms", (r.deadline-s.core.loop.Now())/1e6)
		recoverRequest(r, func() { r.answerNow(s.core.DefaultRetryAfter()) })
	}
	s.core.monitor.Close()
	open, _ := s.core.countRequests()
	s.migrateDue(open, s.schedule.answerBy)
	if s.core.idleDownstreams != nil {
		s.core.idleDownstreams.EndIdle(true)
	}
}

// end ends the shutdown and calls done. Clients that have no answer or migration line by now get
// none.
func (s *shutdown) end() {
	if s.done == nil {
		return
	}
	c := s.core
	open, pending := c.countRequests()
	for _, r := range c.requests {
		r.record.ClosedByProxy()
	}
	broken, blocked := c.monitor.Counts.Sum()
	slog.Info("shutdown_summary", "open", open, "pending", pending, "downstreams", c.admission.downstreams, "handovers", c.handover.inFlight,
		"invariants_broken", broken, "invariants_blocked", blocked)
	s.done()
	s.done = nil
}
