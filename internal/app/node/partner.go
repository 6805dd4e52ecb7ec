package node

import (
	"log/slog"
	"runtime/debug"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/proxy"
)

// Take stops accepting, and says what this process knows.
func (p partner) Take() *proxy.Kept {
	r := p.replacement
	if r.partner == p.of && r.older {
		r.handed = true
		r.owners.Leave(func() { r.members.Yield() })
		r.front.Stop()
		if r.peers != nil {
			r.peers.Deafen()
		}
		r.core.HandOver(true)
		slog.Info("handed_over", "sessions", r.core.Sessions())
		r.tell()
	}
	k := r.keep(true)
	r.gave = k.Memory
	return k
}

// Taken takes what the old process knew last, and begins.
func (p partner) Taken(k *proxy.Kept) {
	r := p.replacement
	if r.partner != p.of || !r.waits {
		return
	}
	if k != nil {
		k.Rebase(r.loop.Now(), true)
		if err := k.Valid(r.loop.Now()); err != nil {
			slog.Warn("handover_odd", "reason", err)
		} else {
			p.takeList(k)
			r.core.Inherit(k)
			r.core.Recall(k.Memory)
		}
	}
	r.accept()
}

// Listed takes the list of the other process, where it is newer than this one's: the two are one proxy, and this one may not be watching yet.
func (p partner) Listed(k *proxy.Kept) {
	r := p.replacement
	if r.partner != p.of || r.older {
		return
	}
	if err := k.Valid(r.loop.Now()); err != nil {
		slog.Warn("handover_odd", "reason", err)
		return
	}
	p.takeList(k)
}

func (p partner) takeList(k *proxy.Kept) {
	r := p.replacement
	if len(k.Hosts) == 0 {
		return
	}
	if from, rev := r.watch.Source(); k.Discovery == from && k.Rev > rev {
		r.core.Listed(proxy.Change{Kind: balancer.ListCached, Version: k.Rev, Hosts: k.Hosts})
	}
}

func (p partner) ByHand(id string, out bool) {
	r := p.replacement
	r.core.ToldByHand(id, out)
	if !r.handed && !r.waits {
		r.store.Keep(r.keep(false), nil)
	}
}

// Standing goes on with an open connection of the old process's.
func (p partner) Standing(s *proxy.Standing) { p.front.Resume(s) }

// Sessions counts the other process's downstreams with this one's, and its descriptors that are nobody's in particular.
func (p partner) Sessions(n int) {
	if r := p.replacement; r.partner == p.of && !r.older {
		r.core.Elsewhere(n + r.cfg.Spare()/2)
	}
}

// Gone goes on alone.
func (p partner) Gone() {
	r := p.replacement
	if r.partner != p.of {
		return
	}
	r.partner = nil
	debug.SetMemoryLimit(r.cfg.MemoryLimit())
	slog.Info("partner_gone", "older", r.older)
	if !r.older {
		r.core.Elsewhere(0)
		r.accept()
		return
	}
	r.older = false
	if !r.handed || !r.core.Ready() {
		return
	}
	// The new process has died after it took over: whoever waits in the queue is this one's again.
	r.handed = false
	r.core.Recall(r.gave) // the cold budgets that were given up, among others
	r.mustServe()
	r.rejoin()
	slog.Warn("taken_back", "sessions", r.core.Sessions())
}
