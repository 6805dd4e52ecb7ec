package balancer

import (
	"math"
	"sort"
)

// What discovery tells: which servers there are, how much of a fleet they make, and when to ask again.

// Members takes a list or a change of it.
func (b *Brain) Members(now Time, kind ListKind, version int64, entries []Entry) {
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
			s = &server{id: e.ID, hash: hash(e.ID), since: e.Since, tokensAt: now}
			s.tokens = b.stagger(s)
			s.lag = 0.5 - s.tokens // a place of its own in the rotation: many have not come further than that
			b.byID[e.ID] = s
			b.servers = append(b.servers, s)
			added = true
		} else if e.Since > s.since || s.state == Suspended && e.State == Ready {
			// A fresh start clears what was held against the process before it: else a server that came
			// back is shunned for the rest of the old one's quarantine. So does an operator's word.
			s.since, s.fails, s.until, s.ill, s.delay = e.Since, 0, 0, 0, 0
			s.told.Forget()
			s.passed, s.tokens, s.tokensAt, s.lag = 0, b.stagger(s), now, min(s.lag, 0)
		}
		s.zone, s.cell, s.weight, s.known = b.zoneOf(e.Zone), e.Cell, e.Weight, true
		if s.weight <= 0 {
			s.weight = 1
		}
		if s.state == Ready && e.State != Ready {
			b.left.add(now, 2*b.cfg.Fall, s.weight)
		}
		s.state = e.State
	}
	for _, s := range b.servers {
		if !s.known {
			s.state = Departed
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
		start := float64(b.cfg.Me%b.cfg.Peers) / float64(b.cfg.Peers)
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
func (b *Brain) stagger(s *server) float64 {
	_, f := math.Modf(float64(s.hash%1024)/1024 + float64(b.cfg.Me)/float64(b.cfg.Peers))
	return f
}

func (b *Brain) ask() {
	if b.watching || b.asking {
		return
	}
	b.asking = true
	b.fx.Watch(true)
}

// askAgain backs off with jitter, since discovery does not grow with the balancers; but never so far that
// silence would let a drain pass unheard.
func (b *Brain) askAgain() {
	if !b.cfg.Ask {
		return
	}
	limit := min(float64(b.cfg.AskWithin)/2, askLatest)
	d := min(askPause, limit/8*math.Pow(2, float64(min(b.askFails, 8)-1)))
	d = min(limit, max(d, askSpread*float64(b.cfg.Peers)))
	b.fx.After(max(b.cfg.Tick, Time(d*(0.25+0.75*b.rng.Float64()))), "ask")
}
