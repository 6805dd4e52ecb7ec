package ownership

// Fence is what a receiver remembers of each job: the highest token it has seen, and of that the last effect.
type Fence struct {
	last map[string]Mark
	// Forget is a planted fault: nothing is remembered.
	Forget bool
}

// Mark is a place in a job's order of effects.
type Mark struct{ Token, Number uint64 }

// Before tells whether a mark comes before another.
func (m Mark) Before(o Mark) bool {
	return m.Token < o.Token || m.Token == o.Token && m.Number < o.Number
}

// Verdict is what becomes of an effect.
type Verdict uint8

// Take tells whether an effect may be carried out, and notes it. Each carries all that it is to bring about, so that an earlier one of
// the same token has nothing to add to a later one.
func (f *Fence) Take(job string, m Mark) (Verdict, Mark) {
	if f.last == nil {
		f.last = map[string]Mark{}
	}
	k, known := f.last[job]
	switch {
	case f.Forget:
	case m.Token < k.Token:
		return Old, k
	case m.Token == k.Token && m.Number <= k.Number:
		return Again, k
	case !known && len(f.last) >= MostJobs:
		return Old, k // no room to remember: nothing is carried out that could not be refused later
	}
	f.last[job] = m
	return Taken, m
}

// Last is the latest effect seen of a job.
func (f *Fence) Last(job string) Mark { return f.last[job] }

// Set raises what is remembered, as a durable receiver does at its start.
func (f *Fence) Set(job string, m Mark) {
	if f.last == nil {
		f.last = map[string]Mark{}
	}
	if f.last[job].Before(m) {
		f.last[job] = m
	}
}
