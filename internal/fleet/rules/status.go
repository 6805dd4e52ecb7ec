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
func (k *Coordinator) summary(now Time) string {
	holders, all := 0, 0
	var lapsed []string
	for _, m := range k.owner.Members() {
		all++
		if k.leases.holder(m.Peer, now) != nil {
			holders++
		} else {
			lapsed = append(lapsed, m.Name)
		}
	}
	sort.Strings(lapsed)
	s := fmt.Sprintf("active: version %d at %d of %d", k.versions.active.Number, holders, all)
	if len(lapsed) > 0 {
		s += "; lapsed: " + strings.Join(lapsed, " ")
	}
	return s
}

// summaryOfChange answers for a change that was made.
func (k *Coordinator) summaryOfChange(now Time, e *AuditEntry) string {
	s := k.summary(now)
	if e.Number < k.versions.active.Number {
		s += fmt.Sprintf("; this change was made as version %d", e.Number)
	}
	return s
}

// overview is the summary, and what is to follow the active version.
func (k *Coordinator) overview(now Time) string {
	s := k.summary(now)
	if k.versions.staged != nil {
		s += fmt.Sprintf("; version %d is on its way", k.versions.staged.Number)
	}
	if n := len(k.proposals.waiting); n > 0 {
		s += fmt.Sprintf("; %d changes wait", n)
	}
	return s
}

// versionText is a version as a file has it; 0: the active one.
func (k *Coordinator) versionText(number uint64) string {
	if number == 0 {
		number = k.versions.active.Number
	}
	v := k.versions.byNumber(number)
	if v == nil {
		return fmt.Sprintf("refused: version %d is not kept any more", number)
	}
	return string(compress([]byte(v.String())))
}

// status is what operators need while a version does not become active: what the coordinator waits for, who holds which lease and for how long,
// and who has the staged version ready or why not.
func (k *Coordinator) status(now Time) string {
	var b strings.Builder
	k.writeProgress(&b, now)
	k.writeMembers(&b, now)
	return strings.TrimSuffix(b.String(), "\n")
}

func (k *Coordinator) writeProgress(w io.Writer, now Time) {
	v := &k.versions
	fmt.Fprintf(w, "version %d is active, %d entries; %d earlier ones are kept\n", v.active.Number, v.active.Entries(), len(v.history))
	if now < k.leases.unknownUntil {
		fmt.Fprintf(w, "an earlier keeper's rights may be held for %v more: until then nothing becomes active\n", roundedToMillis(k.leases.unknownUntil-now))
	}
	if v.staged != nil {
		fmt.Fprintf(w, "version %d is on its way for %v\n", v.staged.Number, roundedToMillis(now-v.stagedAt))
	}
	if k.pending.next != nil {
		fmt.Fprintf(w, "the group was asked %v ago to keep a version, and has not said so\n", roundedToMillis(now-k.pending.startedAt))
	}
	for _, p := range k.proposals.staged {
		fmt.Fprintf(w, "on its way: a change of %s by %s\n", p.subject(), p.proposer)
	}
	for _, p := range k.proposals.waiting {
		fmt.Fprintf(w, "waits: a change of %s by %s\n", p.subject(), p.proposer)
	}
}

func (k *Coordinator) writeMembers(w io.Writer, now Time) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "process\tacts by\tfor\tnext version")
	for _, m := range k.owner.Members() {
		number, remaining := "none", "-"
		if holder := k.leases.holder(m.Peer, now); holder != nil {
			number, remaining = fmt.Sprint(holder.leaseNumber), roundedToMillis(holder.leaseEnd-now).String()
		} else if !m.Present {
			number = "none: not there"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", m.Name, number, remaining, k.stagedStateAt(m.Peer))
	}
	t.Flush()
}

// stagedStateAt says what a member has reported of the staged version.
func (k *Coordinator) stagedStateAt(peer uint32) string {
	if k.versions.staged == nil {
		return "-"
	}
	m := k.leases.members[peer]
	switch {
	case m == nil:
		return "not ready"
	case m.fault != "":
		return "can't be used: " + m.fault
	case m.ready == k.versions.stagedHash:
		return "ready"
	}
	return "not ready"
}

func (k *Coordinator) memberName(peer uint32) string {
	for _, m := range k.owner.Members() {
		if m.Peer == peer {
			return m.Name
		}
	}
	return fmt.Sprintf("%08x", peer)
}

func roundedToMillis(d Time) time.Duration { return time.Duration(d).Round(time.Millisecond) }
