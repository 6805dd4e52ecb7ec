package main

import (
	"syscall"
	"time"
)

// allCases are the cases by name.
var allCases = map[string]func(*stage) bool{
	"list-lost":      listLost,
	"discovery-left": discoveryLeft,
	"endless-lease":  endlessLease,
	"queue-lost":     queueLost,
	"cold-flood":     coldFlood,
}

// The slack of the rule on drains: 250 ms, and 50 ms that PROTOCOL adds to each limit.
const drainSlack = 300 * time.Millisecond

// servers starts n catalogue servers and lists them as up, in one zone or in turn in several ones.
func (s *stage) servers(n int, r *roster, zones ...string) (all []*server) {
	for i := range n {
		v := newServer(s, "s-"+string(rune('a'+i)))
		if len(zones) > 0 {
			v.zone = zones[i%len(zones)]
		}
		all = append(all, v)
		r.set(v.entry("up"))
	}
	return all
}

// only returns a front that knows one proxy.
func only(p *proxySite) func() []string { return func() []string { return []string{p.listen} } }

// listLost: a proxy has been told that a server drains. Its discovery then moves to an address that is down for
// some seconds, and the process is replaced meanwhile.
func listLost(s *stage) bool {
	r := newRoster(s, 40)
	all := s.servers(4, r)
	known := r.whole()
	a, b := newDiscovery(s, "A", r), newDiscovery(s, "B", r)
	a.open()
	b.open()
	b.setDown(true)
	p := s.newProxySite("n1", 0, 1, a.addr, known)
	first := p.start("first")
	first.waitReady(10 * time.Second)
	p.ping(5 * time.Second)
	clients := newCrowd(s, 12, 6*time.Second, only(p))
	s.until(6 * time.Second)
	drained := all[3]
	r.set(drained.entry("draining"))
	drained.drain()
	told := time.Now()
	s.until(11 * time.Second)
	if n := len(drained.since(told.Add(drainSlack))); n > 0 {
		s.say("%d attempts at the draining server before the disruption", n)
	}
	if s.trouble {
		s.say("new configuration: discovery moves from A to B, which is down")
		p.writeConfig(b.addr)
		first.signal(syscall.SIGHUP)
		a.leave()
	}
	s.until(12500 * time.Millisecond)
	_, yes := p.replace(first, "second", nil)
	// Discovery's news counts as told 2 s after the yes.
	from := yes.Add(2*time.Second + drainSlack)
	s.until(23 * time.Second)
	b.setDown(false)
	s.until(26 * time.Second)
	clients.stop()
	clients.summary()
	late := drained.since(from)
	for _, x := range late {
		s.say("attempt %s at %s %.3f s after its proxy was told that it drains", x.id, x.server, x.at.Sub(told).Seconds())
	}
	s.say("attempts at the draining server later than %.3f s: %d; in the 2.3 s after the yes: %d", s.since(from), len(late), len(drained.since(yes))-len(late))
	return len(late) > 0
}

// discoveryLeft: discovery moves to B and, during a replacement of the process, back to A. Later a server drains.
func discoveryLeft(s *stage) bool {
	r := newRoster(s, 40)
	all := s.servers(4, r)
	known := r.whole()
	a, b := newDiscovery(s, "A", r), newDiscovery(s, "B", r)
	a.open()
	b.open()
	p := s.newProxySite("n1", 0, 1, a.addr, known)
	first := p.start("first")
	first.waitReady(10 * time.Second)
	p.ping(5 * time.Second)
	clients := newCrowd(s, 12, 6*time.Second, only(p))
	s.until(4 * time.Second)
	s.say("new configuration: discovery moves from A to B")
	p.writeConfig(b.addr)
	first.signal(syscall.SIGHUP)
	a.leave()
	s.until(10 * time.Second)
	a.open()
	b.setDelay(1800 * time.Millisecond) // slow, within the 2 s that discovery takes at most
	_, yes := p.replace(first, "second", func(*process) {
		if s.trouble {
			time.Sleep(900 * time.Millisecond)
			s.say("new configuration: discovery moves from B back to A")
			p.writeConfig(a.addr)
			first.signal(syscall.SIGHUP)
			b.leave()
		}
	})
	b.setDelay(0)
	s.until(20 * time.Second)
	s.say("%.1f s after the yes", time.Since(yes).Seconds())
	drained := all[3]
	r.set(drained.entry("draining"))
	told := time.Now()
	drained.drain()
	// Whatever happens to calls and watches, a change counts as told 6 s after discovery had it and could be reached.
	from := told.Add(6*time.Second + drainSlack)
	s.until(36 * time.Second)
	clients.stop()
	clients.summary()
	late := drained.since(from)
	for _, x := range late {
		s.say("attempt %s at %s %.3f s after discovery listed it as draining", x.id, x.server, x.at.Sub(told).Seconds())
	}
	s.say("attempts at the draining server later than 6.3 s after the change: %d", len(late))
	return len(late) > 0
}

// queueLost: a process is replaced. The next one is killed while the first one shuts down.
func queueLost(s *stage) bool {
	r := newRoster(s, 40)
	s.servers(4, r)
	known := r.whole()
	a := newDiscovery(s, "A", r)
	a.open()
	p := s.newProxySite("n1", 0, 1, a.addr, known)
	first := p.start("first")
	first.waitReady(10 * time.Second)
	p.ping(5 * time.Second)
	clients := newCrowd(s, 12, 12*time.Second, only(p))
	s.until(15 * time.Second)
	next, _ := p.replace(first, "second", nil)
	time.Sleep(100 * time.Millisecond)
	killed := time.Now()
	if s.trouble {
		next.signal(syscall.SIGKILL)
	}
	// The front goes on sending clients to a dead proxy for 0.87 to 3.7 s.
	time.Sleep(870 * time.Millisecond)
	clients.stop()
	time.Sleep(5500 * time.Millisecond)
	clients.summary()
	ended := first.endedAt()
	s.say("the first process ended %.3f s after the kill", ended.Sub(killed).Seconds())
	lost := 0
	clients.mu.Lock()
	defer clients.mu.Unlock()
	for _, o := range clients.outcomes {
		// Those of the second process's own connections end with it: only what came later counts, and while the first process ran.
		if o.answer == "" && o.sentAt.After(killed.Add(100*time.Millisecond)) && o.sentAt.Before(ended) {
			lost++
			s.say("request %s, sent %.3f s after the kill, %.3f s before the first process ended: no answer, %s", o.id, o.sentAt.Sub(killed).Seconds(),
				ended.Sub(o.sentAt).Seconds(), o.detail)
		}
	}
	s.say("requests lost: %d", lost)
	return lost > 0
}
