package balancer

import (
	"testing"

	"croftlock/internal/balancer/ledger"
)

// ledgerFaults are faults of ledger servers, the balancers that count the connections of all, and of
// messages between balancers.
var ledgerFaults = []struct {
	name  string
	fault func(t *testing.T, net *peerNetwork) // simulates the fault and its end
	soon  bool                                 // the ledger has to be nearly complete 2.5 s later already
}{
	{"the ledger server is paused for 5 s", func(t *testing.T, net *peerNetwork) {
		net.down[0] = true
		net.runTraffic(5*sec, 8, 60, false)
		net.down[0] = false
	}, false},
	{"28 of 40 balancers are killed at once", func(t *testing.T, net *peerNetwork) {
		for instance := range 28 {
			net.down[instance] = true
		}
		net.runTraffic(sec, 8, 60, true)
		net.restart(t, 0, 28)
	}, true},
	{"all ledger servers are killed one after another", func(t *testing.T, net *peerNetwork) {
		for instance := range net.balancers {
			if net.balancers[0].b.ledger.client.IsServer(instance) {
				net.down[instance] = true
				net.runTraffic(sec/2, 8, 60, false)
				net.restart(t, instance, instance+1)
			}
		}
		net.down[0] = true
		net.restart(t, 0, 1)
	}, true},
	{"all messages are lost for 8 s", func(t *testing.T, net *peerNetwork) {
		net.lossRate = 1
		net.runTraffic(8*sec, 8, 60, false)
		net.lossRate = 0
	}, false},
	{"half of all messages are lost", func(t *testing.T, net *peerNetwork) {
		net.lossRate = 0.5
		net.runTraffic(8*sec, 8, 60, false)
		net.lossRate = 0
	}, false},
	{"only messages with changes are lost", func(t *testing.T, net *peerNetwork) {
		net.lostKind = ledger.Entry{Host: 1}.Append(nil)[0]
		net.runTraffic(8*sec, 8, 8, false)
		net.lostKind = 0
	}, false},
	{"200 requests at the same moment", func(t *testing.T, net *peerNetwork) {
		net.runTraffic(20*ms, 10_000, 60, true)
	}, false},
}

// TestLedgerThroughFaults checks that no request waits longer than three reply timeouts, whatever
// happens to ledger servers and messages, and that the first ledger server counts nearly all
// connections again 15.5 s after the fault. If a fault restarts ledger servers (soon), they count most
// connections after 2.5 s, since all balancers report theirs to a restarted server within syncSpread.
func TestLedgerThroughFaults(t *testing.T) {
	for _, c := range ledgerFaults {
		net := newPeerNetwork(t, 40, 20, true)
		net.runTraffic(8*sec, 8, 60, false)
		c.fault(t, net)
		for id := range net.waiting {
			if net.instanceOf[id] < 28 {
				delete(net.waiting, id) // its balancer may have been killed
			}
		}
		net.runTraffic(2500*ms, 8, 60, false)
		net.checkNoLongWaits(t, c.name)
		if c.soon && net.ledgerCountError() > 0.25*float64(len(net.connections)) {
			t.Errorf("%s: 2.5 s later the ledger has %.0f of %d connections, want a difference of at most a quarter",
				c.name, net.ledgerConnections(), len(net.connections))
		}
		net.runTraffic(13*sec, 8, 60, false)
		net.checkNoLongWaits(t, c.name)
		if n := net.countQueryingFirstServer(); n < 38 || net.ledgerCountError() > 0.08*float64(len(net.connections))+2 {
			t.Errorf("%s: 15 s later %d of 40 query the first server, want at least 38; it counts %.0f of %d connections, "+
				"want a difference of at most 8%% and 2",
				c.name, n, net.ledgerConnections(), len(net.connections))
		}
	}
}
