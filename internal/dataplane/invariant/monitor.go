package invariant

// Counts holds, by Rule, how many actions broke the rule (were carried out although it forbids them)
// and how many the rule blocked (were not carried out).
type Counts struct {
	Broken, Blocked [ruleCount]int64
}

// Sum returns the totals over all rules.
func (c *Counts) Sum() (broken, blocked int64) {
	for r := range c.Broken {
		broken += c.Broken[r]
		blocked += c.Blocked[r]
	}
	return broken, blocked
}

// Monitor counts the broken rules and blocked actions of one process. It is not safe for
// concurrent use.
type Monitor struct {
	Counts Counts
	closed bool                    // Close was called: no attempt or first line may begin any more
	report func(r Rule, id string) // called for each action that broke a rule; id is the request's
}

// NewMonitor returns a Monitor that calls report, with the request's ID, for each action that broke
// a rule.
func NewMonitor(report func(r Rule, id string)) *Monitor { return &Monitor{report: report} }

// Close records that the process, which is shutting down, has answered all requests. From then on
// NothingAfterShutdown forbids every attempt and first line.
func (m *Monitor) Close() { m.closed = true }

// countBlocked counts an action that r forbids, and returns r. None counts nothing.
func (m *Monitor) countBlocked(r Rule) Rule {
	if r != None {
		m.Counts.Blocked[r]++
	}
	return r
}

// countBroken counts and reports an action that was carried out although r forbids it. None counts
// nothing.
func (m *Monitor) countBroken(r Rule, id string) {
	if r == None {
		return
	}
	m.Counts.Broken[r]++
	m.report(r, id)
}
