package balancer

import "testing"

// TestLedgerBalancesLargeGroup checks that the placement ledger balances the connections of a large
// group (Request.Group) over the hosts. Without it, balancers that hold a connection or two each
// place all of the group at the first host of its order. The ledger server, a balancer that assigns
// hosts to the others, counts all connections.
func TestLedgerBalancesLargeGroup(t *testing.T) {
	var fullest [2]float64
	var groupsAtHosts [2]int
	for i, withLedger := range []bool{false, true} {
		net := newPeerNetwork(t, 60, 30, withLedger)
		net.runTraffic(25*sec, 12, 15, false)
		fullest[i], groupsAtHosts[i] = net.loadBalance()
		if len(net.waiting) > 3 {
			t.Errorf("ledger %t: %d requests wait, expected at most 3", withLedger, len(net.waiting))
		}
	}
	t.Logf("fullest host %.1f times the mean, %d pairs of group and host; with a ledger %.1f, %d",
		fullest[0], groupsAtHosts[0], fullest[1], groupsAtHosts[1])
	if fullest[1] > 0.6*fullest[0] || groupsAtHosts[1] > 2*groupsAtHosts[0] {
		t.Errorf("fullest host %.1f times the mean, %d pairs of group and host; "+
			"want at most 0.6 and 2 times those without a ledger, %.1f and %d",
			fullest[1], groupsAtHosts[1], fullest[0], groupsAtHosts[0])
	}
}

// TestWithoutLedgerServer stops the first ledger server, the balancer that assigns hosts to the
// others, while a fifth of all messages is lost. No request may wait for long, the next server has to
// be queried, and the first server has to receive all connections again once it is back.
func TestWithoutLedgerServer(t *testing.T) {
	net := newPeerNetwork(t, 40, 20, true)
	net.lossRate = 0.2
	net.runTraffic(10*sec, 8, 15, false)
	net.down[0] = true
	net.runTraffic(8*sec, 8, 15, false)
	queryingOther := 0
	for instance, f := range net.balancers {
		if !net.down[instance] && f.b.ledger.client.Server(net.now) != 0 {
			queryingOther++
		}
	}
	if queryingOther < 10 {
		t.Errorf("%d of 39 balancers query another ledger server, expected at least 10", queryingOther)
	}
	net.checkNoLongWaits(t, "without the first ledger server")
	net.restart(t, 0, 1)
	net.runTraffic(12*sec, 8, 15, false)
	queryingFirst := net.countQueryingFirstServer()
	t.Logf("%d query another ledger server, %d the first one again; it counts %.0f of %d connections",
		queryingOther, queryingFirst, net.ledgerConnections(), len(net.connections))
	if queryingFirst < 38 || net.ledgerCountError() > 0.25*float64(len(net.connections)) {
		t.Errorf("%d of 40 query the first ledger server, want at least 38; it counts %.0f of %d connections, "+
			"want a difference of at most a quarter",
			queryingFirst, net.ledgerConnections(), len(net.connections))
	}
}
