package consensus

import "math/rand/v2"

// electionTimer decides when the leader counts as lost. The raft library draws its timeouts from a source that can't be seeded, so they are drawn
// here, and the library's own timer does not run at followers (TickQuiesced).
type electionTimer struct {
	rng        *rand.Rand
	minTimeout Time
	lastReset  Time // when a message of the leader last came, or this process last voted
	timeout    Time
}

// reset restarts the timer, with a new timeout.
func (e *electionTimer) reset(now Time) {
	e.lastReset = now
	e.timeout = e.minTimeout + Time(e.rng.Int64N(int64(e.minTimeout)))
}

func (e *electionTimer) expired(now Time) bool { return now-e.lastReset > e.timeout }
