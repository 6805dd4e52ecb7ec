package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// The deployment of the case: twelve servers of one kind, three proxies, and traffic of 9 new connections a second, which is what the
// tenants' quotas of the settings allow. The quotas are 0.8 of what the servers can do: the site file has 0.7 to 0.89.
const (
	floodServers  = 12
	floodRate     = 9.0
	serverRate    = floodRate / 0.8 / floodServers // new connections a second that a warm server can do
	coldFrom      = 0.14
	warmUp        = 23 * time.Second
	fallWindow    = 2 * time.Second
	fallMultiple  = 4.0
	floodLifetime = 44 * time.Second
)

// zones are the data centres; each has one of the proxies and four of the servers.
var zones = []string{"kathmandu", "pokhara", "biratnagar"}

// fallLimit returns how many requests may come to a server within the window that ends age after its start.
func fallLimit(age time.Duration) float64 {
	share := min(1, coldFrom+(1-coldFrom)*float64(age)/float64(warmUp))
	n := serverRate * share * fallMultiple * fallWindow.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// coldFlood: a server crashes and comes back cold, which two of three proxies are told. The third was killed meanwhile, and comes back
// with its last list while discovery is down.
func coldFlood(s *stage) bool {
	r := newRoster(s, 40)
	all := s.servers(floodServers, r, zones...)
	known := r.whole()
	a := newDiscovery(s, "A", r)
	a.open()
	sites, _ := s.fleet(a, known, nil)
	// The front: a ninth of the traffic comes from the zone of n0.
	var mu sync.Mutex
	inFront := true
	front := func() (addrs []string) {
		mu.Lock()
		defer mu.Unlock()
		if inFront {
			addrs = append(addrs, sites[0].listen)
		}
		return append(addrs, sites[1].listen, sites[1].listen, sites[1].listen, sites[1].listen, sites[2].listen, sites[2].listen, sites[2].listen, sites[2].listen)
	}
	setInFront := func(in bool) {
		mu.Lock()
		inFront = in
		mu.Unlock()
	}
	clients := newGroupedCrowd(s, floodRate, floodLifetime, front, floodGroups())
	s.until(66000 * time.Millisecond)
	cold := all[4]
	s.say("%s crashes", cold.uid)
	cold.crash()
	s.until(67500 * time.Millisecond)
	if s.trouble {
		s.say("n0 is killed; its last list has %s as up", cold.uid)
		sites[0].process.cmd.Process.Kill()
		time.AfterFunc(time.Second, func() { setInFront(false) })
	}
	s.until(68000 * time.Millisecond)
	r.set(cold.entry("removed"))
	s.until(69800 * time.Millisecond)
	cold.restart()
	started := time.Now()
	s.say("%s runs again, cold", cold.uid)
	s.until(70400 * time.Millisecond)
	entry := cold.entry("up")
	entry.BootMS = started.UnixMilli()
	r.set(entry)
	told := time.Now()
	s.until(70600 * time.Millisecond)
	if s.trouble {
		s.say("discovery is down for 8 s")
		a.setDown(true)
		sites[0].more["seed"] = fmt.Sprintf("%016x", rand.Uint64())
		sites[0].writeConfig(a.addr)
		sites[0].start("n0 again")
		sites[0].ping(10 * time.Second)
		setInFront(true)
		s.say("n0 is back")
	}
	s.until(78600 * time.Millisecond)
	a.setDown(false)
	s.until(83000 * time.Millisecond)
	clients.stop()
	clients.summary()
	return s.fell(cold, started, told, clients.addrsByID(), sites[0].listen)
}

// fell reports whether a server fell, and over two thirds of what it got then came from proxies that had been told of its start.
func (s *stage) fell(cold *server, started, told time.Time, addrs map[string]string, untold string) bool {
	got := cold.since(started)
	most, fell, broken := 0, false, false
	for i, last := range got {
		n, fromTold := 0, 0
		for _, x := range got[:i+1] {
			if last.at.Sub(x.at) < fallWindow {
				n++
				if addrs[x.id] != untold && x.at.After(told) {
					fromTold++
				}
			}
		}
		most = max(most, n)
		if limit := fallLimit(last.at.Sub(started)); float64(n) > limit && !fell {
			s.say("%s falls %.3f s after its start: %d requests within %v, %.1f are allowed; %d came from proxies that had been told of the start",
				cold.uid, last.at.Sub(started).Seconds(), n, fallWindow, limit, fromTold)
			fell, broken = true, 3*fromTold > 2*n
		}
	}
	s.say("%s falls: %t; %d requests, at most %d within %v", cold.uid, fell, len(got), most, fallWindow)
	return broken
}
