package consensus

import "math/rand/v2"

// electionTimer says when the leader counts as lost. The raft library draws its timeouts from a source that cannot be seeded, so they are
// drawn here and its own timer is kept quiescent.
type electionTimer struct {
	rng      *rand.Rand
	shortest Time
	since    Time // the leader was last heard, or a vote was given
	timeout  Time
}

// reset begins the timeout anew.
func (e *electionTimer) reset(now Time) {
	e.since = now
	e.timeout = e.shortest + Time(e.rng.Int64N(int64(e.shortest)))
}

func (e *electionTimer) expired(now Time) bool { return now-e.since > e.timeout }
