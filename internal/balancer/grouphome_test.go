package balancer

import (
	"fmt"
	"testing"
)

// TestGroupsKeepToTheirHome checks that all balancers place the connections of a group (Request.Group)
// at its home, the first host of the group's order of hosts, until that host is full.
func TestGroupsKeepToTheirHome(t *testing.T) {
	homes := map[string]bool{}
	var f *fake
	for instance := range 3 {
		cfg := settings()
		cfg.Instance, cfg.Instances = instance, 3
		f = startReporting(t, cfg, fleet(8)...)
		f.reportLoads(func(int) float64 { return 0.5 })
		for i := range 8 {
			id := fmt.Sprint("r", i)
			f.b.RequestArrived(f.now, Request{ID: id, Tenant: 0, Group: "g", Remaining: 2 * sec})
			f.establish(id)
			homes[f.lastAttempt().host] = true
		}
	}
	if len(homes) != 1 {
		t.Errorf("three balancers placed 24 connections of a group at %d hosts, want 1: %v", len(homes), homes)
	}
	f.now += 2 * sec
	f.reportLoads(func(i int) float64 {
		if homes[f.b.hosts[i].hostID] {
			return 1.05
		}
		return 0.5
	})
	f.b.RequestArrived(f.now, Request{ID: "more", Tenant: 0, Group: "g", Remaining: 2 * sec})
	if homes[f.lastAttempt().host] {
		t.Errorf("another connection of the group was placed at its home %s, which is full, want another host",
			f.lastAttempt().host)
	}
}

// TestClassOfUnknownLoad checks that connections of a class count for one turn (a mean connection)
// while their load is unknown, and in proportion to their observed load afterwards.
func TestClassOfUnknownLoad(t *testing.T) {
	cfg := settings()
	heavy := cfg.Classes[0]
	heavy.Name, heavy.PriorityWeight = "heavy", 3
	cfg.Classes = append(cfg.Classes, heavy)
	f := startReporting(t, cfg, fleet(4)...)
	turns := func(class int) float64 { return f.b.costs.turns(f.b.costs.estimate(&Request{Class: class})) }
	if turns(0) != 1 || turns(1) != 1 {
		t.Errorf("before any load is known, the classes count for %.2f and %.2f turns, want 1 and 1",
			turns(0), turns(1))
	}
	for i := range 200 {
		id := fmt.Sprint("r", i)
		f.b.RequestArrived(f.now, Request{ID: id, Class: i % 2, Tenant: -1, Remaining: 2 * sec})
		f.establish(id)
		f.b.Observe(f.now, id, 0, ObservedLoad, 1000+float64(i%2)*5000)
	}
	if x := turns(1) / turns(0); x < 4 || x > 8 {
		t.Errorf("a connection of six times the load counts for %.2f times the turns, want 4 to 8", x)
	}
}
