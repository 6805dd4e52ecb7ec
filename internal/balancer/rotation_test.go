package balancer

import (
	"fmt"
	"testing"
)

func TestRotationIsEvenAndInterleaved(t *testing.T) {
	f := start(t, settings(), fleet(7)...)
	for round := range 5 {
		attempts := map[string]int{}
		for i := range 7 {
			attempts[f.serve(fmt.Sprintf("r%d-%d", round, i))]++
		}
		if len(attempts) != 7 {
			t.Fatalf("round %d reached %d of 7 hosts, want all: %v", round, len(attempts), attempts)
		}
	}
}

func TestRotationFollowsWeights(t *testing.T) {
	hosts := fleet(3)
	hosts[1].Weight = 3
	f := start(t, settings(), hosts...)
	for i := range 500 {
		f.serve(fmt.Sprint(i))
	}
	if n := f.attemptsAt("s01", 0); n < 290 || n > 310 {
		t.Fatalf("a host with weight 3 of 5 got %d of 500 turns, want 290 to 310", n)
	}
}

// TestBalancersStartApart checks that the rotation of each of 8 balancers begins with another host.
func TestBalancersStartApart(t *testing.T) {
	first := map[string]bool{}
	for instance := range 8 {
		cfg := settings()
		cfg.Instance, cfg.Instances = instance, 8
		f := start(t, cfg, fleet(8)...)
		first[f.serve("r")] = true
	}
	if len(first) != 8 {
		t.Fatalf("8 balancers begin at %d of 8 hosts, want all: %v", len(first), first)
	}
}

// TestSparseBalancersSpreadOverUnequalHosts checks that balancers with few connections each do not all
// begin with the hosts of the largest weight.
func TestSparseBalancersSpreadOverUnequalHosts(t *testing.T) {
	hosts := fleet(20)
	for i := range hosts {
		hosts[i].Weight = 1 + float64(i%4)/10
	}
	connections := map[string]int{}
	for instance := range 10 {
		cfg := settings()
		cfg.Instance, cfg.Instances = instance, 10
		f := start(t, cfg, hosts...)
		for k := range 4 {
			f.request(fmt.Sprint(k))
			f.establish(fmt.Sprint(k))
			connections[f.lastAttempt().host]++
		}
	}
	for host, n := range connections {
		if n > 4 {
			t.Fatalf("10 balancers with 4 connections each placed %d at %s, want at most 4 (even: 2)", n, host)
		}
	}
}

// TestTurnsCrossZonesWhileOwnZoneStalls checks that hosts of another zone get more requests while the
// hosts of the balancer's own zone delay messages, although a connection to another zone has a price.
func TestTurnsCrossZonesWhileOwnZoneStalls(t *testing.T) {
	cfg := settings()
	cfg.Prices.CrossZone = 0.1
	hosts := fleet(8)
	for i := range hosts {
		hosts[i].Zone = []string{"a", "b"}[i%2]
	}
	f := start(t, cfg, hosts...)
	// crossings places 40 requests, with IDs that begin with prefix, and returns the number of those
	// at hosts of the other zone.
	crossings := func(prefix string) (n int) {
		for i := range 40 {
			f.request(fmt.Sprint(prefix, i))
			f.establish(fmt.Sprint(prefix, i))
			if f.b.byID[f.lastAttempt().host].zone != f.b.ownZone {
				n++
			}
		}
		return n
	}
	before := crossings("a")
	for range 10 {
		for k := range 40 {
			if id := fmt.Sprint("a", k); f.b.requests[id].host.zone == f.b.ownZone {
				f.b.Observe(f.now, id, 0, ObservedLatency, 150)
			}
		}
		f.run(sec)
	}
	f.b.shedding.share = 0
	if after := crossings("b"); before > 10 || after <= before {
		t.Fatalf("%d of 40 connections to the other zone before the own zone stalled, want at most 10; "+
			"%d after, want more than before", before, after)
	}
}
