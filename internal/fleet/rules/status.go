package rules

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// summary returns a text with the number of the active version, the number of members that hold a
// lease, and the names of the other members.
func (p *Publisher) summary(now Time) string {
	holders, all := 0, 0
	var lapsed []string
	for _, m := range p.owner.Members() {
		all++
		if p.leases.leaseHolder(m.Peer, now) != nil {
			holders++
		} else {
			lapsed = append(lapsed, m.Name)
		}
	}
	sort.Strings(lapsed)
	s := fmt.Sprintf("active: version %d at %d of %d", p.versions.active.Number, holders, all)
	if len(lapsed) > 0 {
		s += "; lapsed: " + strings.Join(lapsed, " ")
	}
	return s
}

// summaryOfChange returns the answer to a retry of an applied change: the summary, and the version of
// the change if a newer one is active.
func (p *Publisher) summaryOfChange(now Time, e *AuditEntry) string {
	s := p.summary(now)
	if e.Number < p.versions.active.Number {
		s += fmt.Sprintf("; this change was made as version %d", e.Number)
	}
	return s
}

// overview returns the summary, followed by the number of the staged version and the number of
// waiting changes, if there are any.
func (p *Publisher) overview(now Time) string {
	s := p.summary(now)
	if p.versions.staged != nil {
		s += fmt.Sprintf("; version %d is on its way", p.versions.staged.Number)
	}
	if n := len(p.proposals.waiting); n > 0 {
		s += fmt.Sprintf("; %d changes wait", n)
	}
	return s
}

// versionText returns the text of a version in the format of a settings file, compressed if it is
// long. Number 0 means the active version.
func (p *Publisher) versionText(number uint64) string {
	if number == 0 {
		number = p.versions.active.Number
	}
	v := p.versions.byNumber(number)
	if v == nil {
		return fmt.Sprintf("refused: version %d is not kept any more", number)
	}
	return string(compress([]byte(v.String())))
}

// status returns a text for operators that shows why a version does not become active: what the
// publisher waits for, each member's lease and its remaining time, and whether the member has
// compiled the staged version. The text uses the operators' terms: a right is a lease, a keeper the
// publisher.
func (p *Publisher) status(now Time) string {
	var b strings.Builder
	p.writeProgress(&b, now)
	p.writeMembers(&b, now)
	return strings.TrimSuffix(b.String(), "\n")
}

// writeProgress writes the versions and the pending changes, and what the publisher waits for.
func (p *Publisher) writeProgress(w io.Writer, now Time) {
	v := &p.versions
	fmt.Fprintf(w, "version %d is active, %d entries; %d earlier ones are kept\n", v.active.Number, v.active.Entries(), len(v.history))
	if now < p.leases.unknownUntil {
		fmt.Fprintf(w, "an earlier keeper's rights may be held for %v more: until then nothing becomes active\n", roundedToMillis(p.leases.unknownUntil-now))
	}
	if v.staged != nil {
		fmt.Fprintf(w, "version %d is on its way for %v\n", v.staged.Number, roundedToMillis(now-v.stagedAt))
	}
	if p.pending.next != nil {
		fmt.Fprintf(w, "the group was asked %v ago to keep a version, and has not said so\n", roundedToMillis(now-p.pending.startedAt))
	}
	for _, proposal := range p.proposals.staged {
		fmt.Fprintf(w, "on its way: a change of %s by %s\n", proposal.subject(), proposal.proposer)
	}
	for _, proposal := range p.proposals.waiting {
		fmt.Fprintf(w, "waits: a change of %s by %s\n", proposal.subject(), proposal.proposer)
	}
}

// writeMembers writes a table with a line for each member: the version that its lease covers, the
// remaining time of the lease, and whether the member has compiled the staged version.
func (p *Publisher) writeMembers(w io.Writer, now Time) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "process\tacts by\tfor\tnext version")
	for _, m := range p.owner.Members() {
		number, remaining := "none", "-"
		if holder := p.leases.leaseHolder(m.Peer, now); holder != nil {
			number, remaining = fmt.Sprint(holder.leaseNumber), roundedToMillis(holder.leaseEnd-now).String()
		} else if !m.Present {
			number = "none: not there"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", m.Name, number, remaining, p.stagedStateAt(m.Peer))
	}
	t.Flush()
}

// stagedStateAt returns whether the member with a peer ID has compiled the staged version, as text:
// ready, not ready, the reason why it can't use the version, or "-" if none is staged.
func (p *Publisher) stagedStateAt(peer uint32) string {
	if p.versions.staged == nil {
		return "-"
	}
	m := p.leases.members[peer]
	switch {
	case m == nil:
		return "not ready"
	case m.fault != "":
		return "can't be used: " + m.fault
	case m.ready == p.versions.stagedHash:
		return "ready"
	}
	return "not ready"
}

// memberName returns the name of a member, or the peer ID in hexadecimal if the member is unknown.
func (p *Publisher) memberName(peer uint32) string {
	for _, m := range p.owner.Members() {
		if m.Peer == peer {
			return m.Name
		}
	}
	return fmt.Sprintf("%08x", peer)
}

func roundedToMillis(d Time) time.Duration { return time.Duration(d).Round(time.Millisecond) }
