package proxy

import (
	"slices"
	"testing"

	"croftlock/internal/balancer"
)

// TestEffectsFollowTheirEvent checks that effects run after the event that caused them, that events
// caused by effects follow after all of these, and that a panic ends only the effect in which it
// happens.
func TestEffectsFollowTheirEvent(t *testing.T) {
	d := decisionLoop{now: func() balancer.Time { return 1 }}
	var steps []string
	step := func(name string) func() { return func() { steps = append(steps, name) } }
	d.submit(nil, nil, func(balancer.Time, Balancer) {
		d.addEffect(func() {
			step("effect 1")()
			d.submit(nil, nil, func(balancer.Time, Balancer) { d.addEffect(step("effect of the caused event")); step("caused event")() })
		})
		d.addEffect(func() { panic("on purpose") })
		d.addEffect(step("effect 3"))
		step("event")()
	})
	if want := []string{"event", "effect 1", "effect 3", "caused event", "effect of the caused event"}; !slices.Equal(steps, want) {
		t.Errorf("steps ran in the order %q, want %q", steps, want)
	}
	if d.running || d.events != nil || d.effects != nil {
		t.Errorf("after submit: running %t, events %v, effects %v, want running false, events nil, effects nil", d.running, d.events, d.effects)
	}
}
