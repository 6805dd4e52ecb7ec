package ownership

// FencingToken orders the effects of a job, which are the messages by which its owner changes other
// processes. Token is that of the grant under which the owner has the job, and Sequence the number of
// the effect under this grant. Token is compared first.
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
	// Stale means that the effect is rejected: one of a later grant was accepted before, or the Fence
	// has a record of MaxJobs other jobs and none of this one.
	Stale
)

// String returns the verdict's name, or "unknown" for a number that is no verdict.
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

	last map[string]FencingToken // of the latest accepted effect, by job name
}

// Check decides whether to accept an effect, and records its token if so. It also returns the token
// of the latest accepted effect of the job, which is the zero token if none was accepted. An effect
// that arrives after a later one of the same grant is a Duplicate: the later one replaces it.
func (f *Fence) Check(job string, token FencingToken) (Verdict, FencingToken) {
	if f.last == nil {
		f.last = map[string]FencingToken{}
	}
	last, known := f.last[job]
	switch {
	case f.Faults.ForgetTokens: // accept the effect without comparing its token
	case token.Token < last.Token:
		return Stale, last
	case token.Token == last.Token && token.Sequence <= last.Sequence:
		return Duplicate, last
	case !known && len(f.last) >= MaxJobs:
		return Stale, last // there is no room to record the token, so a later stale effect would be accepted
	}
	f.last[job] = token
	return Accepted, token
}

// LastAccepted returns the token of the latest accepted effect of a job, or the zero token if none
// was accepted.
func (f *Fence) LastAccepted(job string) FencingToken { return f.last[job] }
