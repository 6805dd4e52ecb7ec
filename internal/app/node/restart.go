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
)

const (
	// ownListWait is how long a new process waits for its own list from discovery before it takes over with the old one's.
	ownListWait = 2500 * time.Millisecond
	// takenOverWait is how long it then waits for the old one's last snapshot.
	takenOverWait = 700 * time.Millisecond
	// downstreamReportInterval is how often an old process reports how many downstreams it holds.
	downstreamReportInterval = 250 * time.Millisecond
)

// Why a handover is rejected. The texts are sent to the new process.
var (
	errHasPartner   = errors.New("two processes are at it")
	errShuttingDown = errors.New("this one is leaving")
)

// restartPhase says which process of the proxy accepts clients, as this one knows it.
//
// A new process goes from awaitingList by takingOver to serving; the old one from serving to handedOver, and back to serving if the new one
// ends first. The old one gets SIGTERM from the platform once the new one is ready, and hands its connections over as it shuts down.
type restartPhase int

const (
	serving      restartPhase = iota // this one
	awaitingList                     // the old one; this one waits for its own list from discovery
	takingOver                       // the old one; this one has asked it to stop, and waits for its answer
	handedOver                       // the new one
)

// String is the phase's name.
func (p restartPhase) String() string {
	switch p {
	case serving:
		return "serving"
	case awaitingList:
		return "awaiting_list"
	case takingOver:
		return "taking_over"
	case handedOver:
		return "handed_over"
	}
	return fmt.Sprintf("restartPhase(%d)", int(p))
}

// restart is the state of a hot restart, and the store for the next process.
type restart struct {
	dir             string // the private folder; "": hot restarts are off
	store           *hotrestart.Store
	endpoint        *hotrestart.Endpoint
	listSavePending bool // the list has changed, and will be stored

	phase        restartPhase
	partner      *hotrestart.Partner // the other process; nil: there is none
	isOld        bool                // this process is the old one of the two
	yieldedState balancer.Snapshot   // the decision module's state that the partner got as it took over
}

// serve accepts clients, receives the other proxies' datagrams, and offers a handover to the next process.
func (p *process) serve() error {
	if err := p.front.Serve(); err != nil {
		return err
	}
	if p.peers != nil {
		p.peers.StartReceiving()
	}
	p.core.SetHandedOver(false)
	if p.restart.dir != "" {
		p.offerHandover()
	}
	return nil
}

// mustServe is serve in a hot restart. It exits on an error: the process would be of no use.
func (p *process) mustServe() {
	if err := p.serve(); err != nil {
		slog.Error("listener_lost", "addr", p.cfg.Listen, "reason", err)
		os.Exit(1)
	}
}

// offerHandover accepts handover requests of the next process.
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

// handoffFor is the handoff for a new process that is to serve at an address, or the reason for a rejection.
func (p *process) handoffFor(listen string) (*hotrestart.Handoff, error) {
	switch {
	case p.restart.partner != nil:
		return nil, errHasPartner
	case listen != p.cfg.Listen:
		return nil, fmt.Errorf("this one serves %s, not %s", p.cfg.Listen, listen)
	case !p.core.Ready():
		return nil, errShuttingDown
	}
	h := &hotrestart.Handoff{Snapshot: p.snapshot(false), ListenerFD: p.listener.Fd(), DatagramFD: -1}
	if p.peers != nil {
		h.DatagramFD = p.peers.Fd()
	}
	slog.Info("hot_restart_requested", "downstreams", p.core.Downstreams())
	return h, nil
}

// newProcessConnected makes this process the old one of a hot restart.
func (p *process) newProcessConnected(partner *hotrestart.Partner) {
	p.restart.isOld = true
	p.runPartner(partner)
}

// runPartner receives the other process's messages, and leaves it half of the memory.
func (p *process) runPartner(partner *hotrestart.Partner) {
	p.restart.partner = partner
	debug.SetMemoryLimit(p.cfg.MemoryLimit() / 2)
	partner.Run(p.loop, partnerEvents{p, partner})
}

// beginTakeover has a new process take over once it has its own list from discovery, or after ownListWait.
func (p *process) beginTakeover(old *hotrestart.Partner) {
	p.restart.phase = awaitingList
	p.core.SetHandedOver(true)
	p.runPartner(old)
	p.discovery.FetchList()
	p.discovery.WatchList(true) // at once: the decision module would poll later, and use hosts that drain meanwhile
	p.loop.After(ownListWait, p.becomeTakingOver)
}

// becomeTakingOver asks the old process to stop accepting clients. The old one accepts them until it answers.
func (p *process) becomeTakingOver() {
	if p.restart.phase != awaitingList {
		return
	}
	p.restart.phase = takingOver
	p.restart.partner.SendTakeOver()
	p.loop.After(takenOverWait, p.becomeServing)
}

// becomeServing has a new process accept clients: on the old one's answer, after takenOverWait, or when the old one has ended.
func (p *process) becomeServing() {
	if p.restart.phase != awaitingList && p.restart.phase != takingOver {
		return
	}
	p.restart.phase = serving
	p.mustServe()
	p.rejoinFleet()
	slog.Info("hot_restart_taken_over", "partner", p.restart.partner != nil)
	p.save(nil)
}

// becomeHandedOver has an old process stop accepting clients.
func (p *process) becomeHandedOver() {
	p.restart.phase = handedOver
	p.fleet.owners.Leave(func() { p.fleet.members.Stop() })
	p.front.Stop()
	if p.peers != nil {
		p.peers.StopReceiving()
	}
	p.core.SetHandedOver(true)
	slog.Info("hot_restart_handed_over", "downstreams", p.core.Downstreams())
	p.reportDownstreams()
}

// takeBack has an old process serve again after the new one has ended: clients in the accept queue are this one's again.
func (p *process) takeBack() {
	p.restart.phase = serving
	p.core.RestoreBalancer(p.restart.yieldedState) // else the slow-start budgets that the new process got would be lost
	p.mustServe()
	p.rejoinFleet()
	slog.Warn("hot_restart_taken_back", "downstreams", p.core.Downstreams())
}

// reportDownstreams reports to the new process, periodically, how many downstreams are left here: the two share the descriptors.
func (p *process) reportDownstreams() {
	if p.restart.partner != nil && p.restart.isOld {
		p.restart.partner.SendDownstreamCount(p.core.Downstreams())
		p.loop.After(downstreamReportInterval, p.reportDownstreams)
	}
}

// snapshot is the state for the next process. With yield, this one gives up its slow-start budgets.
func (p *process) snapshot(yieldSlowStart bool) *proxy.Snapshot {
	s := p.core.Snapshot(yieldSlowStart)
	s.Discovery, s.Revision = p.discovery.Source()
	return s
}
