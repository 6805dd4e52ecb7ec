package balancer

import "testing"

// TestLedgerBalancesWhatNoBalancerSees: with a connection or two at each balancer those of a large group all
// go to the first host of its order; the ledger server sees all of them.
func TestLedgerBalancesWhatNoBalancerSees(t *testing.T) {
	var fullest [2]float64
	var groupsAtHosts [2]int
	for i, withLedger := range []bool{false, true} {
		x := newPeerNetwork(t, 60, 30, withLedger)
		x.runTraffic(25*sec, 12, 15, false)
		fullest[i], groupsAtHosts[i] = x.loadBalance()
		if len(x.waiting) > 3 {
			t.Errorf("ledger %t: %d requests wait", withLedger, len(x.waiting))
		}
	}
	t.Logf("fullest host %.1f times the mean, groups at %d hosts in sum; with a ledger %.1f, %d",
		fullest[0], groupsAtHosts[0], fullest[1], groupsAtHosts[1])
	if fullest[1] > 0.6*fullest[0] || groupsAtHosts[1] > 2*groupsAtHosts[0] {
		t.Error("the ledger balances too little, or spreads groups too far")
	}
}

// TestWithoutLedgerServer: the first ledger server is down, and a fifth of all messages is lost. No request
// waits for long, the next server is queried, and once the first one is back it learns of all connections
// again.
func TestWithoutLedgerServer(t *testing.T) {
	x := newPeerNetwork(t, 40, 20, true)
	x.lossRate = 0.2
	x.runTraffic(10*sec, 8, 15, false)
	x.down[0] = true
	x.runTraffic(8*sec, 8, 15, false)
	queryingOther := 0
	for instance, f := range x.balancers {
		if !x.down[instance] && f.b.ledger.client.Server(x.now) != 0 {
			queryingOther++
		}
	}
	if queryingOther < 10 {
		t.Errorf("%d of 39 balancers query another ledger server", queryingOther)
	}
	x.checkNoLongWaits(t, "without the first ledger server")
	x.restart(t, 0, 1)
	x.runTraffic(12*sec, 8, 15, false)
	queryingFirst := x.countQueryingFirstServer()
	t.Logf("%d query another ledger server, %d the first one again; it counts %.0f of %d connections",
		queryingOther, queryingFirst, x.ledgerConnections(), len(x.connections))
	if queryingFirst < 38 || x.ledgerCountError() > 0.25*float64(len(x.connections)) {
		t.Errorf("%d of 40 query the first ledger server, which counts %.0f of %d connections",
			queryingFirst, x.ledgerConnections(), len(x.connections))
	}
}
