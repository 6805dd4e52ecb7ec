package node

import (
	"log/slog"
	"runtime/debug"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/proxy"
)

// partnerEvents handles the messages of the partner, which is the other process in a hot restart.
// Messages of a former partner may still arrive. Of these it applies suspensions and connections,
// but ignores those that would change the phase, the endpoint list or the count of downstreams.
type partnerEvents struct {
	*process
	partner *hotrestart.Partner
}

var _ hotrestart.Events = partnerEvents{}

// isCurrent reports whether the sender is the current partner.
func (e partnerEvents) isCurrent() bool { return e.restart.partner == e.partner }

// TakeOver makes this process, the old one, stop accepting clients, as the new one has asked. It
// returns the state for the new one, to which this process yields its slow-start budgets.
func (e partnerEvents) TakeOver() *proxy.Snapshot {
	if e.isCurrent() && e.restart.isOld {
		e.becomeHandedOver()
	}
	s := e.snapshotForPartner(true)
	e.restart.yieldedState = s.Balancer
	s.Quota = e.fleet.enforcement.YieldQuota()
	return s
}

// TakenOver makes this process, the new one, apply the old one's last state s and serve. s is nil
// if the old process sent no state. TakenOver does nothing if this process already serves.
func (e partnerEvents) TakenOver(s *proxy.Snapshot) {
	if !e.isCurrent() || e.restart.isOld {
		return
	}
	if s != nil {
		e.core.SetOtherProcessIDs(s.OpenIDs) // even if the answer is late and this process serves already
		e.core.AddUsedIDs(s.UsedIDs)
	}
	if e.restart.phase != awaitingList && e.restart.phase != takingOver {
		return
	}
	if s != nil {
		e.applySnapshot(s)
		e.restart.yieldedQuota = s.Quota
	}
	e.becomeServing()
}

// applySnapshot restores the old process's endpoint list, suspensions and decision module state
// after converting their times to this process's clock. It ignores and logs an invalid snapshot.
func (e partnerEvents) applySnapshot(s *proxy.Snapshot) {
	s.Rebase(e.loop.Now(), true)
	if err := s.Check(e.loop.Now()); err != nil {
		slog.Warn("hot_restart_unexpected", "reason", err)
		return
	}
	e.applyDiscovery(s)
	e.applyList(s)
	e.fleet.restoreWatermarks(s.Watermarks)
	e.core.EndMissingSuspensions(e.restart.firstSuspended, s)
	e.core.RestoreSuspensions(s)
	if e.fleet.enforcement != nil {
		e.core.RestoreRules(s.Rules, e.fleet.enforcement.At(e.restart.takeOverRequestedAt))
	}
	e.core.RestoreResumptions(s.Resumed)
	e.core.RestoreBalancer(s.Balancer)
}

// ListChanged applies the old process's endpoint list if it is newer than this process's. Both
// processes are one proxy, and this one may not receive changes from discovery yet. It ignores and
// logs an invalid snapshot.
func (e partnerEvents) ListChanged(s *proxy.Snapshot) {
	if !e.isCurrent() || e.restart.isOld {
		return
	}
	if err := s.Check(e.loop.Now()); err != nil {
		slog.Warn("hot_restart_unexpected", "reason", err)
		return
	}
	e.applyDiscovery(s)
	e.applyList(s)
}

// applyDiscovery follows a reload that moved the discovery service at the old process since its last message,
// also back to where it was at the start of either process: the reload is the latest word of the platform.
func (e partnerEvents) applyDiscovery(s *proxy.Snapshot) {
	before := e.restart.partnerDiscovery
	e.restart.partnerDiscovery = s.Discovery
	if current, _ := e.discovery.Source(); before != "" && s.Discovery != before && s.Discovery != current {
		slog.Info("discovery_moved", "from", current, "to", s.Discovery)
		e.discovery.Redirect(s.Discovery)
	}
}

// applyList applies the endpoint list of s if it has hosts, is from the same discovery service and
// has a higher revision than this process's list.
func (e partnerEvents) applyList(s *proxy.Snapshot) {
	if len(s.Hosts) == 0 {
		return
	}
	if from, revision := e.discovery.Source(); s.Discovery == from && s.Revision > revision {
		e.core.ListReceived(proxy.WatchEvent{Kind: balancer.ListCached, Version: s.Revision, Hosts: s.Hosts})
	}
}

// HostSuspended applies a suspension of the host id, or its end if suspended is false, that an
// operator requested at the other process. If this process serves, it also stores the change.
func (e partnerEvents) HostSuspended(id string, suspended bool) {
	e.core.SetOtherProcessSuspension(id, suspended)
	if e.restart.phase == serving {
		e.save(nil)
	}
}

// ConnectionReceived resumes a connection that the old process has handed over.
func (e partnerEvents) ConnectionReceived(s *proxy.HandedOverConnection) { e.front.Resume(s) }

// DownstreamCount counts the old process's n downstreams against this one's limit, because both
// processes share one limit of file descriptors. A downstream uses two descriptors, so every two of
// the old process's other descriptors count as one downstream. Those that count against an account's quota
// count here too, since this process is the one that reports to the fleet.
func (e partnerEvents) DownstreamCount(n int, accounts map[string]int) {
	if e.isCurrent() && !e.restart.isOld {
		e.core.SetOtherProcessDownstreams(n + e.cfg.HotRestartDescriptors()/2)
		e.core.SetOtherProcessConnections(accounts)
	}
}

// IDQuestion answers the other process's question about an ID.
func (e partnerEvents) IDQuestion(id string, answer func(proxy.IDStatus)) {
	if e.isCurrent() {
		e.core.AnswerID(id, answer)
	}
}

// IDAnswer passes on the other process's answer about an ID.
func (e partnerEvents) IDAnswer(id string, status proxy.IDStatus) {
	if e.isCurrent() {
		e.core.IDAnswered(id, status)
	}
}

// Gone handles the end of the other process. This one gets the whole memory limit again. A new
// process serves if it did not serve yet; an old one that has handed over serves again, or rejects clients if
// it is shutting down.
func (e partnerEvents) Gone() {
	if !e.isCurrent() {
		return
	}
	r := &e.restart
	r.partner = nil
	e.core.OtherProcessEnded()
	debug.SetMemoryLimit(e.cfg.MemoryLimit())
	slog.Info("hot_restart_partner_gone", "older", r.isOld)
	if !r.isOld {
		e.core.SetOtherProcessDownstreams(0)
		e.core.SetOtherProcessConnections(nil)
		e.becomeServing()
		return
	}
	r.isOld = false
	switch {
	case r.phase != handedOver:
	case e.core.Ready():
		e.takeBack()
	default:
		e.rejectClients()
	}
}
