package simulator

import (
	"encoding/json"
	"fmt"

	"croftlock/internal/balancer"
)

// changeHost changes the state of a random host, may restart it or add a host, and sends the update to
// some of the balancers.
func (s *sequence) changeHost() {
	i := s.rng.Intn(len(s.hosts))
	e := &s.hosts[i]
	e.State = []string{"healthy", "healthy", "healthy", "cordoned", "deregistered"}[s.rng.Intn(5)]
	if e.State == "healthy" && s.rng.Intn(2) == 0 {
		e.StartedAt = s.now
	}
	if s.rng.Intn(6) == 0 {
		s.hosts = append(s.hosts, listedHost{State: "healthy", Zone: string(rune('a' + s.rng.Intn(4))), Weight: 1, StartedAt: s.now, ID: fmt.Sprintf("n%d", s.scheduledCount), Kind: "k"})
	}
	s.listVersion++
	for _, b := range s.balancers {
		if s.rng.Intn(4) == 0 {
			continue
		}
		s.deliver(s.hostList([]listedHost{s.hosts[i], s.hosts[len(s.hosts)-1]}), map[string]any{"event_type": "Membership", "balancer": b, "form": "update", "gen": s.listVersion, "sheet": s.listNumber})
	}
}

// callBalancer calls a balancer directly, for inputs that the protocol has no event for.
func (s *sequence) callBalancer(name string, call func(b *balancer.Balancer)) {
	s.adapter.reply.start()
	s.adapter.callRecovering(s.adapter.instances[name], call)
	reply := s.adapter.reply.finish()
	s.events++
	s.digest.Add("%d %s", s.now, reply)
	s.applyReply(reply)
}

// toggleSuspension suspends a random host as an operator does, or ends its suspension.
func (s *sequence) toggleSuspension(name string) {
	e := s.hosts[s.rng.Intn(len(s.hosts))]
	entry := balancer.ListedHost{ID: e.ID, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: e.Weight, StartedAt: e.StartedAt}
	if s.rng.Intn(2) == 0 {
		entry.State = balancer.Suspended
	}
	s.callBalancer(name, func(b *balancer.Balancer) {
		b.ListReceived(s.now, balancer.ListLocal, []balancer.ListedHost{entry})
	})
}

// restart ends a balancer and its connections, and starts it again.
func (s *sequence) restart(name string) {
	s.dropBalancer(name)
	s.deliver(map[string]any{"event_type": "Exit", "balancer": name})
	s.startBalancer(name)
}

// dropBalancer removes the scheduled events and the requests of a balancer that has ended.
func (s *sequence) dropBalancer(name string) {
	var scheduled []scheduledEvent
	for _, d := range s.scheduled {
		if r, ok := d.event["request"].(*liveRequest); d.event["balancer"] != name && (!ok || r.balancer != name) {
			scheduled = append(scheduled, d)
		}
	}
	s.scheduled = scheduled
	var requests []*liveRequest
	for _, r := range s.requests {
		if r.balancer != name {
			requests = append(requests, r)
		}
	}
	s.requests = requests
}

// hotRestart restarts a balancer as a hot restart does: the new process restores the snapshot and
// adopts the open connections.
func (s *sequence) hotRestart(name string) {
	snapshot := s.adapter.instances[name].balancer.Snapshot(true)
	stored, err := json.Marshal(snapshot)
	if err != nil {
		s.fail("marshal the snapshot of %s: %v", name, err)
	}
	s.digest.Add("%s", stored)
	var open []*liveRequest
	for _, r := range s.requests {
		if r.balancer == name && r.established {
			open = append(open, r)
		}
	}
	s.restart(name)
	s.callBalancer(name, func(b *balancer.Balancer) { b.Restore(s.now, snapshot) })
	for _, r := range open {
		adopted, e := s.newRequest("Adopted", name, 0)
		adopted.attempt, adopted.inFlight, adopted.established, adopted.host, adopted.startedAt = 0, true, true, r.host, r.startedAt
		e["server"] = r.host
		s.deliver(e)
	}
}
