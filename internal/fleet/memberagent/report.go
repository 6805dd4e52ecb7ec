package memberagent

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"croftlock/internal/fleet/membership"
)

// Report is the view of a process for operators. The JSON fields keep the names that operators know: life
// for the start time of the incarnation, peer for the slot.
type Report struct {
	Name        string         `json:"name"`
	Version     uint64         `json:"version"` // rises with each change of the view
	Digest      string         `json:"digest"`  // equal for equal views
	Quorum      bool           `json:"quorum"`  // see membership.Core.Quorum
	Incarnation uint64         `json:"life"`    // start time of the process, in Unix milliseconds
	Members     []ReportMember `json:"members"`
	Counts      map[string]int `json:"counts"`
}

// ReportMember is a member in a Report.
type ReportMember struct {
	ID          string `json:"id"`
	Name        string `json:"name"` // empty if not known yet
	Slot        int    `json:"peer"` // -1 if not known
	State       string `json:"state"`
	Incarnation uint64 `json:"life"` // start time of the member's process, in Unix milliseconds
	// HeardMS is the time since the reporting process last heard the member, in milliseconds; -1 if never.
	HeardMS int64 `json:"heard_ms"`
	// HeardByAnyMS is the time since any process last heard the member, in milliseconds; -1 if never.
	HeardByAnyMS int64 `json:"heard_by_any_ms"`
	// Unheard lists the members that the member reports as unheard, by name, or by ID if the name is not
	// known.
	Unheard []string `json:"does_not_hear"`
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s  version %d  view %s  quorum %t\n\n", r.Name, r.Version, r.Digest, r.Quorum)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "PEER\tNAME\tID\tSTATE\tLIFE\tHEARD MS AGO\tBY ANYBODY\tDOES NOT HEAR")
	for _, m := range r.Members {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", m.Slot, m.Name, m.ID, m.State, m.Incarnation, m.HeardMS, m.HeardByAnyMS, strings.Join(m.Unheard, " "))
	}
	return t.Flush()
}

// report returns the current report.
func (a *Agent) report() Report {
	now := a.loop.Now()
	r := Report{
		Name:        a.name,
		Version:     a.core.Version(),
		Digest:      formatID(a.core.Digest()),
		Quorum:      a.core.Quorum(),
		Incarnation: a.core.Incarnation().Start(),
		Counts:      a.counts(),
	}
	view := a.core.View()
	names := a.memberNames(view)
	for _, m := range view {
		r.Members = append(r.Members, reportMember(m, now, names))
	}
	return r
}

// memberNames returns the known names of members, including this process, by member ID.
func (a *Agent) memberNames(view []membership.Member) map[uint32]string {
	names := map[uint32]string{membership.ID(a.name): a.name}
	for _, m := range view {
		if m.Name != "" {
			names[m.ID] = m.Name
		}
	}
	return names
}

// reportMember returns the entry of a member in a Report made at now, on the event loop's clock. names holds
// the known names by member ID.
func reportMember(m membership.Member, now membership.Time, names map[uint32]string) ReportMember {
	row := ReportMember{
		ID:           formatID(m.ID),
		Name:         m.Name,
		Slot:         m.Slot,
		State:        m.State.String(),
		Incarnation:  m.Incarnation.Start(),
		HeardMS:      millisecondsAgo(m.HeardHere, now),
		HeardByAnyMS: millisecondsAgo(m.HeardByAny, now),
		Unheard:      []string{},
	}
	for _, id := range m.Unheard {
		name, known := names[id]
		if !known {
			name = formatID(id)
		}
		row.Unheard = append(row.Unheard, name)
	}
	return row
}

// millisecondsAgo returns the time from at to now in milliseconds, or -1 if at is zero, which means never.
func millisecondsAgo(at, now membership.Time) int64 {
	if at <= 0 {
		return -1
	}
	return (now - at) / 1e6
}

// counts returns the counts of the core and of the transport, by the names that operators know.
func (a *Agent) counts() map[string]int {
	n := a.core.Counts()
	return map[string]int{
		"sent":          n.Sent,
		"bytes":         n.Bytes,
		"heard":         n.Heard,
		"malformed":     n.Malformed,
		"other_version": n.OtherVersion,
		"other_fleet":   n.OtherFleet,
		"old_life":      n.OldIncarnation,
		"clashes":       n.NameConflicts,
		"pauses":        n.Pauses,
		"refutations":   n.Refutations,
		"unsealed":      a.transport.sealFailures,
		"strangers":     int(a.transport.link.Dropped()),
	}
}
