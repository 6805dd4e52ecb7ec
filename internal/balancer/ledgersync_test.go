package balancer

import (
	"math"
	"testing"

	"croftlock/internal/balancer/ledger"
)

// ledgerConnections is how many connections the first ledger server counts.
func (x *peerNetwork) ledgerConnections() (n float64) {
	for _, s := range x.all[0].b.hosts {
		held, _, _ := x.all[0].b.ledger.placements.Load(uint32(s.hash), 0)
		n += held
	}
	return n
}

// restart has balancers begin anew; their connections die with them.
func (x *peerNetwork) restart(t *testing.T, from, to int) {
	for me := from; me < to; me++ {
		x.dead[me] = false
		x.all[me] = x.begin(t, me, len(x.all), len(x.all[0].b.hosts), true)
	}
	for id, f := range x.open {
		if f != x.all[f.b.cfg.Instance] {
			delete(x.open, id)
		}
	}
}

// TestLedgerThroughFaults: whatever happens to ledger servers and messages, no request waits for more than
// two replies that do not come, and soon after the fault the ledger has all connections again.
func TestLedgerThroughFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(x *peerNetwork)
		soon  bool // all tell a ledger server that begins anew at once
	}{
		{"the ledger server sleeps for 5 s and wakes up", func(x *peerNetwork) {
			x.dead[0] = true
			x.flow(5*sec, 8, 60, false)
			x.dead[0] = false
		}, false},
		{"seven in ten are killed at once", func(x *peerNetwork) {
			for me := range 28 {
				x.dead[me] = true
			}
			x.flow(sec, 8, 60, true)
			x.restart(t, 0, 28)
		}, true},
		{"all ledger servers are killed, one after the other", func(x *peerNetwork) {
			for me := range x.all {
				if x.all[0].b.ledger.client.IsServer(me) {
					x.dead[me] = true
					x.flow(sec/2, 8, 60, false)
					x.restart(t, me, me+1)
				}
			}
			x.dead[0] = true
			x.restart(t, 0, 1)
		}, true},
		{"nobody hears anybody for 8 s", func(x *peerNetwork) {
			x.loss = 1
			x.flow(8*sec, 8, 60, false)
			x.loss = 0
		}, false},
		{"half of all messages are lost", func(x *peerNetwork) {
			x.loss = 0.5
			x.flow(8*sec, 8, 60, false)
			x.loss = 0
		}, false},
		{"what is told is lost, and all else is heard", func(x *peerNetwork) {
			x.lost = ledger.Entry{Host: 1}.Append(nil)[0]
			x.flow(8*sec, 8, 8, false)
			x.lost = 0
		}, false},
		{"200 ask in the same moment", func(x *peerNetwork) {
			x.flow(20*ms, 10_000, 60, true)
		}, false},
	} {
		x := newTier(t, 40, 20, true)
		x.flow(8*sec, 8, 60, false)
		waited := func() {
			t.Helper()
			for id, at := range x.asked {
				if x.now-at > 3*ledgerReplyTimeout && !x.dead[x.by[id]] {
					t.Errorf("%s: one waits for %d ms", c.name, (x.now-at)/ms)
				}
			}
		}
		c.fault(x)
		for id := range x.asked {
			if x.by[id] < 28 {
				delete(x.asked, id) // it may have died with its balancer
			}
		}
		x.flow(2500*ms, 8, 60, false)
		waited()
		if d := math.Abs(x.ledgerConnections() - float64(len(x.open))); c.soon && d > 0.25*float64(len(x.open)) {
			t.Errorf("%s: 2.5 s later its book has %.0f of %d connections", c.name, x.ledgerConnections(), len(x.open))
		}
		x.flow(13*sec, 8, 60, false)
		waited()
		back := 0
		for _, f := range x.all {
			if f.b.ledger.client.Server(x.now) == 0 {
				back++
			}
		}
		if d := math.Abs(x.ledgerConnections() - float64(len(x.open))); back < 38 || d > 0.08*float64(len(x.open))+2 {
			t.Errorf("%s: 15 s later %d of 40 ask the first ledger server, whose book has %.0f of %d connections", c.name, back, x.ledgerConnections(), len(x.open))
		}
	}
}
