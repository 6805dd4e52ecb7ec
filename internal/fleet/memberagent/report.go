package memberagent

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"croftlock/internal/fleet/membership"
)

// Report is a process's view as operators see it. Their names for fields stay: life is the incarnation, peer the slot.
type Report struct {
	Name        string         `json:"name"`
	Version     uint64         `json:"version"`
	Digest      string         `json:"digest"` // equal where views are equal
	Quorum      bool           `json:"quorum"`
	Incarnation uint64         `json:"life"` // the process's start, in Unix milliseconds
	Members     []ReportMember `json:"members"`
	Counts      map[string]int `json:"counts"`
}

// ReportMember is one member in a Report.
type ReportMember struct {
	ID           string   `json:"id"`
	Name         string   `json:"name"` // "": not known yet
	Slot         int      `json:"peer"`
	State        string   `json:"state"`
	Incarnation  uint64   `json:"life"`            // its start, in Unix milliseconds
	HeardMS      int64    `json:"heard_ms"`        // milliseconds since this process heard it; -1: never
	HeardByAnyMS int64    `json:"heard_by_any_ms"` // milliseconds since anybody heard it; -1: never
	Unheard      []string `json:"does_not_hear"`
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

// memberNames are the names that are known, by id.
func (a *Agent) memberNames(view []membership.Member) map[uint32]string {
	names := map[uint32]string{membership.ID(a.name): a.name}
	for _, m := range view {
		if m.Name != "" {
			names[m.ID] = m.Name
		}
	}
	return names
}

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

// millisecondsAgo is how long ago a time was; -1: never.
func millisecondsAgo(at, now membership.Time) int64 {
	if at <= 0 {
		return -1
	}
	return (now - at) / 1e6
}

// counts are what was sent and received, under the names that operators know.
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
