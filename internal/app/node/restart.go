package node

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/fleet/quota"
	"croftlock/internal/operations/maintenance"
)

const (
	// readyTime is the maximum time from the start of a new process until it serves, so that it says
	// so within the 6 s that the platform allows. The waits below are cut short for it.
	readyTime = 5300 * time.Millisecond
	// ownListWait is the maximum time that a new process waits for its own endpoint list from
	// discovery. It then takes over with the old process's list.
	ownListWait = 2500 * time.Millisecond
	// takenOverWait is the maximum time that a new process waits for the old one's last snapshot
	// (its state) before it serves.
	takenOverWait = 700 * time.Millisecond
	// minTakenOverWait is the minimum of that time for a process that is late: a third one that has
	// waited for the end of a hot restart.
	minTakenOverWait = 300 * time.Millisecond
	// joinWait is the maximum time that a process waits for a lease to act by the fleet's rules, and for
	// the fleet's suspensions, before it accepts clients in a hot restart. Meanwhile clients wait in the
	// accept queue. It waits only if the other process has handed over no lease that is still valid, or
	// is of an earlier build, which hands over neither.
	joinWait = 1500 * time.Millisecond
	// joinCheckInterval is the time between two checks for that lease.
	joinCheckInterval = 10 * time.Millisecond
	// downstreamReportInterval is the interval at which an old process reports its number of
	// downstreams, the connections of its clients.
	downstreamReportInterval = 250 * time.Millisecond
)

// Reasons for rejecting a handover. Their texts are sent to the new process.
var (
	errHasPartner   = errors.New("two processes are at it")
	errShuttingDown = errors.New("this one is leaving")
)

// restartPhase specifies which process of the proxy accepts clients, as far as this process knows.
//
// A new process starts in awaitingList and changes to takingOver, joiningFleet and then serving. The
// old one changes from serving to handedOver, and by joiningFleet back to serving if the new one ends
// first. The platform sends SIGTERM to the old process once the new one is ready; the old one hands over
// its connections as it shuts down.
type restartPhase int

const (
	serving      restartPhase = iota // this process accepts clients
	awaitingList                     // the old process accepts clients; this one waits for its own list from discovery
	takingOver                       // the old process accepts clients until it answers this one's request to stop
	joiningFleet                     // no process accepts clients; this one waits for a lease to act by the fleet's rules
	handedOver                       // the new process accepts clients
)

// String returns the phase's name.
func (p restartPhase) String() string {
	switch p {
	case serving:
		return "serving"
	case awaitingList:
		return "awaiting_list"
	case takingOver:
		return "taking_over"
	case joiningFleet:
		return "joining_fleet"
	case handedOver:
		return "handed_over"
	}
	return fmt.Sprintf("restartPhase(%d)", int(p))
}

// restart holds the progress of a hot restart and the store, whose file the next process reads.
type restart struct {
	dir             string               // the private directory; empty if hot restarts are disabled
	store           *hotrestart.Store    // nil if hot restarts are disabled
	endpoint        *hotrestart.Endpoint // accepts handover requests; nil before this process serves
	listSavePending bool                 // whether a timer will store a changed endpoint list

	phase               restartPhase
	startDiscovery      string                   // address of the discovery service in the configuration at the start
	partner             *hotrestart.Partner      // the other process; nil if there is none
	isOld               bool                     // whether this process is the old one of the two; false if there is no partner
	besideUnresponsive  bool                     // whether another process serves that did not answer the request for a handover
	partnerDiscovery    string                   // address of the old process's discovery service, as far as this one, the new one, knows
	firstSuspended      []maintenance.Suspension // suspensions at this proxy when the old process handed over its sockets
	hasFleetState       bool                     // whether this process has the fleet's suspensions as far as its proxy knows them
	takeOverRequestedAt time.Time                // when this process, the new one, asked the old one to stop accepting clients
	yieldedQuota        *quota.Grants            // the grants that the old process gave up to this one; nil if it did not answer
	yieldedState        balancer.Snapshot        // the decision module's state that the new process received when it took over
}

// receiveFromPeers starts to receive the other proxies' datagrams, if there is a socket for them.
func (p *process) receiveFromPeers() {
	if p.peers != nil {
		p.peers.StartReceiving()
	}
}

// serve starts accepting clients. If hot restarts are enabled, it offers a handover to the next process.
// It returns an error if clients cannot be accepted.
func (p *process) serve() error {
	if err := p.front.Serve(); err != nil {
		return err
	}
	p.core.SetHandedOver(false)
	if p.restart.dir != "" {
		p.offerHandover()
	}
	return nil
}

// mustServe calls serve during a hot restart. It ends the process on an error, because a process
// that cannot accept clients is of no use.
func (p *process) mustServe() {
	if err := p.serve(); err != nil {
		slog.Error("listener_lost", "addr", p.cfg.Listen, "reason", err)
		os.Exit(1)
	}
}

// offerHandover starts accepting handover requests of the next process. It replaces an earlier
// offer. A failure is only logged, because this process can serve without the offer.
func (p *process) offerHandover() {
	if p.restart.endpoint != nil {
		p.restart.endpoint.Close()
	}
	var err error
	p.restart.endpoint, err = hotrestart.OfferHandover(p.loop, p.restart.dir, p.handoffFor, p.newProcessConnected)
	if err != nil {
		slog.Warn("hot_restart_off", "reason", err)
	}
}

// handoffFor returns the handoff, which holds the state and the sockets, for a new process that will
// serve clients at the address listen. If it returns an error, the request is rejected with the
// error's text as reason.
func (p *process) handoffFor(listen string) (*hotrestart.Handoff, error) {
	switch {
	case p.restart.partner != nil:
		return nil, errHasPartner
	case listen != p.cfg.Listen:
		return nil, fmt.Errorf("this one serves %s, not %s", p.cfg.Listen, listen)
	case !p.core.Ready():
		return nil, errShuttingDown
	}
	// The new process starts with what is left of this one's lease when it takes over.
	p.fleet.owners.RenewRulesLease()
	h := &hotrestart.Handoff{Snapshot: p.snapshotForPartner(false), ListenerFD: p.listener.Fd(), DatagramFD: -1}
	if p.peers != nil {
		h.DatagramFD = p.peers.Fd()
	}
	slog.Info("hot_restart_requested", "downstreams", p.core.Downstreams())
	return h, nil
}

// newProcessConnected makes this process the old one of a hot restart, with partner as the new one.
func (p *process) newProcessConnected(partner *hotrestart.Partner) {
	p.restart.isOld = true
	p.restart.hasFleetState = true
	p.runPartner(partner)
}

// runPartner starts receiving messages of partner, the other process. It halves this process's
// memory limit, because both processes share the proxy's memory. partnerEvents.Gone restores the
// limit.
func (p *process) runPartner(partner *hotrestart.Partner) {
	p.restart.partner = partner
	debug.SetMemoryLimit(p.cfg.MemoryLimit() / 2)
	partner.Run(p.loop, partnerEvents{p, partner})
}

// snapshot returns the state for the next process. If yieldSlowStart is true, this process gives up
// its slow-start budgets, the requests that it may still assign to hosts that have just started, so
// that the two processes do not both use them.
func (p *process) snapshot(yieldSlowStart bool) *proxy.Snapshot {
	s := p.core.Snapshot(yieldSlowStart)
	s.Discovery, s.Revision = p.discovery.Source()
	s.Watermarks = p.fleet.receivedWatermarks()
	if s.Discovery != p.restart.startDiscovery {
		s.StartDiscovery = p.restart.startDiscovery
	}
	return s
}

// snapshotForPartner returns the state for the other process of a hot restart: snapshot, with what is of
// use only while this process runs.
func (p *process) snapshotForPartner(yieldSlowStart bool) *proxy.Snapshot {
	s := p.snapshot(yieldSlowStart)
	s.OpenIDs, s.UsedIDs = p.core.OpenIDs(), p.core.UsedIDs()
	return s
}
