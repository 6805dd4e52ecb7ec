package node

import (
	"log/slog"
	"runtime/debug"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/proxy"
)

// partnerEvents handles the messages of the other process of a hot restart. Of a former partner only suspensions and connections are taken;
// messages that would change the phase or the list are ignored (isCurrent).
type partnerEvents struct {
	*process
	partner *hotrestart.Partner
}

var _ hotrestart.Events = partnerEvents{}

// isCurrent returns whether the sender is the current partner.
func (e partnerEvents) isCurrent() bool { return e.restart.partner == e.partner }

// TakeOver has this process, the old one, stop accepting clients, and returns its state.
func (e partnerEvents) TakeOver() *proxy.Snapshot {
	if e.isCurrent() && e.restart.isOld {
		e.becomeHandedOver()
	}
	s := e.snapshot(true)
	e.restart.yieldedState = s.Balancer
	return s
}

// TakenOver has this process, the new one, apply the old one's last state and serve.
func (e partnerEvents) TakenOver(s *proxy.Snapshot) {
	if !e.isCurrent() || e.restart.phase != awaitingList && e.restart.phase != takingOver {
		return
	}
	if s != nil {
		e.applySnapshot(s)
	}
	e.becomeServing()
}

// applySnapshot applies a snapshot, if it is valid.
func (e partnerEvents) applySnapshot(s *proxy.Snapshot) {
	s.Rebase(e.loop.Now(), true)
	if err := s.Check(e.loop.Now()); err != nil {
		slog.Warn("hot_restart_unexpected", "reason", err)
		return
	}
	e.applyList(s)
	e.core.RestoreSuspensions(s)
	e.core.RestoreBalancer(s.Balancer)
}

// ListChanged applies the old process's list, if it is newer than this one's: the two are one proxy, and this one may not be watching yet.
func (e partnerEvents) ListChanged(s *proxy.Snapshot) {
	if !e.isCurrent() || e.restart.isOld {
		return
	}
	if err := s.Check(e.loop.Now()); err != nil {
		slog.Warn("hot_restart_unexpected", "reason", err)
		return
	}
	e.applyList(s)
}

func (e partnerEvents) applyList(s *proxy.Snapshot) {
	if len(s.Hosts) == 0 {
		return
	}
	if from, revision := e.discovery.Source(); s.Discovery == from && s.Revision > revision {
		e.core.ListReceived(proxy.WatchEvent{Kind: balancer.ListCached, Version: s.Revision, Hosts: s.Hosts})
	}
}

// HostSuspended applies a suspension, or its end, by an operator's call at the other process.
func (e partnerEvents) HostSuspended(id string, suspended bool) {
	e.core.SetOtherProcessSuspension(id, suspended)
	if e.restart.phase == serving {
		e.save(nil)
	}
}

// ConnectionReceived resumes a connection that the old process hands over.
func (e partnerEvents) ConnectionReceived(s *proxy.HandedOverConnection) { e.front.Resume(s) }

// DownstreamCount counts the old process's downstreams with this one's, and its other descriptors as downstreams of two descriptors each.
func (e partnerEvents) DownstreamCount(n int) {
	if e.isCurrent() && !e.restart.isOld {
		e.core.SetOtherProcessDownstreams(n + e.cfg.HotRestartDescriptors()/2)
	}
}

// Gone handles the end of the other process: this one goes on alone, and serves if it did not.
func (e partnerEvents) Gone() {
	if !e.isCurrent() {
		return
	}
	r := &e.restart
	r.partner = nil
	debug.SetMemoryLimit(e.cfg.MemoryLimit())
	slog.Info("hot_restart_partner_gone", "older", r.isOld)
	if !r.isOld {
		e.core.SetOtherProcessDownstreams(0)
		e.becomeServing()
		return
	}
	r.isOld = false
	if r.phase == handedOver && e.core.Ready() {
		e.takeBack()
	}
}
