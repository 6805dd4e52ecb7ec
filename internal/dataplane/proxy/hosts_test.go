package proxy

import (
	"testing"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/maintenance"
)

// blockingWatermarks is a Watermarks that blocks the host of this ID.
type blockingWatermarks string

func (b blockingWatermarks) ListUpdated(WatchEvent) []string        { return nil }
func (b blockingWatermarks) Blocks(id string, _ balancer.Time) bool { return id == string(b) }

// A state other than Ready from the discovery service takes precedence over a suspension, which takes
// precedence over a watermark.
func TestEffectiveState(t *testing.T) {
	table := hostTable{byID: map[string]*host{}, suspensions: maintenance.New(), watermarks: blockingWatermarks("w")}
	for _, id := range []string{"s", "w"} {
		table.suspensions.HostListed(id)
	}
	table.suspensions.SetSuspended("s", true, 1)
	for _, c := range []struct {
		id           string
		listed, want balancer.HostState
	}{
		{"a", balancer.Ready, balancer.Ready},
		{"a", balancer.Draining, balancer.Draining},
		{"s", balancer.Ready, balancer.Suspended},
		{"s", balancer.Removed, balancer.Removed},
		{"w", balancer.Ready, balancer.Draining},
		{"w", balancer.Removed, balancer.Removed},
	} {
		if got := table.effectiveState(balancer.ListedHost{ID: c.id, State: c.listed}); got != c.want {
			t.Errorf("effectiveState(host %s listed as %v) = %v, want %v", c.id, c.listed, got, c.want)
		}
	}
}
