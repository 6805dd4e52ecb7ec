package experiment

import (
	"time"

	"croftlock/internal/fleet/membership"
	"croftlock/internal/testbed/fake"
)

// Sees is how one process holds another; "" where it does not answer.
func (r *Rig) Sees(i, j int) string {
	rep, err := r.Ask(i)
	if err != nil {
		return ""
	}
	for _, m := range rep.Members {
		if m.Slot == j {
			return m.State
		}
	}
	return membership.Joining.String()
}

// Until waits for something to hold, and tells how long that took.
func Until(within time.Duration, holds func() bool) (time.Duration, bool) {
	began := time.Now()
	for !holds() {
		if time.Since(began) > within {
			return within, false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began), true
}

// AllSee waits until each of some processes holds another for one of some states.
func (r *Rig) AllSee(within time.Duration, by []int, j int, states ...string) (time.Duration, bool) {
	return Until(within, func() bool {
		for _, i := range by {
			s := r.Sees(i, j)
			ok := false
			for _, want := range states {
				ok = ok || s == want
			}
			if i != j && !ok {
				return false
			}
		}
		return true
	})
}

// Whole waits until all processes hold all others for alive.
func (r *Rig) Whole(within time.Duration) (time.Duration, bool) {
	return Until(within, func() bool {
		for i := range r.Procs {
			for j := range r.Procs {
				if i != j && r.Sees(i, j) != "alive" {
					return false
				}
			}
		}
		return true
	})
}

// Admin is where a process's operators call.
func (r *Rig) Admin(i int) string { return r.admin[i] }

// RigOptions are what a rig's processes are like.
type RigOptions struct {
	N        int
	Seed     uint64
	Key      string // seals what they tell one another; "": nothing does
	Sections string // more of the operators' file; DIR stands for a folder of each process's own
	Level    string // of the log; "": info
	Fleet    *fleet // whose hosts they serve; nil: none that answers
	// Discovery is another way to say which hosts; nil: as Fleet has it.
	Discovery *fake.Discovery
	// Discoveries are one for each process, in place of one for all: what each hears can differ.
	Discoveries []*fake.Discovery
	Env         []string
}
