package rules

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// summary says at how many members the active version is, and at which it is not.
func (c *Publisher) summary(now Time) string {
	holders, all := 0, 0
	var lapsed []string
	for _, m := range c.owner.Members() {
		all++
		if c.leases.holder(m.Peer, now) != nil {
			holders++
		} else {
			lapsed = append(lapsed, m.Name)
		}
	}
	sort.Strings(lapsed)
	s := fmt.Sprintf("active: version %d at %d of %d", c.versions.active.Number, holders, all)
	if len(lapsed) > 0 {
		s += "; lapsed: " + strings.Join(lapsed, " ")
	}
	return s
}

// summaryOfChange answers for a change that was made.
func (c *Publisher) summaryOfChange(now Time, e *AuditEntry) string {
	s := c.summary(now)
	if e.Number < c.versions.active.Number {
		s += fmt.Sprintf("; this change was made as version %d", e.Number)
	}
	return s
}

// overview is the summary, and what is to follow the active version.
func (c *Publisher) overview(now Time) string {
	s := c.summary(now)
	if c.versions.staged != nil {
		s += fmt.Sprintf("; version %d is on its way", c.versions.staged.Number)
	}
	if n := len(c.proposals.waiting); n > 0 {
		s += fmt.Sprintf("; %d changes wait", n)
	}
	return s
}

// versionText is a version as a file has it; 0: the active one.
func (c *Publisher) versionText(number uint64) string {
	if number == 0 {
		number = c.versions.active.Number
	}
	v := c.versions.byNumber(number)
	if v == nil {
		return fmt.Sprintf("refused: version %d is not kept any more", number)
	}
	return string(compress([]byte(v.String())))
}

// status is what operators need while a version does not become active: what the coordinator waits for, who holds which lease and for how long,
// and who has the staged version ready or why not.
func (c *Publisher) status(now Time) string {
	var b strings.Builder
	c.writeProgress(&b, now)
	c.writeMembers(&b, now)
	return strings.TrimSuffix(b.String(), "\n")
}

func (c *Publisher) writeProgress(w io.Writer, now Time) {
	v := &c.versions
	fmt.Fprintf(w, "version %d is active, %d entries; %d earlier ones are kept\n", v.active.Number, v.active.Entries(), len(v.history))
	if now < c.leases.unknownUntil {
		fmt.Fprintf(w, "an earlier keeper's rights may be held for %v more: until then nothing becomes active\n", roundedToMillis(c.leases.unknownUntil-now))
	}
	if v.staged != nil {
		fmt.Fprintf(w, "version %d is on its way for %v\n", v.staged.Number, roundedToMillis(now-v.stagedAt))
	}
	if c.pending.next != nil {
		fmt.Fprintf(w, "the group was asked %v ago to keep a version, and has not said so\n", roundedToMillis(now-c.pending.startedAt))
	}
	for _, p := range c.proposals.staged {
		fmt.Fprintf(w, "on its way: a change of %s by %s\n", p.subject(), p.proposer)
	}
	for _, p := range c.proposals.waiting {
		fmt.Fprintf(w, "waits: a change of %s by %s\n", p.subject(), p.proposer)
	}
}

func (c *Publisher) writeMembers(w io.Writer, now Time) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "process\tacts by\tfor\tnext version")
	for _, m := range c.owner.Members() {
		number, remaining := "none", "-"
		if holder := c.leases.holder(m.Peer, now); holder != nil {
			number, remaining = fmt.Sprint(holder.leaseNumber), roundedToMillis(holder.leaseEnd-now).String()
		} else if !m.Present {
			number = "none: not there"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", m.Name, number, remaining, c.stagedStateAt(m.Peer))
	}
	t.Flush()
}

// stagedStateAt says what a member has reported of the staged version.
func (c *Publisher) stagedStateAt(peer uint32) string {
	if c.versions.staged == nil {
		return "-"
	}
	m := c.leases.members[peer]
	switch {
	case m == nil:
		return "not ready"
	case m.fault != "":
		return "can't be used: " + m.fault
	case m.ready == c.versions.stagedHash:
		return "ready"
	}
	return "not ready"
}

func (c *Publisher) memberName(peer uint32) string {
	for _, m := range c.owner.Members() {
		if m.Peer == peer {
			return m.Name
		}
	}
	return fmt.Sprintf("%08x", peer)
}

func roundedToMillis(d Time) time.Duration { return time.Duration(d).Round(time.Millisecond) }
