package node

import (
	"log/slog"
	"runtime/debug"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/proxy"
)

// TakeOver stops accepting, and says what this process knows.
func (p partner) TakeOver() *proxy.Snapshot {
	r := p.replacement
	if r.partner == p.of && r.older {
		r.handed = true
		r.owners.Leave(func() { r.members.Yield() })
		r.front.Stop()
		if r.peers != nil {
			r.peers.StopReceiving()
		}
		r.core.SetHandedOver(true)
		slog.Info("hot_restart_handed_over", "sessions", r.core.Sessions())
		r.tell()
	}
	k := r.keep(true)
	r.gave = k.Balancer
	return k
}

// TakenOver takes what the old process knew last, and begins.
func (p partner) TakenOver(k *proxy.Snapshot) {
	r := p.replacement
	if r.partner != p.of || !r.waits {
		return
	}
	if k != nil {
		k.Rebase(r.loop.Now(), true)
		if err := k.Check(r.loop.Now()); err != nil {
			slog.Warn("hot_restart_unexpected", "reason", err)
		} else {
			p.takeList(k)
			r.core.Inherit(k)
			r.core.RestoreBalancer(k.Balancer)
		}
	}
	r.accept()
}

// ListChanged takes the list of the other process, where it is newer than this one's: the two are one proxy, and this one may not be watching yet.
func (p partner) ListChanged(k *proxy.Snapshot) {
	r := p.replacement
	if r.partner != p.of || r.older {
		return
	}
	if err := k.Check(r.loop.Now()); err != nil {
		slog.Warn("hot_restart_unexpected", "reason", err)
		return
	}
	p.takeList(k)
}

func (p partner) takeList(k *proxy.Snapshot) {
	r := p.replacement
	if len(k.Hosts) == 0 {
		return
	}
	if from, rev := r.watch.Source(); k.Discovery == from && k.Revision > rev {
		r.core.ListReceived(proxy.Change{Kind: balancer.ListCached, Version: k.Revision, Hosts: k.Hosts})
	}
}

func (p partner) HostSuspended(id string, out bool) {
	r := p.replacement
	r.core.HostSuspendedElsewhere(id, out)
	if !r.handed && !r.waits {
		r.store.Save(r.keep(false), nil)
	}
}

// ConnectionReceived goes on with an open connection of the old process's.
func (p partner) ConnectionReceived(s *proxy.HandedOverConnection) { p.front.Resume(s) }

// Sessions counts the other process's downstreams with this one's, and its descriptors that are nobody's in particular.
func (p partner) Sessions(n int) {
	if r := p.replacement; r.partner == p.of && !r.older {
		r.core.SetSessionsElsewhere(n + r.cfg.HotRestartDescriptors()/2)
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
	slog.Info("hot_restart_partner_gone", "older", r.older)
	if !r.older {
		r.core.SetSessionsElsewhere(0)
		r.accept()
		return
	}
	r.older = false
	if !r.handed || !r.core.Ready() {
		return
	}
	// The new process has died after it took over: whoever waits in the queue is this one's again.
	r.handed = false
	r.core.RestoreBalancer(r.gave) // the cold budgets that were given up, among others
	r.mustServe()
	r.rejoin()
	slog.Warn("hot_restart_taken_back", "sessions", r.core.Sessions())
}
