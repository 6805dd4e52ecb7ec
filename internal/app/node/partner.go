package node

import (
	"log/slog"
	"runtime/debug"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/proxy"
)

// partnerEvents handles the messages of the other process. Those of a former partner that would change the phase or the list are ignored
// (isCurrent); suspensions and connections are taken whoever sends them.
type partnerEvents struct {
	*process
	partner *hotrestart.Partner
}

var _ hotrestart.Events = partnerEvents{}

// isCurrent tells whether the sender is the other process still.
func (e partnerEvents) isCurrent() bool { return e.restart.partner == e.partner }

// TakeOver accepts no more clients, and says what this process knows.
func (e partnerEvents) TakeOver() *proxy.Snapshot {
	if e.isCurrent() && e.restart.isOld {
		e.becomeHandedOver()
	}
	s := e.snapshot(true)
	e.restart.givenAway = s.Balancer
	return s
}

// TakenOver takes over what the old process knew last, and begins to serve.
func (e partnerEvents) TakenOver(s *proxy.Snapshot) {
	if !e.isCurrent() || e.restart.phase != awaitingList && e.restart.phase != takingOver {
		return
	}
	if s != nil {
		e.inherit(s)
	}
	e.becomeServing()
}

// inherit takes over a snapshot, where it can be used.
func (e partnerEvents) inherit(s *proxy.Snapshot) {
	s.Rebase(e.loop.Now(), true)
	if err := s.Check(e.loop.Now()); err != nil {
		slog.Warn("hot_restart_unexpected", "reason", err)
		return
	}
	e.takeList(s)
	e.core.Inherit(s)
	e.core.RestoreBalancer(s.Balancer)
}

// ListChanged takes the list of the old process, where it is newer than this one's: the two are one proxy, and this one may not be watching
// yet.
func (e partnerEvents) ListChanged(s *proxy.Snapshot) {
	if !e.isCurrent() || e.restart.isOld {
		return
	}
	if err := s.Check(e.loop.Now()); err != nil {
		slog.Warn("hot_restart_unexpected", "reason", err)
		return
	}
	e.takeList(s)
}

func (e partnerEvents) takeList(s *proxy.Snapshot) {
	if len(s.Hosts) == 0 {
		return
	}
	if from, revision := e.discovery.Source(); s.Discovery == from && s.Revision > revision {
		e.core.ListReceived(proxy.Change{Kind: balancer.ListCached, Version: s.Revision, Hosts: s.Hosts})
	}
}

// HostSuspended applies a suspension, or its end, that the other process was told.
func (e partnerEvents) HostSuspended(id string, suspended bool) {
	e.core.HostSuspendedElsewhere(id, suspended)
	if e.restart.phase == serving {
		e.save(nil)
	}
}

// ConnectionReceived goes on with an open connection of the old process's.
func (e partnerEvents) ConnectionReceived(s *proxy.HandedOverConnection) { e.front.Resume(s) }

// DownstreamCount counts the old process's downstreams with this one's, and its descriptors that are nobody's in particular.
func (e partnerEvents) DownstreamCount(n int) {
	if e.isCurrent() && !e.restart.isOld {
		e.core.SetDownstreamsElsewhere(n + e.cfg.HotRestartDescriptors()/2)
	}
}

// Gone goes on alone.
func (e partnerEvents) Gone() {
	if !e.isCurrent() {
		return
	}
	r := &e.restart
	r.partner = nil
	debug.SetMemoryLimit(e.cfg.MemoryLimit())
	slog.Info("hot_restart_partner_gone", "older", r.isOld)
	if !r.isOld {
		e.core.SetDownstreamsElsewhere(0)
		e.becomeServing()
		return
	}
	r.isOld = false
	if r.phase == handedOver && e.core.Ready() {
		e.takeBack()
	}
}
