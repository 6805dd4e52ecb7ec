package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

// TestGroupsKeepToFewHosts: a host pays for each group of which it holds a connection. Eighty balancers with
// two requests each would put every group everywhere, but keep to one order of hosts without a message.
func TestGroupsKeepToFewHosts(t *testing.T) {
	groupsAtHosts, connections := map[string]bool{}, map[string]int{}
	rng := rand.New(rand.NewSource(5))
	hosts := fleet(12)
	for i := range hosts {
		hosts[i].Zone = string(rune('a' + i%3))
	}
	for instance := range 80 {
		cfg := settings()
		cfg.Instance, cfg.Instances = instance, 80
		cfg.Zones, cfg.Zone = []string{"a", "b", "c"}, string(rune('a'+instance%3))
		cfg.Prices.CrossZone = 0.1
		f := start(t, cfg, hosts...)
		for i := range 2 {
			id, group := fmt.Sprint(i), fmt.Sprintf("group%d", rng.Intn(4))
			f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Group: group, Remaining: 2 * sec})
			f.establish(id)
			groupsAtHosts[f.lastAttempt().host+group] = true
			connections[f.lastAttempt().host]++
			f.now += sec
		}
	}
	if n := len(groupsAtHosts); n > 32 {
		t.Errorf("4 groups of 40 connections are at %d hosts of 12 in sum", n)
	}
	for host, n := range connections {
		if n > 4*160/12 {
			t.Errorf("%s holds %d of 160", host, n)
		}
	}
	t.Logf("4 groups at %d hosts in sum, connections %v", len(groupsAtHosts), connections)
}

// TestSparseTrafficAgreesOnHostOfGroup: with less than a connection a host at each balancer, all of them
// place a group's requests at the same host in all zones of a set, and at the next one while that is slow.
// With an order for each zone, every host would pay for more groups.
func TestSparseTrafficAgreesOnHostOfGroup(t *testing.T) {
	const instances = 60
	hosts := fleet(11)
	for i := range hosts {
		hosts[i].Zone = []string{"z0", "z2"}[i%2]
	}
	homes := func(slow string) map[string]int {
		attempts := map[string]int{}
		for instance := range instances {
			cfg := settings()
			cfg.Instance, cfg.Instances = instance, instances
			cfg.Zones, cfg.Zone = []string{"z0", "z1", "z2", "z3"}, []string{"z0", "z2"}[instance%2]
			cfg.Prices.CrossZone = 0.1
			cfg.Classes = []Class{classWith(800*ms, 4800*ms, 150*ms)}
			cfg.Tenants = []Tenant{{Name: "t", RateQuota: 5, ServiceQuota: 1, ConnectionQuota: 240}}
			f := start(t, cfg, hosts...)
			if h := f.b.byID[slow]; h != nil {
				h.messages.delay, h.messages.observedAt = 1, f.now
			}
			f.b.RequestArrived(f.now, Request{ID: "q", Group: "g", Remaining: 4800 * ms})
			attempts[f.lastAttempt().host]++
		}
		return attempts
	}
	const agreeing = 50 // the rotations of a few balancers begin too far from the home
	first, home := homes(""), ""
	for host, n := range first {
		if n >= agreeing {
			home = host
		}
	}
	if home == "" {
		t.Fatalf("one group's requests went to %v", first)
	}
	next, most := homes(home), 0
	for _, n := range next {
		most = max(most, n)
	}
	if next[home] > instances-agreeing || most < agreeing {
		t.Errorf("with %s slow they went to %v", home, next)
	}
}

// TestWarmingHostsShareGroups: of a group, half of a zone's warming hosts take connections, and all of them
// together as many as without groups.
func TestWarmingHostsShareGroups(t *testing.T) {
	f := manyBalancers(t, 80, 1)[0]
	ids := []string{"s01", "s02", "s03", "s04"}
	for _, id := range ids {
		f.listChanged(warming(id, f.now))
	}
	// draw counts what requests of so many groups draw; of none where groups is 0.
	draw := func(groups int) (drawn int, groupsAtHosts map[string]bool) {
		groupsAtHosts = map[string]bool{}
		for i := range 40000 {
			r := &request{Request: Request{ID: fmt.Sprint("q", i)}, similarPerSecond: 20}
			if groups > 0 {
				r.Group = fmt.Sprintf("group%d", i%groups)
			}
			for _, id := range ids {
				if f.b.drawnByLottery(f.b.byID[id], r) {
					drawn++
					groupsAtHosts[r.Group+" at "+id] = true
				}
			}
		}
		return drawn, groupsAtHosts
	}
	withGroups, groupsAtHosts := draw(4)
	if n := len(groupsAtHosts); n != 8 {
		t.Errorf("4 groups go to %d of 4 warming hosts in sum, 8 expected: %v", n, groupsAtHosts)
	}
	without, _ := draw(0)
	if x := float64(withGroups) / float64(without); x < 0.85 || x > 1.15 {
		t.Errorf("%d drawn with groups, %d without", withGroups, without)
	}
}
