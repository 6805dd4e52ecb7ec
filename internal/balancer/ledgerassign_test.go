package balancer

import (
	"fmt"
	"math"
	"testing"

	"croftlock/internal/balancer/ledger"
)

// TestLedgerKeepsSlowStartBudgetInSum: with the ledger, the warming hosts' budget is given out exactly: close
// to what is allowed, never over it, also with a wave that comes again and all balancers new.
func TestLedgerKeepsSlowStartBudgetInSum(t *testing.T) {
	for _, c := range []struct {
		n    int
		wave bool
		cold int
	}{{1, true, 8}, {3, true, 8}, {20, true, 8}, {30, true, 8}, {40, false, 8}, {40, true, 8}, {150, true, 8}, {150, true, 17}, {300, true, 17}, {300, false, 17}, {150, true, 20}} {
		x := newTier(t, c.n, 20, true)
		x.flow(5*sec, 10, 30, false)
		var es []ListedHost
		up := x.now
		for i := range c.cold {
			es = append(es, ListedHost{ID: fmt.Sprintf("s%02d", i), Zone: "a", Weight: 1, StartedAt: up})
		}
		for _, f := range x.all {
			f.b.ListReceived(f.now, ListDelta, es)
		}
		x.grants = map[string][]Time{}
		rate := 10.0
		if c.wave {
			rate = 60
		}
		x.flow(8*sec, rate, 30, c.wave)
		total, closest := 0, 0.0
		for _, e := range es {
			at := x.grants[e.ID]
			total += len(at)
			for i, from := range at {
				// N in two seconds, by a host's part of the flow that the settings tell.
				n := 2.5 * 3 * (0.2 + 0.8*float64(from-up)/float64(20*sec)) / 20 * 10 * 2
				closest = max(closest, float64(within(at[i:min(len(at), i+30)], 2*sec))/(n+3*math.Sqrt(n)+3))
			}
		}
		t.Logf("%3d balancers, wave %t: %d sends to %d warming hosts in 8 s; at one at most %.2f of N + 3 x root of N + 3", c.n, c.wave, total, c.cold, closest)
		if closest > 1 {
			t.Errorf("%d balancers: %.2f times what may come to a warming host by chance", c.n, closest)
		}
		if c.wave && c.n > 20 && total < 48 {
			t.Errorf("%d balancers: %d sends to the warming hosts, while 60 a second come", c.n, total)
		}
	}
}

// Whatever peers send, nothing breaks.
func FuzzPeerMessage(f *testing.F) {
	f.Add(ledger.Query{Seq: 1, Units: 8, Group: 5}.Append(nil), ledger.Reply{Seq: 1, Epoch: 2, Host: 3}.Append(nil))
	f.Add(ledger.Announcement{Epoch: 4}.Append(nil), ledger.Entry{Host: 1, Group: 2, Units: -9}.Append(ledger.Sync{}.Append(nil)))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		x := newTier(t, 4, 3, true)
		x.all[1].b.RequestArrived(x.now, Request{ID: "r", Tenant: 0, Group: "g", Remaining: 4800 * ms})
		for _, data := range [][]byte{a, b, a} {
			x.all[0].b.PeerMessageReceived(x.now, 1, data)
			x.all[1].b.PeerMessageReceived(x.now, 0, data)
		}
		x.run(500 * ms)
		if len(x.asked) > 0 {
			t.Fatal("it waits still")
		}
	})
}
