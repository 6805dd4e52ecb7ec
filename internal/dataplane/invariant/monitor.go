package invariant

// Counts are how often each rule was broken, and how often one blocked an action.
type Counts struct {
	Broken, Blocked [ruleCount]int64
}

// Sum adds up all rules.
func (c *Counts) Sum() (broken, blocked int64) {
	for r := range c.Broken {
		broken += c.Broken[r]
		blocked += c.Blocked[r]
	}
	return broken, blocked
}

// Monitor counts for one process, and knows whether the process still begins work.
type Monitor struct {
	Counts Counts
	closed bool
	report func(r Rule, id string)
}

// NewMonitor makes a Monitor. report is called for each action that broke a rule, with the request's ID.
func NewMonitor(report func(r Rule, id string)) *Monitor { return &Monitor{report: report} }

// Close says that the process, which shuts down, has answered all requests: nothing begins from here on.
func (m *Monitor) Close() { m.closed = true }

// countBlocked counts an action that a rule forbids, and gives the rule back.
func (m *Monitor) countBlocked(r Rule) Rule {
	if r != None {
		m.Counts.Blocked[r]++
	}
	return r
}

// countBroken counts an action that was carried out against a rule.
func (m *Monitor) countBroken(r Rule, id string) {
	if r == None {
		return
	}
	m.Counts.Broken[r]++
	m.report(r, id)
}
