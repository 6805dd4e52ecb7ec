package proxy

import (
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
)

// What the platform grants a process between SIGTERM and SIGKILL: the longest deadline of any class, counted as countedDeadline at most,
// and killMargin more.
const (
	maxGrantedDeadline = 3 * time.Second
	killGrace          = 700 * time.Millisecond
)

const (
	// maxSuspension is how long a process may be kept from running between two of its steps.
	maxSuspension = invariant.MaxSuspension
	// frontNoticeDelay is how long after its SIGTERM a proxy still gets new connections; clients moved before could come
	// straight back to it.
	frontNoticeDelay = 450 * time.Millisecond
	// migrationSpan is the time over which the clients are then moved, so that they do not all arrive elsewhere at once.
	migrationSpan = 1500 * time.Millisecond
	// handoverSpan is the same where another process of this proxy takes them in again: it is alone with them, and cold
	// hosts take only so many a second. What is left until the end is for clients to hang up.
	handoverSpan = 2500 * time.Millisecond
	// answerMargin is how long before SIGKILL each request has to have its answer and each open connection its move: the process may
	// be held up once as it takes the signal and once as it answers, and clients have to hang up. It leaves each request that was taken
	// before SIGTERM its deadline, where that counts whole.
	answerMargin = 3 * maxSuspension
	// exitMargin is how long before SIGKILL the process ends, whoever has not hung up by then.
	exitMargin = 2 * maxSuspension
)

// schedule says when a process that leaves does what, in nanoseconds since its SIGTERM.
type schedule struct {
	migrateFrom int64 // from here on open connections are moved, and resting ones ended
	migrateBy   int64 // by here all have been moved, those that came up meanwhile at once
	answerBy    int64 // by here each request has an answer; what still comes is refused
	exitBy      int64 // by here the process ends
}

// longestDeadline is that of all classes, in nanoseconds.
func longestDeadline(classes []balancer.Class) (longest int64) {
	for _, k := range classes {
		longest = max(longest, k.Deadline)
	}
	return longest
}

// newSchedule reckons from the longest deadline, in nanoseconds. handed says that another process takes what comes, so that nothing new
// comes here.
func newSchedule(longest int64, handed bool) schedule {
	kill := min(longest, int64(maxGrantedDeadline)) + int64(killGrace)
	s := schedule{answerBy: kill - int64(answerMargin), exitBy: kill - int64(exitMargin)}
	over := int64(migrationSpan)
	if handed {
		over = int64(handoverSpan)
	} else {
		s.migrateFrom = min(int64(frontNoticeDelay), s.answerBy/2)
	}
	s.migrateBy = min(s.migrateFrom+over, s.answerBy)
	return s
}

// due is how many of all open connections are to have been moved when so much time has passed.
func (s schedule) due(all int, passed int64) int {
	switch {
	case passed >= s.migrateBy:
		return all
	case passed <= s.migrateFrom:
		return 0
	}
	return int(int64(all) * (passed - s.migrateFrom) / (s.migrateBy - s.migrateFrom))
}
