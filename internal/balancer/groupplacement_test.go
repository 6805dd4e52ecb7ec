package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

// A group is the set of connections that Request.Group names. Each host bears a cost for each group
// that it holds.

// TestGroupsKeepToFewHosts checks that 80 balancers with two requests each place a group at few
// hosts. The balancers exchange no messages and follow the same order of hosts.
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
		t.Errorf("%d pairs of group and host for 4 groups of 40 connections at 12 hosts, want at most 32", n)
	}
	for host, n := range connections {
		if n > 4*160/12 {
			t.Errorf("%s holds %d of 160 connections, want at most %d", host, n, 4*160/12)
		}
	}
	t.Logf("%d pairs of group and host for 4 groups, connections by host %v", len(groupsAtHosts), connections)
}

// TestSparseTrafficAgreesOnHostOfGroup checks that balancers with less than one connection per host
// place a group's requests at the same host for all zones of a set, and at the next one while that
// host is slow. With an order for each zone, every host would bear the cost of more groups.
func TestSparseTrafficAgreesOnHostOfGroup(t *testing.T) {
	const instances = 60
	hosts := fleet(11)
	for i := range hosts {
		hosts[i].Zone = []string{"z0", "z2"}[i%2]
	}
	// homes returns the number of attempts by host ID if each balancer places one request of the
	// group. The host slow delays messages; "" means that no host does.
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
	const agreeing = 50 // the rotations of the other balancers may begin too far from the home
	first, home := homes(""), ""
	for host, n := range first {
		if n >= agreeing {
			home = host
		}
	}
	if home == "" {
		t.Fatalf("one group's %d requests went to %v, want at least %d at one host", instances, first, agreeing)
	}
	next, most := homes(home), 0
	for _, n := range next {
		most = max(most, n)
	}
	if next[home] > instances-agreeing || most < agreeing {
		t.Errorf("with %s slow, the requests went to %v, want at most %d there and at least %d at another host",
			home, next, instances-agreeing, agreeing)
	}
}

// TestWarmingHostsShareGroups checks that half of a zone's warming hosts (in slow start) accept
// connections of a group by lottery, and that they accept together as many connections as all of the
// warming hosts do without groups.
func TestWarmingHostsShareGroups(t *testing.T) {
	f := manyBalancers(t, 80, 1)[0]
	ids := []string{"s01", "s02", "s03", "s04"}
	for _, id := range ids {
		f.listChanged(warming(id, f.now))
	}
	// countWins returns how often 40000 requests, spread over the given number of groups, win the
	// lottery for a warming host, and the pairs of group and host. If groups is 0, the requests have
	// no group.
	countWins := func(groups int) (wins int, groupsAtHosts map[string]bool) {
		groupsAtHosts = map[string]bool{}
		for i := range 40000 {
			r := &request{Request: Request{ID: fmt.Sprint("q", i)}, similarPerSecond: 20}
			if groups > 0 {
				r.Group = fmt.Sprintf("group%d", i%groups)
			}
			for _, id := range ids {
				if f.b.winsLottery(f.b.byID[id], r) {
					wins++
					groupsAtHosts[r.Group+" at "+id] = true
				}
			}
		}
		return wins, groupsAtHosts
	}
	withGroups, groupsAtHosts := countWins(4)
	if n := len(groupsAtHosts); n != 8 {
		t.Errorf("%d pairs of group and warming host for 4 groups at 4 hosts, want 8: %v", n, groupsAtHosts)
	}
	without, _ := countWins(0)
	if x := float64(withGroups) / float64(without); x < 0.85 || x > 1.15 {
		t.Errorf("%d lottery wins with groups, %d without, want a ratio of 0.85 to 1.15", withGroups, without)
	}
}
