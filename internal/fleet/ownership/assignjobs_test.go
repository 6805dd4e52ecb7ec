package ownership

import (
	"fmt"
	"testing"

	"croftlock/internal/fleet/group"
)

// soleVoter is a group of one voter, which applies a command before Propose returns. A command that
// is proposed while another is applied is queued behind it.
type soleVoter struct {
	core          *Core
	table         *Table
	queue         []func()       // each applies a proposed command
	applying      bool           // whether a command is being applied
	grants        map[string]int // number of proposed grants, by job name
	registrations map[string]int // number of proposed registrations, by job name
}

// Propose counts the command and applies it.
func (g *soleVoter) Propose(now Time, _ byte, tag uint64, encoded []byte) error {
	cmd, err := decodeCommand(encoded)
	if err != nil {
		return err
	}
	switch c := cmd.(type) {
	case grantCommand:
		g.grants[c.job]++
	case registerCommand:
		g.registrations[c.job]++
	}
	g.queue = append(g.queue, func() { g.core.Applied(now, tag, g.table.Apply(encoded)) })
	if g.applying {
		return nil
	}
	g.applying = true
	for len(g.queue) > 0 {
		next := g.queue[0]
		g.queue = g.queue[1:]
		next()
	}
	g.applying = false
	return nil
}

func (g *soleVoter) Confirm(now Time, tag uint64) error {
	g.core.Confirmed(now, tag)
	return nil
}

func (g *soleVoter) Tick(Time)                          {}
func (g *soleVoter) Receive(Time, uint32, []byte) error { return nil }
func (g *soleVoter) Leading() (uint64, bool)            { return 1, true }
func (g *soleVoter) Leader() uint32                     { return group.Peer("a") }
func (g *soleVoter) TransferLeadership(Time)            {}

// TestJobsAreAssignedOnce tests that no job is registered or granted twice when commands are applied
// before Propose returns, so that assignJobs runs recursively.
func TestJobsAreAssignedOnce(t *testing.T) {
	var jobs []string
	for i := range 20 {
		jobs = append(jobs, fmt.Sprintf("job%02d", i))
	}
	g := &soleVoter{table: NewTable(), grants: map[string]int{}, registrations: map[string]int{}}
	core, err := New(Config{Name: "a", Incarnation: 1, Voters: []string{"a"}, Jobs: jobs}, g, g.table, &Fence{}, discardEffects{})
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	g.core = core
	for now := Time(1); now < 4*sec; now += 100 * ms {
		core.Tick(now)
	}
	if owned := core.OwnedJobs(); len(owned) != len(jobs) {
		t.Errorf("%d jobs have an owner, want all %d", len(owned), len(jobs))
	}
	for _, job := range jobs {
		if g.registrations[job] != 1 || g.grants[job] != 1 {
			t.Errorf("%s was registered %d times and granted %d times, want once each", job, g.registrations[job], g.grants[job])
		}
	}
}
