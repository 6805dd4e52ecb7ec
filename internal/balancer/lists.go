package balancer

import (
	"math"
	"sort"
)

// What discovery tells: which servers there are, how much of a fleet they make, and when to ask again.

// ListReceived takes a list or a change of it.
func (b *Balancer) ListReceived(now Time, kind ListChange, version int64, entries []ListedHost) {
	b.tick(now)
	if kind == ListFailed {
		b.watching, b.asking = false, false
		b.askFails++
		b.askAgain()
		return
	}
	if b.asking && kind <= ListFull {
		b.asking, b.watching, b.askFails = false, true, 0
	}
	if kind == ListFull || kind == ListCached {
		for _, s := range b.servers {
			s.known = false
		}
	}
	added := false
	for _, e := range entries {
		s := b.byID[e.ID]
		if s == nil {
			s = &server{id: e.ID, hash: hash(e.ID), since: e.StartedAt, tokensAt: now}
			s.tokens = b.stagger(s)
			s.lag = 0.5 - s.tokens // a place of its own in the rotation: many have not come further than that
			b.byID[e.ID] = s
			b.servers = append(b.servers, s)
			added = true
		} else if e.StartedAt > s.since || s.state == Suspended && e.State == Ready {
			// A fresh start clears what was held against the process before it: else a server that came
			// back is shunned for the rest of the old one's quarantine. So does an operator's word.
			s.since, s.fails, s.until, s.ill, s.delay = e.StartedAt, 0, 0, 0, 0
			s.told.Reset()
			s.passed, s.tokens, s.tokensAt, s.lag = 0, b.stagger(s), now, min(s.lag, 0)
		}
		s.zone, s.cell, s.weight, s.known = b.zoneOf(e.Zone), e.Cell, e.Weight, true
		if s.weight <= 0 {
			s.weight = 1
		}
		if s.state == Ready && e.State != Ready {
			b.left.add(now, 2*b.cfg.SlowStartOverloadWindow, s.weight)
		}
		s.state = e.State
	}
	for _, s := range b.servers {
		if !s.known {
			s.state = Removed
		}
	}
	if added {
		sort.Slice(b.servers, func(i, j int) bool { return b.servers[i].id < b.servers[j].id })
	}
	clear(b.orders)
	if !b.haveList && len(b.servers) > 0 {
		b.haveList = true
		// Balancers start their rotations at places spread over the common order, so that many sparse
		// rotations interleave into one even stream instead of all beginning with the same server.
		n := float64(len(b.servers))
		start := float64(b.cfg.Instance%b.cfg.Instances) / float64(b.cfg.Instances)
		for i, s := range b.servers {
			_, f := math.Modf(float64(i)/n - start + 1)
			s.lag = 0.5 - f
		}
	}
	if b.reports() {
		b.survey()
	}
	b.measure()
	b.pump()
}

// stagger gives each balancer another place in a server's first round of cold connections: were all alike,
// all would send their first one at the same moment.
func (b *Balancer) stagger(s *server) float64 {
	_, f := math.Modf(float64(s.hash%1024)/1024 + float64(b.cfg.Instance)/float64(b.cfg.Instances))
	return f
}

func (b *Balancer) ask() {
	if b.watching || b.asking {
		return
	}
	b.asking = true
	b.fx.WatchList(true)
}

// askAgain backs off with jitter, since discovery does not grow with the balancers; but never so far that
// silence would let a drain pass unheard.
func (b *Balancer) askAgain() {
	if !b.cfg.PollsDiscovery {
		return
	}
	limit := min(float64(b.cfg.PollInterval)/2, askLatest)
	d := min(askPause, limit/8*math.Pow(2, float64(min(b.askFails, 8)-1)))
	d = min(limit, max(d, askSpread*float64(b.cfg.Instances)))
	b.fx.Schedule(max(b.cfg.Tick, Time(d*(0.25+0.75*b.rng.Float64()))), "ask")
}
