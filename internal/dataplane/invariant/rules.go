// Package invariant holds the rules on requests in one place. A Request is asked before an attempt begins, before its line is written and
// before a refusal, and says which rule stands against it; and it is told of every action as it is carried out, and counts those that broke
// a rule all the same, whatever path they took. It does no I/O, and time is passed in.
package invariant

// Rule is something that no action on a request may break.
type Rule int

// The rules.
const (
	None                 Rule = iota
	RequestOver               // nothing begins for a request that is answered, or whose client has left
	SingleAttempt             // one attempt is out at a time
	AttemptLimit              // a request has so many attempts and no more
	BeforeDeadline            // nothing begins past the deadline
	HostAcceptsNew            // nothing new goes to a host that drains, is gone or is out by hand
	NoUnsafeRetry             // what may have run and must not run twice is not sent again
	RetryWithinScope          // a repeat goes only to hosts that share what they have seen with the first one
	RetryWithinWindow         // and only for as long as they remember it
	RejectionIsSafe           // a refusal promises that trying again does no harm
	SingleAnswer              // a request has one answer
	AnswerInTime              // and it comes within its deadline
	NoSilentEnd               // no request that was read ends without an answer, and no open connection without a word
	NothingAfterShutdown      // nothing is taken or begun once a process has answered for all that it holds
	rules
)

var names = [rules]string{"none", "over", "one_attempt", "attempt_limit", "in_time", "host_takes_none", "no_repeat", "repeat_scope", "repeat_window",
	"refusal_harmless", "one_answer", "answer_in_time", "no_silent_end", "taken_in_service"}

func (r Rule) String() string { return names[r] }

// Counts are how often each rule was broken, and how often one held an action back.
type Counts struct {
	Broken, Blocked [rules]int64
}

// Sum adds up all rules.
func (c *Counts) Sum() (broken, held int64) {
	for r := range c.Broken {
		broken += c.Broken[r]
		held += c.Blocked[r]
	}
	return broken, held
}

// Monitor counts for one process, and knows whether it still takes work.
type Monitor struct {
	Counts Counts
	closed bool
	report func(r Rule, id string)
}

// NewMonitor makes one; report hears of each action that broke a rule.
func NewMonitor(report func(r Rule, id string)) *Monitor { return &Monitor{report: report} }

// Close says that the process has answered for all that it holds: nothing begins from here on.
func (m *Monitor) Close() { m.closed = true }

// hold counts an action that a rule held back.
func (m *Monitor) hold(r Rule) Rule {
	if r != None {
		m.Counts.Blocked[r]++
	}
	return r
}

// broke counts an action that was carried out against a rule.
func (m *Monitor) broke(r Rule, id string) {
	if r == None {
		return
	}
	m.Counts.Broken[r]++
	m.report(r, id)
}
