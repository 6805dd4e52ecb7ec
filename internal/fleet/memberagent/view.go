package memberagent

import "fmt"

// ViewMember is one member as this process sees it.
type ViewMember struct {
	Name        string // "": not known yet
	ID          uint32
	State       string
	Incarnation uint64
	Unheard     []uint32 // members that it reports not to hear
}

// View is the members as this process sees them, itself left out.
func (a *Agent) View() []ViewMember {
	var out []ViewMember
	for _, m := range a.core.View() {
		out = append(out, ViewMember{m.Name, m.ID, m.State.String(), uint64(m.Incarnation), m.Unheard})
	}
	return out
}

// FleetSize is how many members the fleet is intended to have.
func (a *Agent) FleetSize() int { return a.core.FleetSize() }

// formatID is a member's id as the log and reports show it.
func formatID(id uint32) string { return fmt.Sprintf("%08x", id) }
