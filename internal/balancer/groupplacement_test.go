package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

// TestGroupsKeepToFewHosts: a host pays for each group of which it holds a connection. Eighty balancers with a request
// each would put every group everywhere, but keep to one order of hosts without a message.
func TestGroupsKeepToFewHosts(t *testing.T) {
	pairs, most := map[string]bool{}, map[string]int{}
	rng := rand.New(rand.NewSource(5))
	var es []ListedHost
	for i := 0; i < 12; i++ {
		es = append(es, ListedHost{ID: fmt.Sprintf("s%02d", i), Zone: string(rune('a' + i%3)), Weight: 1})
	}
	for me := 0; me < 80; me++ {
		cfg := settings()
		cfg.Instance, cfg.Instances, cfg.Zones, cfg.Zone = me, 80, []string{"a", "b", "c"}, string(rune('a'+me%3))
		cfg.Prices.CrossZone = 0.1
		f := start(t, cfg, es...)
		for i := 0; i < 2; i++ {
			id, group := fmt.Sprint(i), fmt.Sprintf("group%d", rng.Intn(4))
			f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Group: group, Remaining: 2 * sec})
			f.establish(id)
			pairs[f.last().host+group] = true
			most[f.last().host]++
			f.now += sec
		}
	}
	if len(pairs) > 32 {
		t.Errorf("4 groups of 40 connections stand in %d places on 12 hosts", len(pairs))
	}
	for s, n := range most {
		if n > 4*160/12 {
			t.Errorf("%s holds %d of 160", s, n)
		}
	}
	t.Logf("%d places, %v", len(pairs), most)
}

// TestSparseTrafficAgreesOnHostOfGroup: with less than a connection a host at each balancer, all of them take a group's
// requests to the same host in all zones of a set, and to the next one while it is slow. At 300 balancers, an order for each of
// six zones made every host pay for more groups; with most of the fleet warming, what was left shed all it held.
func TestSparseTrafficAgreesOnHostOfGroup(t *testing.T) {
	servers := fleet(11)
	for i := range servers {
		servers[i].Zone = []string{"z0", "z2"}[i%2]
	}
	homes := func(slow string) map[string]int {
		got := map[string]int{}
		for me := range 60 {
			cfg := settings()
			cfg.Instance, cfg.Instances, cfg.Zones, cfg.Zone = me, 60, []string{"z0", "z1", "z2", "z3"}, []string{"z0", "z2"}[me%2]
			cfg.Prices.CrossZone = 0.1
			cfg.Classes = []Class{{Name: "x", LatencyObjective: 800 * ms, Deadline: 4800 * ms, MessageLatencyObjective: 150 * ms}}
			cfg.Tenants = []Tenant{{Name: "t", RateQuota: 5, ServiceQuota: 1, ConnectionQuota: 240}}
			f := start(t, cfg, servers...)
			if s := f.b.byID[slow]; s != nil {
				s.messages.delay, s.messages.observedAt = 1, f.now
			}
			f.b.RequestArrived(f.now, Request{ID: "q", Group: "g", Remaining: 4800 * ms})
			got[f.last().host]++
		}
		return got
	}
	// A few balancers' rotations begin too far from it.
	const agree = 50
	first, last := homes(""), ""
	for s, n := range first {
		if n >= agree {
			last = s
		}
	}
	if last == "" {
		t.Fatalf("one group's requests went to %v", first)
	}
	next, most := homes(last), 0
	for _, n := range next {
		most = max(most, n)
	}
	if next[last] > 60-agree || most < agree {
		t.Errorf("with %s slow they went to %v", last, next)
	}
}

// TestWarmingHostsShareGroups: of a group, half of a zone's warming hosts take connections, and all of them together
// what they took without groups.
func TestWarmingHostsShareGroups(t *testing.T) {
	took := map[string]map[string]int{}
	f := manyBalancers(t, 80, 1)[0]
	for _, id := range []string{"s01", "s02", "s03", "s04"} {
		f.b.ListReceived(f.now, ListDelta, []ListedHost{{ID: id, Zone: "a", Weight: 1, StartedAt: f.now}})
		took[id] = map[string]int{}
	}
	total := 0
	for i := 0; i < 40000; i++ {
		group := fmt.Sprintf("group%d", i%4)
		r := &request{Request: Request{ID: fmt.Sprint("q", i), Group: group}, similarPerSecond: 20}
		for id := range took {
			if f.b.drawnByLottery(f.b.byID[id], r) {
				took[id][group]++
				total++
			}
		}
	}
	pairs := 0
	for _, groups := range took {
		pairs += len(groups)
	}
	if pairs != 8 {
		t.Errorf("4 groups go to %d places on 4 warming hosts, 8 expected: %v", pairs, took)
	}
	r := &request{Request: Request{ID: "x"}, similarPerSecond: 20}
	alone := 0
	for i := 0; i < 40000; i++ {
		r.ID = fmt.Sprint("q", i)
		for id := range took {
			if f.b.drawnByLottery(f.b.byID[id], r) {
				alone++
			}
		}
	}
	if x := float64(total) / float64(alone); x < 0.85 || x > 1.15 {
		t.Errorf("%d drawn with groups, %d without", total, alone)
	}
}
