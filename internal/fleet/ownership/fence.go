package ownership

// Fence is what a receiver remembers of each job: the highest token it has seen, and of that the last effect.
type Fence struct {
	last map[string]FencingToken
	// Forget is a planted fault: nothing is remembered.
	Forget bool
}

// FencingToken is a place in a job's order of effects.
type FencingToken struct{ Token, Sequence uint64 }

// Before tells whether a mark comes before another.
func (m FencingToken) Before(o FencingToken) bool {
	return m.Token < o.Token || m.Token == o.Token && m.Sequence < o.Sequence
}

// Verdict is what becomes of an effect.
type Verdict uint8

// Check tells whether an effect may be carried out, and notes it. Each carries all that it is to bring about, so that an earlier one of
// the same token has nothing to add to a later one.
func (f *Fence) Check(job string, m FencingToken) (Verdict, FencingToken) {
	if f.last == nil {
		f.last = map[string]FencingToken{}
	}
	k, known := f.last[job]
	switch {
	case f.Forget:
	case m.Token < k.Token:
		return Stale, k
	case m.Token == k.Token && m.Sequence <= k.Sequence:
		return Duplicate, k
	case !known && len(f.last) >= MaxJobs:
		return Stale, k // no room to remember: nothing is carried out that could not be refused later
	}
	f.last[job] = m
	return Accepted, m
}

// Last is the latest effect seen of a job.
func (f *Fence) Last(job string) FencingToken { return f.last[job] }

// Raise raises what is remembered, as a durable receiver does at its start.
func (f *Fence) Raise(job string, m FencingToken) {
	if f.last == nil {
		f.last = map[string]FencingToken{}
	}
	if f.last[job].Before(m) {
		f.last[job] = m
	}
}
