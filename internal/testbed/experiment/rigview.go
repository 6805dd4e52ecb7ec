package experiment

import (
	"slices"
	"time"

	"croftlock/internal/fleet/membership"
)

// Sees is the state that process i gives process j; "" where i does not answer.
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

// Until waits for a condition to hold; it returns how long that took, and whether it held within the time.
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

// AllSee waits until each of the processes in by gives process j one of the states.
func (r *Rig) AllSee(within time.Duration, by []int, j int, states ...string) (time.Duration, bool) {
	return Until(within, func() bool {
		for _, i := range by {
			if i != j && !slices.Contains(states, r.Sees(i, j)) {
				return false
			}
		}
		return true
	})
}

// AllAlive waits until all processes see all others alive.
func (r *Rig) AllAlive(within time.Duration) (time.Duration, bool) {
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
