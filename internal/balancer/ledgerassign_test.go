package balancer

import (
	"math"
	"testing"

	"croftlock/internal/balancer/ledger"
)

// TestLedgerKeepsSlowStartBudgetInSum: with the ledger, the warming hosts' budget is given out exactly: close
// to what is allowed, never over it, also in a wave of returning clients.
func TestLedgerKeepsSlowStartBudgetInSum(t *testing.T) {
	for _, c := range []struct {
		balancers int
		wave      bool
		warming   int
	}{
		{1, true, 8}, {3, true, 8}, {20, true, 8}, {30, true, 8}, {40, false, 8}, {40, true, 8},
		{150, true, 8}, {150, true, 17}, {300, true, 17}, {300, false, 17}, {150, true, 20},
	} {
		x := newPeerNetwork(t, c.balancers, 20, true)
		x.runTraffic(5*sec, 10, 30, false)
		var warmingHosts []ListedHost
		up := x.now
		for i := range c.warming {
			warmingHosts = append(warmingHosts, warming(hostID(i), up))
		}
		for _, f := range x.balancers {
			f.listChanged(warmingHosts...)
		}
		x.attempts = map[string][]Time{}
		rate := 10.0
		if c.wave {
			rate = 60
		}
		x.runTraffic(8*sec, rate, 30, c.wave)
		total, largest := 0, 0.0
		for _, h := range warmingHosts {
			at := x.attempts[h.ID]
			total += len(at)
			for i, from := range at {
				// n in two seconds, by a host's part of the flow that the settings allow.
				n := 2.5 * 3 * (0.2 + 0.8*float64(from-up)/float64(20*sec)) / 20 * 10 * 2
				most := maxInWindow(at[i:min(len(at), i+30)], 2*sec)
				largest = max(largest, float64(most)/(n+3*math.Sqrt(n)+3))
			}
		}
		t.Logf("%3d balancers, wave %t: %d attempts at %d warming hosts, at most %.2f of n + 3 √n + 3 at one",
			c.balancers, c.wave, total, c.warming, largest)
		if largest > 1 {
			t.Errorf("%d balancers: %.2f times what may come to a warming host by chance",
				c.balancers, largest)
		}
		if c.wave && c.balancers > 20 && total < 48 {
			t.Errorf("%d balancers: %d attempts at the warming hosts, of 60 requests a second",
				c.balancers, total)
		}
	}
}

// FuzzPeerMessage: whatever peers send, no request waits for long.
func FuzzPeerMessage(f *testing.F) {
	f.Add(ledger.Query{Seq: 1, Units: 8, Group: 5}.Append(nil),
		ledger.Reply{Seq: 1, Epoch: 2, Host: 3}.Append(nil))
	f.Add(ledger.Announcement{Epoch: 4}.Append(nil),
		ledger.Entry{Host: 1, Group: 2, Units: -9}.Append(ledger.Sync{}.Append(nil)))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		x := newPeerNetwork(t, 4, 3, true)
		x.arrive(1, Request{ID: "r", Tenant: 0, Group: "g", Remaining: 4800 * ms})
		for _, data := range [][]byte{a, b, a} {
			x.balancers[0].b.PeerMessageReceived(x.now, 1, data)
			x.balancers[1].b.PeerMessageReceived(x.now, 0, data)
		}
		x.run(500 * ms)
		if len(x.waiting) > 0 {
			t.Fatal("a request still waits")
		}
	})
}
