package balancer

import (
	"math"
	"testing"

	"croftlock/internal/balancer/ledger"
)

// TestLedgerKeepsSlowStartBudget checks that with the placement ledger, by which one balancer assigns
// hosts for all, the balancers together use most of the budget of hosts in slow start (warming hosts)
// and never exceed it, also in a wave of returning clients.
func TestLedgerKeepsSlowStartBudget(t *testing.T) {
	for _, c := range []struct {
		balancers int
		wave      bool // 60 returning clients per second instead of 10 other requests
		warming   int  // number of warming hosts, of 20
	}{
		{1, true, 8}, {3, true, 8}, {20, true, 8}, {30, true, 8}, {40, false, 8}, {40, true, 8},
		{150, true, 8}, {150, true, 17}, {300, true, 17}, {300, false, 17}, {150, true, 20},
	} {
		net := newPeerNetwork(t, c.balancers, 20, true)
		net.runTraffic(5*sec, 10, 30, false)
		var warmingHosts []ListedHost
		startedAt := net.now
		for i := range c.warming {
			warmingHosts = append(warmingHosts, warming(hostID(i), startedAt))
		}
		for _, f := range net.balancers {
			f.listChanged(warmingHosts...)
		}
		net.attempts = map[string][]Time{}
		rate := 10.0
		if c.wave {
			rate = 60
		}
		net.runTraffic(8*sec, rate, 30, c.wave)
		total, largest := 0, 0.0
		for _, h := range warmingHosts {
			at := net.attempts[h.ID]
			total += len(at)
			for i, from := range at {
				// Expected attempts in 2 s, by the part of the traffic that the settings allow the
				// host.
				n := 2.5 * 3 * (0.2 + 0.8*float64(from-startedAt)/float64(20*sec)) / 20 * 10 * 2
				most := maxInWindow(at[i:min(len(at), i+30)], 2*sec)
				largest = max(largest, float64(most)/(n+3*math.Sqrt(n)+3))
			}
		}
		t.Logf("%3d balancers, wave %t: %d attempts at %d warming hosts, at most %.2f of n + 3 √n + 3 at one",
			c.balancers, c.wave, total, c.warming, largest)
		if largest > 1 {
			t.Errorf("%d balancers: a warming host got %.2f times the attempts that may come by chance, want at most 1",
				c.balancers, largest)
		}
		if c.wave && c.balancers > 20 && total < 48 {
			t.Errorf("%d balancers: %d attempts at warming hosts of 60 requests a second, want 48 or more",
				c.balancers, total)
		}
	}
}

// FuzzPeerMessage checks that no request waits for long, whatever messages peers send.
func FuzzPeerMessage(f *testing.F) {
	f.Add(ledger.Query{Seq: 1, Units: 8, Group: 5}.Append(nil),
		ledger.Reply{Seq: 1, Epoch: 2, Host: 3}.Append(nil))
	f.Add(ledger.Announcement{Epoch: 4}.Append(nil),
		ledger.Entry{Host: 1, Group: 2, Units: -9}.Append(ledger.Sync{}.Append(nil)))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		net := newPeerNetwork(t, 4, 3, true)
		net.arrive(1, Request{ID: "r", Tenant: 0, Group: "g", Remaining: 4800 * ms})
		for _, data := range [][]byte{a, b, a} {
			net.balancers[0].b.PeerMessageReceived(net.now, 1, data)
			net.balancers[1].b.PeerMessageReceived(net.now, 0, data)
		}
		net.run(500 * ms)
		if len(net.waiting) > 0 {
			t.Fatalf("%d requests still wait 500 ms after messages %x and %x, want 0", len(net.waiting), a, b)
		}
	})
}
