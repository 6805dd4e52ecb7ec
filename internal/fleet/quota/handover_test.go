package quota

import (
	"testing"
	"time"
)

// TestYieldedGrants checks that a process that takes over has the grants of the old one until they would
// have lapsed there, that the old one keeps no permits, and that neither uses its own share too early.
func TestYieldedGrants(t *testing.T) {
	now := 100 * Time(time.Second)
	newClient := func() *Client {
		return &Client{Now: func() Time { return now }, GrantLifetime: Time(time.Second), FleetSize: 2,
			Limits: func(string) Limit { return Limit{Rate: 10, Connections: 4} }}
	}
	admitted := func(c *Client, want int) {
		t.Helper()
		n := 0
		for ; n < 10; n++ {
			if exceeded, _, _ := c.acquireOrWait("a", 0, func(string, time.Duration) {}); exceeded != "" {
				break
			}
		}
		if n != want {
			t.Errorf("%d connections are admitted, want %d", n, want)
		}
	}
	before, after := newClient(), newClient()
	before.shards[Shard("a")].grantsLapseAt = now + Time(time.Second)
	before.usageOf("a").addGrant(grant{account: "a", permits: 3, maxOpen: 4}, now+Time(time.Second))
	requestedAt := now - Time(100*time.Millisecond)
	after.Restore(before.Yield(), requestedAt)
	admitted(before, 0)
	admitted(after, 3)

	late := newClient()
	late.Restore(&Grants{Accounts: []AccountGrants{{Account: "a", Permits: []PermitGrants{{5, Time(50 * time.Millisecond)}}, MaxOpen: 9, MaxOpenIn: Time(time.Hour)}}}, requestedAt)
	if u := late.usageOf("a"); len(u.permits) != 0 || u.maxOpenUntil > requestedAt+late.GrantLifetime {
		t.Errorf("after a late handover: %+v, want no permits and a limit for a grant lifetime from the request at most", u)
	}
	late.DelayOwnShare()
	if late.usesOwnShare(now+Time(time.Second), "a") {
		t.Error("the own share is used while an issuer may have granted it to another proxy")
	}
}
