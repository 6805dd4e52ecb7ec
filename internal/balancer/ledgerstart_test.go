package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

const (
	usualRate     = 10.0 // requests per second
	waveRate      = 60.0 // requests per second of clients that come back after a crash
	startLifetime = 30.0 // of a connection, in seconds
)

// budgetUse returns the largest number of attempts that came to a warming host within 2 s, as a
// fraction of those that may come by chance where the settings of peerNetwork allow n. hosts is the
// number of all hosts, and at holds the times of the attempts.
func budgetUse(at []Time, startedAt Time, hosts int) (largest float64) {
	for i, from := range at {
		capacityShare := 0.2 + 0.8*float64(from-startedAt)/float64(20*sec)
		n := 2.5 * 3 * capacityShare / float64(hosts) * 10 * 2
		most := maxInWindow(at[i:min(len(at), i+40)], 2*sec)
		largest = max(largest, float64(most)/(n+3*math.Sqrt(n)+3))
	}
	return largest
}

// startKnownTo makes host 0 crash and start again, which only the given balancers are notified of. It
// returns the time of the start.
func (net *peerNetwork) startKnownTo(instances ...int) Time {
	const crashed = 0
	for _, id := range slices.Clone(net.connectionOrder) {
		if f := net.connections[id]; f != nil && f.b.requests[id].host.hostID == hostID(crashed) {
			f.end(id, Reset)
			delete(net.connections, id)
		}
	}
	for _, instance := range instances {
		net.balancers[instance].listChanged(listed(hostID(crashed), Removed))
	}
	net.runTraffic(sec, usualRate, startLifetime, false)
	startedAt := net.now
	for _, instance := range instances {
		net.balancers[instance].listChanged(warming(hostID(crashed), startedAt))
	}
	net.attempts = map[string][]Time{}
	return startedAt
}

// ledgerStarts are ways in which the ledger server (the balancer that assigns hosts for all) and the
// others know different things while a host starts.
var ledgerStarts = []struct {
	name string
	play func(t *testing.T, net *peerNetwork) (startedAt Time)
}{
	{"all have the new list", func(_ *testing.T, net *peerNetwork) Time {
		startedAt := net.startKnownTo(0, 1, 2)
		net.runTraffic(10*sec, waveRate, startLifetime, true)
		return startedAt
	}},
	{"the ledger server has an old list", func(t *testing.T, net *peerNetwork) Time {
		net.down[0] = true
		net.runTraffic(2*sec, usualRate, startLifetime, false)
		startedAt := net.startKnownTo(1, 2)
		net.restart(t, 0, 1)
		net.uncounted = map[int]bool{0: true} // it was not notified of the start
		net.runTraffic(10*sec, waveRate, startLifetime, true)
		return startedAt
	}},
	{"only the ledger server has the new list", func(_ *testing.T, net *peerNetwork) Time {
		startedAt := net.startKnownTo(0)
		net.runTraffic(10*sec, waveRate, startLifetime, true)
		return startedAt
	}},
	{"the ledger server is killed and comes back with the new list", func(t *testing.T, net *peerNetwork) Time {
		startedAt := net.startKnownTo(0, 1, 2)
		net.runTraffic(2*sec, waveRate, startLifetime, true)
		net.down[0] = true
		net.runTraffic(2*sec, waveRate, startLifetime, true)
		net.restart(t, 0, 1)
		net.balancers[0].listChanged(warming(hostID(0), startedAt))
		net.runTraffic(6*sec, waveRate, startLifetime, true)
		return startedAt
	}},
	{"the ledger server comes back as the host starts", func(t *testing.T, net *peerNetwork) Time {
		net.down[0] = true
		net.runTraffic(2*sec, usualRate, startLifetime, false)
		startedAt := net.startKnownTo(1, 2)
		net.runTraffic(700*ms, waveRate, startLifetime, true)
		net.restart(t, 0, 1)
		net.balancers[0].listChanged(warming(hostID(0), startedAt))
		net.runTraffic(6*sec, waveRate, startLifetime, true)
		return startedAt
	}},
	{"two balancers believe different ones to be the ledger server", func(_ *testing.T, net *peerNetwork) Time {
		net.cut = map[int]bool{0: true}
		net.runTraffic(2*sec, usualRate, startLifetime, false)
		startedAt := net.startKnownTo(0, 1, 2)
		net.runTraffic(10*sec, waveRate, startLifetime, true)
		return startedAt
	}},
}

// TestLedgerServerWithOtherList guards against a cold host that falls because the ledger server and
// those that query it know different things: all that were notified of the host's start keep together
// to its budget, whatever one of them assigns to another.
func TestLedgerServerWithOtherList(t *testing.T) {
	const hosts, seeds = 12, 12
	for _, c := range ledgerStarts {
		largest, over, placed := 0.0, 0, 0
		for seed := int64(1); seed <= seeds; seed++ {
			net := newPeerNetwork(t, 3, hosts, true)
			net.rng = rand.New(rand.NewSource(seed))
			net.runTraffic(10*sec, usualRate, startLifetime, false)
			startedAt := c.play(t, net)
			use := budgetUse(net.attempts[hostID(0)], startedAt, hosts)
			largest, placed = max(largest, use), placed+len(net.attempts[hostID(0)])
			if use > 1 {
				over++
			}
			net.checkNoLongWaits(t, c.name)
		}
		t.Logf("%s: at most %.2f of the host's budget used, over it with %d of %d seeds; %d attempts there", c.name, largest, over, seeds, placed)
		if largest > 1 {
			t.Errorf("%s: %.2f times the host's budget used, want at most 1", c.name, largest)
		}
	}
}

// replaceHosts replaces all hosts by new ones, of which balancer 0 is not notified, and returns how many of
// 100 requests at the others are placed. Without a ledger, balancer 0 stays down.
func replaceHosts(t *testing.T, seed int64, withLedger bool) (placed int) {
	const hosts, requests = 12, 100
	net := newPeerNetwork(t, 3, hosts, withLedger)
	net.rng = rand.New(rand.NewSource(seed))
	net.runTraffic(10*sec, usualRate, startLifetime, false)
	net.down[0] = true
	net.runTraffic(2*sec, usualRate, startLifetime, false)
	for _, f := range net.balancers[1:] {
		for i := range hosts {
			f.listChanged(listed(hostID(i), Removed), warming("new"+hostID(i), net.now))
		}
	}
	if withLedger {
		net.restart(t, 0, 1)
	}
	net.run(sec)
	for i := range requests {
		net.arrive(1+i%2, Request{ID: fmt.Sprint("r", i), Tenant: 0, Group: net.randomGroup(), Remaining: 4800 * ms})
		net.run(100 * ms)
	}
	net.run(5 * sec)
	for i := range hosts {
		placed += len(net.attempts["new"+hostID(i)])
	}
	return placed
}

// TestOutdatedLedgerServerLeavesPlacement guards against requests that find no host because the ledger
// server's list is old: it assigns hosts that are gone, and the new ones are all in slow start. As many
// requests have to be placed as without a ledger, but for chance.
func TestOutdatedLedgerServerLeavesPlacement(t *testing.T) {
	withLedger, without := 0, 0
	for seed := int64(1); seed <= 8; seed++ {
		withLedger += replaceHosts(t, seed, true)
		without += replaceHosts(t, seed, false)
	}
	t.Logf("%d requests placed with an outdated ledger server, %d without one", withLedger, without)
	if withLedger < without*95/100 {
		t.Errorf("%d requests placed with an outdated ledger server, %d without one; want at least 95%%", withLedger, without)
	}
}
