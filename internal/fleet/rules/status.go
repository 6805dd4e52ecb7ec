package rules

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// status says what operators ask for while something does not become active: who holds which lease and for how long, who has the next version ready or
// why not, and what the coordinator waits for.
func (k *Coordinator) status(now Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d is active, %d entries; %d earlier ones are kept\n", k.active.Number, k.active.Entries(), len(k.past))
	if now < k.blind {
		fmt.Fprintf(&b, "an earlier keeper's rights may be held for %v more: until then nothing becomes active\n", span(k.blind-now))
	}
	if k.staged != nil {
		fmt.Fprintf(&b, "version %d is on its way for %v\n", k.staged.Number, span(now-k.since))
	}
	if k.noting != nil {
		fmt.Fprintf(&b, "the group was asked %v ago to keep a version, and has not said so\n", span(now-k.notedAt))
	}
	for _, p := range k.made {
		fmt.Fprintf(&b, "on its way: a change of %s by %s\n", p.about(), p.who)
	}
	for _, p := range k.waiting {
		fmt.Fprintf(&b, "waits: a change of %s by %s\n", p.about(), p.who)
	}
	t := tabwriter.NewWriter(&b, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "process\tacts by\tfor\tnext version")
	for _, m := range k.owner.Members() {
		by, left := "none", "-"
		if r, has := k.leases[m.Peer]; has && r.until > now {
			by, left = fmt.Sprint(r.number), span(r.until-now).String()
		} else if !m.Present {
			by = "none: not there"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", m.Name, by, left, k.ahead(m.Peer))
	}
	t.Flush()
	return strings.TrimSuffix(b.String(), "\n")
}

// ahead says what one process has said of the version that is on its way.
func (k *Coordinator) ahead(peer uint32) string {
	switch {
	case k.staged == nil:
		return "-"
	case k.faults[peer] != "":
		return "can't be used: " + k.faults[peer]
	case k.ready[peer] == k.hash:
		return "ready"
	}
	return "not ready"
}

func span(d Time) time.Duration { return time.Duration(d).Round(time.Millisecond) }
