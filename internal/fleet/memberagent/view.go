package memberagent

import "fmt"

// ViewMember is a member as this process sees it.
type ViewMember struct {
	Name        string // empty if not known yet
	ID          uint32
	State       string   // see membership.State.String
	Incarnation uint64   // see membership.Incarnation
	Unheard     []uint32 // IDs of the members from which this one reports to hear nothing
}

// View returns the other members as this process sees them, sorted by ID. ViewMember.Unheard is valid only
// during the current call on the event loop.
func (a *Agent) View() []ViewMember {
	var out []ViewMember
	for _, m := range a.core.View() {
		out = append(out, ViewMember{m.Name, m.ID, m.State.String(), uint64(m.Incarnation), m.Unheard})
	}
	return out
}

// FleetSize returns the intended number of members.
func (a *Agent) FleetSize() int { return a.core.FleetSize() }

// formatID formats a member ID for the log and reports.
func formatID(id uint32) string { return fmt.Sprintf("%08x", id) }
