package simulator

import (
	"encoding/json"
	"fmt"

	"croftlock/internal/balancer"
)

// serverChanges has a server drain, go, come back or start anew, and some balancers hear of it.
func (s *sequence) serverChanges() {
	i := s.rng.Intn(len(s.servers))
	e := &s.servers[i]
	e.State = []string{"healthy", "healthy", "healthy", "cordoned", "deregistered"}[s.rng.Intn(5)]
	if e.State == "healthy" && s.rng.Intn(2) == 0 {
		e.StartedAt = s.now
	}
	if s.rng.Intn(6) == 0 {
		s.servers = append(s.servers, sheetHost{State: "healthy", Zone: string(rune('a' + s.rng.Intn(4))), Weight: 1, StartedAt: s.now, ID: fmt.Sprintf("n%d", s.dueSeq), Kind: "k"})
	}
	s.gen++
	for _, b := range s.balancers {
		if s.rng.Intn(4) == 0 {
			continue
		}
		s.deliver(s.sheet([]sheetHost{s.servers[i], s.servers[len(s.servers)-1]}), map[string]any{"event_type": "Membership", "balancer": b, "form": "update", "gen": s.gen, "sheet": s.sheets})
	}
}

// direct calls a balancer's decision module with what the wire has no event for.
func (s *sequence) direct(name string, call func(b *balancer.Balancer)) {
	s.adapter.reply.start()
	s.adapter.guard(s.adapter.instances[name], call)
	reply := s.adapter.reply.finish()
	s.events++
	s.digest.Add("%d %s", s.now, reply)
	s.follow(reply)
}

// suspend has an operator take a server out, or call it back.
func (s *sequence) suspend(name string) {
	e := s.servers[s.rng.Intn(len(s.servers))]
	entry := balancer.ListedHost{ID: e.ID, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: e.Weight, StartedAt: e.StartedAt}
	if s.rng.Intn(2) == 0 {
		entry.State = balancer.Suspended
	}
	s.direct(name, func(b *balancer.Balancer) {
		b.ListReceived(s.now, balancer.ListMaintenance, []balancer.ListedHost{entry})
	})
}

// restart ends a name with its connections, and begins it anew.
func (s *sequence) restart(name string) {
	s.forget(name)
	s.deliver(map[string]any{"event_type": "Exit", "balancer": name})
	s.begin(name)
}

// forget drops what was under way at a name that has ended.
func (s *sequence) forget(name string) {
	var due []dueEvent
	for _, d := range s.due {
		if r, ok := d.event["request"].(*liveRequest); d.event["balancer"] != name && (!ok || r.balancer != name) {
			due = append(due, d)
		}
	}
	s.due = due
	var requests []*liveRequest
	for _, r := range s.requests {
		if r.balancer != name {
			requests = append(requests, r)
		}
	}
	s.requests = requests
}

// hotStart has another process of the name take over, with what the one before knew and its open connections.
func (s *sequence) hotStart(name string) {
	memory := s.adapter.instances[name].balancer.Snapshot(true)
	kept, err := json.Marshal(memory)
	if err != nil {
		s.fail("%v", err)
	}
	s.digest.Add("%s", kept)
	var standing []*liveRequest
	for _, r := range s.requests {
		if r.balancer == name && r.up {
			standing = append(standing, r)
		}
	}
	s.restart(name)
	s.direct(name, func(b *balancer.Balancer) { b.Restore(s.now, memory) })
	for _, r := range standing {
		again, e := s.newRequest("Adopted", name, 0)
		again.attempt, again.out, again.up, again.server, again.sentAt = 0, true, true, r.server, r.sentAt
		e["server"] = r.server
		s.deliver(e)
	}
}
