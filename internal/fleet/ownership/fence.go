package ownership

// FencingToken orders the effects of a job: by the owner's token, then by the number that the owner gave the effect.
type FencingToken struct{ Token, Sequence uint64 }

// Before reports whether t comes before other.
func (t FencingToken) Before(other FencingToken) bool {
	return t.Token < other.Token || t.Token == other.Token && t.Sequence < other.Sequence
}

// Verdict is what a receiver decides on an effect.
type Verdict uint8

// The verdicts, as sent in acknowledgements.
const (
	Accepted  Verdict = iota
	Duplicate         // this effect or a later one of the same token was accepted before
	Stale             // a higher token was seen, or the Fence is full and does not know the job
)

// String names the verdict.
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

// Fence is what a receiver remembers of each job: the fencing token of the latest effect that it accepted. It makes
// effects of a stale owner harmless that come after a later owner's. It is in memory: a process begins with an empty one.
type Fence struct {
	Faults FaultInjection

	last map[string]FencingToken
}

// Check decides on an effect, and remembers its token if it is accepted; it returns the token of the latest effect accepted as well. An effect
// replaces earlier ones of its job, so one that arrives after a later one is not needed.
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
		return Stale, last // a job that can't be remembered could not be fenced later
	}
	f.last[job] = token
	return Accepted, token
}

// LastAccepted is the latest effect accepted of a job.
func (f *Fence) LastAccepted(job string) FencingToken { return f.last[job] }
