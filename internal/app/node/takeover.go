package node

import (
	"log/slog"
	"time"

	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/proxy"
)

// beginTakeover prepares this process, the new one, to take over from old as soon as it has its own
// endpoint list from discovery, or after ownListWait. first is the state that came with the old one's sockets.
func (p *process) beginTakeover(old *hotrestart.Partner, first *proxy.Snapshot) {
	p.restart.phase = awaitingList
	p.core.SetHandedOver(true)
	p.restart.hasFleetState = old.AnswersIDQuestions() // an earlier build does not hand over the fleet's suspensions
	p.restart.firstSuspended, p.restart.partnerDiscovery = first.Suspended, first.Discovery
	p.core.SetOtherProcessIDs(first.OpenIDs) // as of the handover request; the answer to takeOver has the final ones
	p.core.AddUsedIDs(first.UsedIDs)
	p.runPartner(old)
	p.discovery.FetchList()
	// Watches the list now, because the decision module would poll only later and meanwhile assign
	// requests to hosts that have begun to drain.
	p.discovery.WatchList(true)
	p.loop.After(p.waitForReady(ownListWait, takenOverWait+joinWait), p.becomeTakingOver)
}

// waitForReady returns wait, or less if the process would otherwise not serve within readyTime of its
// start. reserved is the longest time that the steps after the wait may take.
func (p *process) waitForReady(wait, reserved time.Duration) time.Duration {
	return max(0, min(wait, readyTime-reserved-time.Since(p.startedAt)))
}

// becomeTakingOver asks the old process to stop accepting clients. The old process accepts them
// until it answers. becomeTakingOver does nothing unless the phase is awaitingList.
func (p *process) becomeTakingOver() {
	if p.restart.phase != awaitingList {
		return
	}
	p.restart.phase = takingOver
	p.restart.takeOverRequestedAt = time.Now()
	p.restart.partner.SendTakeOver()
	p.loop.After(max(minTakenOverWait, p.waitForReady(takenOverWait, joinWait)), p.becomeServing)
}

// becomeServing makes a new process join the fleet, accept clients and store its state. It is called
// when the old process answers the request to stop or ends, or after takenOverWait. It does nothing
// if this process already serves or is about to.
func (p *process) becomeServing() {
	if p.restart.phase != awaitingList && p.restart.phase != takingOver {
		return
	}
	p.fleet.enforcement.RestoreQuota(p.restart.yieldedQuota, p.restart.takeOverRequestedAt)
	p.joinAndServe(p.waitForReady(joinWait, 0), func() { slog.Info("hot_restart_taken_over", "partner", p.restart.partner != nil) })
}

// joinAndServe makes this process the fleet's member for this proxy in a hot restart, then accepts
// clients, calls served and stores the state. It accepts clients at once if it may act by the fleet's
// rules and knows the fleet's suspensions, and otherwise when it does or after wait.
func (p *process) joinAndServe(wait time.Duration, served func()) {
	p.restart.phase = joiningFleet
	p.receiveFromPeers() // the other process has stopped, and membership may use this socket
	p.rejoinFleet()
	p.serveOnceJoined(p.loop.Now()+int64(wait), served)
}

// serveOnceJoined completes joinAndServe. deadline is on the loop's clock. It does nothing if the
// phase is not joiningFleet any more, or if this process is shutting down.
func (p *process) serveOnceJoined(deadline int64, served func()) {
	if p.restart.phase != joiningFleet || !p.core.Ready() {
		return
	}
	if !p.readyToServe() {
		if p.loop.Now() < deadline {
			p.loop.After(joinCheckInterval, func() { p.serveOnceJoined(deadline, served) })
			return
		}
		slog.Warn("serving_before_joined", "lease", p.fleet.canEnforce(), "suspensions", p.knowsSuspensions())
	}
	p.restart.phase = serving
	p.mustServe()
	served()
	p.save(nil)
}

// becomeHandedOver makes an old process stop accepting clients and datagrams of other proxies, and
// leave the fleet. From then on it reports its number of downstreams to the new process.
func (p *process) becomeHandedOver() {
	p.restart.phase = handedOver
	p.fleet.owners.Leave(func() { p.fleet.members.Stop() })
	p.front.Stop()
	if p.peers != nil {
		p.peers.StopReceiving()
	}
	p.core.SetHandedOver(true)
	if p.restart.partner.AnswersIDQuestions() {
		p.core.ConfirmAllIDs()
	}
	slog.Info("hot_restart_handed_over", "downstreams", p.core.Downstreams())
	p.reportDownstreams()
}

// takeBack makes an old process serve again after the new one has ended. This process then accepts
// the clients that wait in the accept queue of the shared listening socket.
func (p *process) takeBack() {
	p.core.RestoreBalancer(p.restart.yieldedState) // recovers the slow-start budgets yielded to the new process
	p.joinAndServe(joinWait, func() { slog.Warn("hot_restart_taken_back", "downstreams", p.core.Downstreams()) })
}

// rejectClients makes an old process that is shutting down accept clients again, since the new one has ended
// and nobody else accepts what waits in the queue of the shared listening socket. The core rejects their
// requests.
func (p *process) rejectClients() {
	if err := p.front.Serve(); err != nil {
		slog.Error("listener_failed", "addr", p.cfg.Listen, "reason", err)
		return
	}
	p.core.SuccessorLost()
	slog.Warn("successor_lost", "downstreams", p.core.Downstreams())
}

// reportDownstreams sends the number of remaining downstreams to the new process now and every
// downstreamReportInterval while that process runs, since both share one limit of file descriptors.
func (p *process) reportDownstreams() {
	if p.restart.partner != nil && p.restart.isOld {
		p.restart.partner.SendDownstreamCount(p.core.Downstreams(), p.core.AccountConnections())
		p.loop.After(downstreamReportInterval, p.reportDownstreams)
	}
}
