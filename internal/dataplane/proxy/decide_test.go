package proxy

import (
	"slices"
	"testing"

	"croftlock/internal/balancer"
)

// Effects come after the event that caused them, and the events that they cause after all of them; a panic ends one step alone.
func TestEffectsFollowTheirEvent(t *testing.T) {
	d := decisionLoop{now: func() balancer.Time { return 1 }}
	var done []string
	note := func(s string) func() { return func() { done = append(done, s) } }
	d.submit(nil, nil, func(balancer.Time, Balancer) {
		d.addEffect(func() {
			note("effect 1")()
			d.submit(nil, nil, func(balancer.Time, Balancer) { d.addEffect(note("effect of the caused event")); note("caused event")() })
		})
		d.addEffect(func() { panic("on purpose") })
		d.addEffect(note("effect 3"))
		note("event")()
	})
	if want := []string{"event", "effect 1", "effect 3", "caused event", "effect of the caused event"}; !slices.Equal(done, want) {
		t.Errorf("got %q, want %q", done, want)
	}
	if d.running || d.events != nil || d.effects != nil {
		t.Errorf("left over: %+v", d)
	}
}
