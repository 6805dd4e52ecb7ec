package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
)

// What happens from SIGTERM to the end of the process, in order; times are those of shutdownSchedule:
//
//  0. The process gives its jobs back and leaves the fleet, beside the rest (process.announceLeave in package node).
//  1. Core.Shutdown: Core.Open rejects requests that still come, with a Retry-After.
//  2. Where another process of this proxy has taken over, open connections are handed over (shutdown.step, Core.handOver).
//  3. From migrateFrom to migrateBy open connections are migrated, evenly spread (shutdown.migrateDue), and idle ones without a request
//     are ended. Requests under way go on.
//  4. Once nothing is left for idleStepsToEnd steps the process ends (shutdown.end).
//  5. At answerBy each request that still waits gets its answer, all clients that are left are migrated, and nothing begins any more
//     (shutdown.answerAll).
//  6. At exitBy the process ends, also with clients that have not hung up.
//
// Where the longest deadline is 3 s or more: migrateFrom 0.45 s, migrateBy 1.95 s, answerBy 3.25 s, exitBy 3.4 s, SIGKILL 3.7 s; where another
// process has taken over, migrateFrom 0 s and migrateBy 2.5 s.

// What the platform grants a process between SIGTERM and SIGKILL: the longest deadline of any class, of which at most
// maxGrantedDeadline counts, and killGrace more.
const (
	maxGrantedDeadline = 3 * time.Second
	killGrace          = 700 * time.Millisecond
)

const (
	// frontNoticeDelay is how long after its SIGTERM a proxy still gets new connections; clients migrated before could come straight
	// back to it.
	newConnectionWindow = 450 * time.Millisecond
	// migrationSpan is the time over which clients are migrated, so that they do not all arrive elsewhere at once.
	migrationSpan = 1500 * time.Millisecond
	// handoverSpan is the same where another process of this proxy takes them in again: it is alone with them, and warming hosts accept
	// only so many a second. In the time that is left clients hang up.
	handoverSpan = 2500 * time.Millisecond
	// answerMargin is how long before SIGKILL each request has to have its answer and each open connection its migration: the process
	// may be paused once as it takes the signal and once as it answers, and clients have to hang up. It leaves each request that was
	// accepted before SIGTERM its deadline, up to maxGrantedDeadline.
	answerMargin = 3 * invariant.MaxPause
	// exitMargin is how long before SIGKILL the process ends.
	exitMargin = 2 * invariant.MaxPause
	// shutdownStepInterval is how often a shutdown makes progress.
	shutdownStepInterval = 50 * time.Millisecond
	// handoversPerStep is how many connections are handed to the other process in one step.
	handoversPerStep = 16
	// idleStepsToEnd is how many steps in a row have to find nothing left before the process ends: after a pause of the process the first step
	// comes before the connections that wait in the listener's queue are accepted, and they end with the process.
	idleStepsToEnd = 2
)

// shutdownSchedule says when a process that shuts down does what, in nanoseconds since Core.Shutdown, which follows its SIGTERM at once.
type shutdownSchedule struct {
	migrateFrom int64 // from here on open connections are migrated, and idle ones ended
	migrateBy   int64 // by here all have been migrated, and later ones migrate at once
	answerBy    int64 // by here each request has an answer; what still comes is rejected
	exitBy      int64 // by here the process ends
}

// newShutdownSchedule derives the schedule from the longest deadline of all classes, in nanoseconds. handedOver says that another
// process accepts clients, so that nothing new comes here.
func newShutdownSchedule(longestDeadline int64, handedOver bool) shutdownSchedule {
	kill := min(longestDeadline, int64(maxGrantedDeadline)) + int64(killGrace)
	s := shutdownSchedule{answerBy: kill - int64(answerMargin), exitBy: kill - int64(exitMargin)}
	span := int64(migrationSpan)
	if handedOver {
		span = int64(handoverSpan)
	} else {
		s.migrateFrom = min(int64(newConnectionWindow), s.answerBy/2)
	}
	s.migrateBy = min(s.migrateFrom+span, s.answerBy)
	return s
}

// due is how many of all open connections are to have been migrated when so much time has passed.
func (s shutdownSchedule) migrationsDue(total int, elapsed int64) int {
	switch {
	case elapsed >= s.migrateBy:
		return total
	case elapsed <= s.migrateFrom:
		return 0
	}
	return int(int64(total) * (elapsed - s.migrateFrom) / (s.migrateBy - s.migrateFrom))
}

// IdleDownstreams are the client connections on which no request has come yet.
type IdleDownstreams interface {
	// EndIdle ends those that have not sent anything, and gives how many are left. With partial it also ends those on which part of
	// a request has come.
	EndIdle(partial bool) int
}

// SetIdleDownstreams has a shutdown end the connections without a request, and wait for those on which one is coming.
func (c *Core) SetIdleDownstreams(n IdleDownstreams) { c.idleDownstreams = n }

// shutdown is the shutdown of a process, from SIGTERM to its end.
type shutdown struct {
	core      *Core
	schedule  shutdownSchedule
	startedAt int64  // ns of the loop's time
	migrated  int    // connections so far
	total     int    // the most connections that there were to migrate
	idleSteps int    // steps in a row that found nothing left
	answered  bool   // answerBy is over
	done      func() // nil: the shutdown is over
}

// Shutdown ends the proxy's service in order: clients that still come are rejected with a Retry-After, requests under way get their
// answer, and every open connection is migrated. done is called once nothing is left, or when the time that the platform grants is
// nearly over.
func (c *Core) Shutdown(done func()) {
	if c.shuttingDown {
		return
	}
	c.shuttingDown, c.migrations.unpaced = true, true
	schedule := newShutdownSchedule(c.longestDeadline(), c.handover.handedOver)
	s := &shutdown{core: c, schedule: schedule, startedAt: c.loop.Now(), done: done}
	// The last two moments have timers of their own, to the millisecond.
	c.loop.After(time.Duration(schedule.answerBy), s.answerAll)
	c.loop.After(time.Duration(schedule.exitBy), s.end)
	s.step()
}

// longestDeadline is that of all classes, in nanoseconds.
func (c *Core) longestDeadline() (longest int64) {
	for _, class := range c.opt.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// step makes progress, and comes again until nothing is left.
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

// isIdle reports whether enough steps in a row have found nothing left.
func (s *shutdown) isIdle(remaining int, elapsed int64) bool {
	if elapsed > s.schedule.migrateFrom && remaining == 0 && s.core.admission.downstreams == 0 {
		s.idleSteps++
	} else {
		s.idleSteps = 0
	}
	return s.idleSteps >= idleStepsToEnd
}

// migrateDue migrates as many clients as are due by now. Those that come up meanwhile count, and after migrateBy all go.
func (s *shutdown) migrateDue(open int, elapsed int64) {
	s.total = max(s.total, s.migrated+open)
	count := min(open, s.schedule.migrationsDue(s.total, elapsed)-s.migrated)
	if elapsed >= s.schedule.migrateBy {
		count = open
	}
	s.core.forEachOpen(count, func(r *Request) { r.migrate(balancer.Cancelled) })
	s.migrated += max(0, count)
}

// answerAll gives each request that still waits its answer, and migrates the clients that are left: the process is about to be killed.
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
		recoverRequest(r, func() { r.answerNow(s.core.RetryAdvice()) })
	}
	s.core.monitor.Close()
	open, _ := s.core.countRequests()
	s.migrateDue(open, s.schedule.answerBy)
	if s.core.idleDownstreams != nil {
		s.core.idleDownstreams.EndIdle(true)
	}
}

// end is the last step. Clients without an answer or a migration line get none any more.
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
