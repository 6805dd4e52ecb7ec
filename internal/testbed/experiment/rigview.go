package experiment

import (
	"slices"
	"time"

	"croftlock/internal/fleet/membership"
)

// MemberState is the state of process j in the view of process i; "" where i does not answer.
func (r *Rig) MemberState(i, j int) string {
	report, err := r.RequestMemberReport(i)
	if err != nil {
		return ""
	}
	for _, m := range report.Members {
		if m.Slot == j {
			return m.State
		}
	}
	return membership.Joining.String()
}

// AwaitCondition waits for a condition to hold; it returns how long that took, and whether it held within the time.
func AwaitCondition(within time.Duration, holds func() bool) (time.Duration, bool) {
	startedAt := time.Now()
	for !holds() {
		if time.Since(startedAt) > within {
			return within, false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(startedAt), true
}

// AwaitMemberState waits until process j has one of the states in the view of each other process of observers.
func (r *Rig) AwaitMemberState(within time.Duration, observers []int, j int, states ...string) (time.Duration, bool) {
	return AwaitCondition(within, func() bool {
		for _, i := range observers {
			if i != j && !slices.Contains(states, r.MemberState(i, j)) {
				return false
			}
		}
		return true
	})
}

// AwaitAllAlive waits until all processes see all others alive.
func (r *Rig) AwaitAllAlive(within time.Duration) (time.Duration, bool) {
	return AwaitCondition(within, func() bool {
		for i := range r.Procs {
			for j := range r.Procs {
				if i != j && r.MemberState(i, j) != "alive" {
					return false
				}
			}
		}
		return true
	})
}
