package balancer

import (
	"testing"

	"croftlock/internal/balancer/ledger"
)

// ledgerFaults are what may happen to ledger servers and messages.
var ledgerFaults = []struct {
	name  string
	fault func(t *testing.T, x *peerNetwork)
	soon  bool // all report their connections to a restarted ledger server at once
}{
	{"the ledger server is paused for 5 s", func(t *testing.T, x *peerNetwork) {
		x.down[0] = true
		x.runTraffic(5*sec, 8, 60, false)
		x.down[0] = false
	}, false},
	{"seven in ten are killed at once", func(t *testing.T, x *peerNetwork) {
		for instance := range 28 {
			x.down[instance] = true
		}
		x.runTraffic(sec, 8, 60, true)
		x.restart(t, 0, 28)
	}, true},
	{"all ledger servers are killed, one after the other", func(t *testing.T, x *peerNetwork) {
		for instance := range x.balancers {
			if x.balancers[0].b.ledger.client.IsServer(instance) {
				x.down[instance] = true
				x.runTraffic(sec/2, 8, 60, false)
				x.restart(t, instance, instance+1)
			}
		}
		x.down[0] = true
		x.restart(t, 0, 1)
	}, true},
	{"all messages are lost for 8 s", func(t *testing.T, x *peerNetwork) {
		x.lossRate = 1
		x.runTraffic(8*sec, 8, 60, false)
		x.lossRate = 0
	}, false},
	{"half of all messages are lost", func(t *testing.T, x *peerNetwork) {
		x.lossRate = 0.5
		x.runTraffic(8*sec, 8, 60, false)
		x.lossRate = 0
	}, false},
	{"changes are lost, and all other messages arrive", func(t *testing.T, x *peerNetwork) {
		x.lostKind = ledger.Entry{Host: 1}.Append(nil)[0]
		x.runTraffic(8*sec, 8, 8, false)
		x.lostKind = 0
	}, false},
	{"200 requests at the same moment", func(t *testing.T, x *peerNetwork) {
		x.runTraffic(20*ms, 10_000, 60, true)
	}, false},
}

// TestLedgerThroughFaults: whatever happens to ledger servers and messages, no request waits for more than
// two replies that do not come, and soon after the fault the ledger has all connections again.
func TestLedgerThroughFaults(t *testing.T) {
	for _, c := range ledgerFaults {
		x := newPeerNetwork(t, 40, 20, true)
		x.runTraffic(8*sec, 8, 60, false)
		c.fault(t, x)
		for id := range x.waiting {
			if x.instanceOf[id] < 28 {
				delete(x.waiting, id) // its balancer may have been killed
			}
		}
		x.runTraffic(2500*ms, 8, 60, false)
		x.checkNoLongWaits(t, c.name)
		if c.soon && x.ledgerCountError() > 0.25*float64(len(x.connections)) {
			t.Errorf("%s: 2.5 s later the ledger has %.0f of %d connections", c.name, x.ledgerConnections(),
				len(x.connections))
		}
		x.runTraffic(13*sec, 8, 60, false)
		x.checkNoLongWaits(t, c.name)
		if n := x.countQueryingFirstServer(); n < 38 || x.ledgerCountError() > 0.08*float64(len(x.connections))+2 {
			t.Errorf("%s: 15 s later %d of 40 query the first server, which counts %.0f of %d connections",
				c.name, n, x.ledgerConnections(), len(x.connections))
		}
	}
}
