package consensus

import "math/rand/v2"

// electionTimer decides when a follower considers its leader lost. The raft library randomizes its
// timeouts from a source that can't be seeded, so this timer replaces the library's own, which does
// not run at followers (TickQuiesced).
type electionTimer struct {
	rng        *rand.Rand
	minTimeout Time
	lastReset  Time // usually the time of the leader's last message or of this process's last vote
	timeout    Time
}

// reset restarts the timer with a new random timeout between minTimeout and twice minTimeout.
func (e *electionTimer) reset(now Time) {
	e.lastReset = now
	e.timeout = e.minTimeout + Time(e.rng.Int64N(int64(e.minTimeout)))
}

func (e *electionTimer) expired(now Time) bool { return now-e.lastReset > e.timeout }
