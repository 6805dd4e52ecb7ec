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
	// ownListWait is how long a new process waits for its own list from discovery before it takes over with the one that it was given.
	ownListWait = 2500 * time.Millisecond
	// takenOverWait is how long it then waits for the old one's last snapshot.
	takenOverWait = 700 * time.Millisecond
	// downstreamReportInterval is how often an old process tells how many downstreams it holds.
	downstreamReportInterval = 250 * time.Millisecond
)

var (
	errHasPartner   = errors.New("two processes are at it")
	errShuttingDown = errors.New("this one is leaving")
)

// restartPhase is which process of the proxy accepts clients, as this one knows it.
type restartPhase int

const (
	serving      restartPhase = iota // this one
	awaitingList                     // the old one, until this one has its own list from discovery
	takingOver                       // this one as soon as the old one has answered
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

// restart is what a process knows of the one before or after it, and what it stores for the next.
type restart struct {
	dir       string // the private folder; "": no process can take another's place
	store     *hotrestart.Store
	endpoint  *hotrestart.Endpoint
	listDirty bool // the list has changed since it was stored

	phase     restartPhase
	partner   *hotrestart.Partner // nil: this is the only process
	isOld     bool                // the partner is to take this one's place
	givenAway balancer.Snapshot   // what the partner was given as it took over
}

// serve accepts clients, hears the other proxies, and lets the next process ask.
func (p *process) serve() error {
	if err := p.front.Serve(); err != nil {
		return err
	}
	if p.peers != nil {
		p.peers.StartReceiving()
	}
	p.core.SetHandedOver(false)
	if p.restart.dir != "" {
		p.offer()
	}
	return nil
}

// mustServe is serve for a process that has nothing else to do.
func (p *process) mustServe() {
	if err := p.serve(); err != nil {
		slog.Error("listener_lost", "addr", p.cfg.Listen, "reason", err)
		os.Exit(1)
	}
}

// offer lets the next process ask.
func (p *process) offer() {
	if p.restart.endpoint != nil {
		p.restart.endpoint.Close()
	}
	var err error
	p.restart.endpoint, err = hotrestart.Offer(p.loop, p.restart.dir, p.handoffFor, p.newProcessCame)
	if err != nil {
		slog.Warn("hot_restart_off", "reason", err)
	}
}

// handoffFor is what a new process is given that serves at an address, or why it gets nothing.
func (p *process) handoffFor(listen string) (*hotrestart.Handoff, error) {
	switch {
	case p.restart.partner != nil:
		return nil, errHasPartner
	case listen != p.cfg.Listen:
		return nil, fmt.Errorf("this one serves %s, not %s", p.cfg.Listen, listen)
	case !p.core.Ready():
		return nil, errShuttingDown
	}
	h := &hotrestart.Handoff{Snapshot: p.snapshot(false), Listener: p.listener.Fd(), Datagram: -1}
	if p.peers != nil {
		h.Datagram = p.peers.Fd()
	}
	slog.Info("hot_restart_requested", "downstreams", p.core.Downstreams())
	return h, nil
}

// newProcessCame makes this process the old one of two.
func (p *process) newProcessCame(partner *hotrestart.Partner) {
	p.restart.isOld = true
	p.runPartner(partner)
}

// runPartner begins to hear the other process, with which this one shares the memory.
func (p *process) runPartner(partner *hotrestart.Partner) {
	p.restart.partner = partner
	debug.SetMemoryLimit(p.cfg.MemoryLimit() / 2)
	partner.Run(p.loop, partnerEvents{p, partner})
}

// beginTakeover has a new process take over, once it has a list from discovery itself or has waited long enough.
func (p *process) beginTakeover(old *hotrestart.Partner) {
	p.restart.phase = awaitingList
	p.core.SetHandedOver(true)
	p.runPartner(old)
	p.discovery.FetchList()
	p.discovery.WatchList(true) // the decision module would wait for its turn, and miss a drain that the other process is told of
	p.loop.After(ownListWait, p.becomeTakingOver)
}

// becomeTakingOver asks the old process, once, to accept no more clients; until it has answered it does accept them.
func (p *process) becomeTakingOver() {
	if p.restart.phase != awaitingList {
		return
	}
	p.restart.phase = takingOver
	p.restart.partner.TakeOver()
	p.loop.After(takenOverWait, p.becomeServing)
}

// becomeServing has a new process accept clients.
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

// becomeHandedOver has an old process accept no more clients.
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

// takeBack has an old process serve again: the new one has ended after it took over, and whoever waits in the queue is this one's again.
func (p *process) takeBack() {
	p.restart.phase = serving
	p.core.RestoreBalancer(p.restart.givenAway) // the slow-start budgets that were given up, among others
	p.mustServe()
	p.rejoinFleet()
	slog.Warn("hot_restart_taken_back", "downstreams", p.core.Downstreams())
}

// reportDownstreams tells the new process, again and again, how many descriptors are still held here.
func (p *process) reportDownstreams() {
	if p.restart.partner != nil && p.restart.isOld {
		p.restart.partner.SendDownstreamCount(p.core.Downstreams())
		p.loop.After(downstreamReportInterval, p.reportDownstreams)
	}
}

// snapshot is what the next process is to know. With yield, this one gives up its slow-start budgets.
func (p *process) snapshot(yield bool) *proxy.Snapshot {
	s := p.core.Snapshot(yield)
	s.Discovery, s.Revision = p.discovery.Source()
	return s
}
