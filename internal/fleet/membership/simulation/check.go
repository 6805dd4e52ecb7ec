package simulation

import (
	"fmt"

	"croftlock/internal/fleet/membership"
)

// recordViolation records a violated invariant, which ends the run. It ignores all but the first.
func (f *Fleet) recordViolation(format string, args ...any) {
	if f.Violation == "" {
		f.Violation = fmt.Sprintf("at %d ms: ", f.now/Ms) + fmt.Sprintf(format, args...)
	}
}

// checkInvariants checks the invariants of one process's view, the states of all members as it sees them:
// the view's version never falls, no member returns to an earlier process under its name, and no member is
// gone that all others hear.
func (n *Node) checkInvariants() {
	f := n.fleet
	if f.SkipChecks {
		return
	}
	if v := n.Core.Version(); v < n.version {
		f.recordViolation("n%d: the version of the view is %d after version %d", n.index, v, n.version)
	} else {
		n.version = v
	}
	for _, m := range n.Core.View() {
		if m.Incarnation.Start() < n.newest[m.ID].Start() {
			f.recordViolation("n%d: member %08x went back to an earlier incarnation", n.index, m.ID)
		}
		n.newest[m.ID] = max(m.Incarnation, n.newest[m.ID])
		if f.Seeds == 0 && m.State == membership.Gone && m.Slot >= 0 && f.heardByAll(m) {
			f.recordViolation("n%d: n%d is gone, but all others have heard it within the last second", n.index, m.Slot)
		}
	}
}

// checkChange checks that a process marks no member as suspect or unreachable within a second after a
// pause of more than a second: what it did not hear during the pause proves nothing.
func (n *Node) checkChange(c membership.Change) {
	suspects := c.OldState != c.NewState && (c.NewState == membership.Suspect || c.NewState == membership.Unreachable)
	if suspects && n.resumedAt > 0 && n.fleet.now-n.resumedAt < Sec {
		n.fleet.recordViolation("n%d suspects member %08x within a second after a pause: %s", n.index, c.ID, c.Reason)
	}
}

// heardByAll reports whether all other running processes that are not paused have heard a member's process
// within the last second, and there are at least two of them.
func (f *Fleet) heardByAll(member membership.Member) bool {
	others := 0
	for i, o := range f.Nodes {
		if i == member.Slot || !o.Running || o.Paused {
			continue
		}
		others++
		heard := false
		for _, m := range o.Core.View() {
			heard = heard || m.ID == member.ID && m.HeardHere > 0 && f.now-m.HeardHere < Sec && m.Incarnation.Start() == member.Incarnation.Start()
		}
		if !heard {
			return false
		}
	}
	return others > 1
}

// StateOf returns the state of process j in the view of process i, or Joining if i does not know j. i and j
// are process numbers.
func (f *Fleet) StateOf(i, j int) membership.State {
	id := membership.ID(Name(j))
	for _, m := range f.Nodes[i].Core.View() {
		if m.ID == id {
			return m.State
		}
	}
	return membership.Joining
}

// Disagreement describes a running process whose view is wrong, or two whose views differ. It returns ""
// if the views of all running processes are right and equal.
func (f *Fleet) Disagreement() string {
	digest, first := uint32(0), -1
	for i, n := range f.Nodes {
		if !n.Running {
			continue
		}
		if description := f.viewError(i); description != "" {
			return description
		}
		if d := n.Core.Digest(); first < 0 {
			digest, first = d, i
		} else if d != digest {
			return fmt.Sprintf("n%d and n%d have different views", first, i)
		}
	}
	return ""
}

// viewError describes an error in the view of process i. It returns "" if there is none.
func (f *Fleet) viewError(i int) string {
	for j, o := range f.Nodes {
		if i == j {
			continue
		}
		s := f.StateOf(i, j)
		switch {
		case o.Running && s != membership.Alive:
			return fmt.Sprintf("n%d sees n%d, which runs, as %s", i, j, s)
		case !o.Running && (s == membership.Alive || s == membership.Suspect):
			return fmt.Sprintf("n%d sees n%d, which does not run, as %s", i, j, s)
		}
	}
	return ""
}
