package ownership

// FencingToken orders the effects of a job: first by the owner's token, then by the number that the
// owner gave the effect.
type FencingToken struct{ Token, Sequence uint64 }

// Before reports whether t is ordered before other.
func (t FencingToken) Before(other FencingToken) bool {
	return t.Token < other.Token || t.Token == other.Token && t.Sequence < other.Sequence
}

// Verdict is a receiver's decision about an effect.
type Verdict uint8

// Verdicts, as sent in acknowledgements. The numbers must not change.
const (
	// Accepted means that the effect is applied.
	Accepted Verdict = iota
	// Duplicate means that this effect, or a later one with the same token, was accepted before.
	Duplicate
	// Stale means that an effect with a higher token was accepted before, or that the Fence is full
	// and does not know the job.
	Stale
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case Duplicate:
		return "duplicate"
	case Stale:
		return "stale"
	}
	return "unknown"
}

// Fence records, for each job, the fencing token of the latest effect that a receiver accepted. It
// rejects effects of a stale owner that arrive after those of a later owner. It is kept in memory, so
// a process starts with an empty Fence. The zero value is ready to use.
type Fence struct {
	Faults FaultInjection // set only by simulations and experiments

	last map[string]FencingToken // of the latest accepted effect, by job
}

// Check decides whether to accept an effect, and records its token if so. It also returns the token
// of the latest accepted effect of the job. Each effect replaces the earlier ones of its job, so an
// effect that arrives after a later one is not needed.
func (f *Fence) Check(job string, token FencingToken) (Verdict, FencingToken) {
	if f.last == nil {
		f.last = map[string]FencingToken{}
	}
	last, known := f.last[job]
	switch {
	case f.Faults.ForgetTokens:
	case token.Token < last.Token:
		return Stale, last
	case token.Token == last.Token && token.Sequence <= last.Sequence:
		return Duplicate, last
	case !known && len(f.last) >= MaxJobs:
		return Stale, last // without a record of the job, a stale effect could not be rejected later
	}
	f.last[job] = token
	return Accepted, token
}

// LastAccepted returns the token of the latest accepted effect of a job, or the zero token if none
// was accepted.
func (f *Fence) LastAccepted(job string) FencingToken { return f.last[job] }
