package experiment

import (
	"slices"
	"time"

	"croftlock/internal/fleet/membership"
)

// MemberState returns the state of process j in the view of process i, or "" if process i does not
// reply. A process that is missing in the view is joining.
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

// AwaitCondition polls a condition every 20 ms until it holds. It returns the elapsed time and
// whether the condition held within the time limit.
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

// AwaitMemberState waits until process j has one of the states in the view of each observer other
// than j. It returns the same values as AwaitCondition.
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

// AwaitAllAlive waits until all processes are alive in the views of all others. It returns the same
// values as AwaitCondition.
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
