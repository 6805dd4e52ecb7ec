// Package node assembles the parts of one proxy process. It makes no decisions on requests.
//
// A process has one event loop and one proxy core (package proxy), which relays the connections of
// clients to upstream hosts. In a hot restart a new process replaces an old one: it logs event=ready
// when its sockets are open, but accepts clients, and is ready according to /v1/readyz, only after it
// has taken over.
//
// signals.go handles SIGHUP and SIGTERM. fleet.go starts membership and the jobs that the proxies
// divide among themselves. Five files implement a hot restart: restart.go defines the phases of both
// processes and what they hand over, takeover.go changes from one phase to the next, predecessor.go
// contains what a new process requests of the old one, partner.go handles messages from the other
// process, and successor.go implements the methods that the core calls.
package node

import (
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/cluster"
	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/lineproto"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/dataplane/upstreamtls"
	"croftlock/internal/fleet/peers"
	"croftlock/internal/operations/platform"
	"croftlock/internal/operations/settings"
)

// process is one process of a proxy. Its methods must be called on the loop, or before the loop
// runs, unless their comment allows any goroutine.
type process struct {
	startedAt time.Time
	cfg       *platform.Config
	loop      *netio.Loop         // the event loop
	dialer    *netio.Dialer       // opens the TCP connections to upstream hosts and discovery
	tlsDialer *upstreamtls.Dialer // nil if connections to upstream hosts do not use TLS
	core      *proxy.Core
	discovery *cluster.Client
	listener  *netio.Listener
	front     *lineproto.Front // serves clients on listener
	peers     *peers.Link      // nil if no socket for peer datagrams is open
	restart   restart
	fleet     fleet
}

// Run runs the proxy until it has shut down after a signal. format is the log's format; if it is
// empty, the settings file specifies the format.
func Run(cfg *platform.Config, file *settings.File, format string, signals <-chan os.Signal) error {
	ConfigureLog(file, format)
	runtime.GOMAXPROCS(cfg.MaxThreads())
	debug.SetMemoryLimit(cfg.MemoryLimit())
	p := &process{startedAt: time.Now(), cfg: cfg, loop: netio.NewLoop(), fleet: newFleet(file)}
	if err := netio.Attach(p.loop); err != nil {
		return fmt.Errorf("netpoll: %v", err)
	}
	if err := p.start(file); err != nil {
		return err
	}
	stopped := make(chan struct{})
	handler := &signalHandler{cfg: cfg, file: file, format: format, tlsDialer: p.tlsDialer, redirect: p.redirect, shutDown: p.shutDown}
	go handler.run(signals, stopped)
	p.loop.Run()
	close(stopped)
	slog.Info("stopped")
	return nil
}

// start makes the process ready. Without an old process, start accepts clients as its last step,
// because a request or a PING line must find the proxy ready; otherwise see beginTakeover.
func (p *process) start(file *settings.File) error {
	maxDownstreams, err := p.makeCore(tlsOptions(file))
	if err != nil {
		return err
	}
	p.newEnforcement()
	old, handoff, err := p.findPredecessor()
	if err != nil {
		return err
	}
	list, err := p.runCore(handoff)
	if err != nil {
		return err
	}
	p.enforceRules(handoff)
	p.startWatermarks()
	p.fleet.restoreWatermarks(handoff.Snapshot.Watermarks)
	p.openPeers(handoff.DatagramFD)
	if old == nil { // an old process remains the fleet's member for this proxy until the takeover
		if err := p.joinFleetAtStart(); err != nil {
			return err
		}
	}
	if err := p.listen(handoff.ListenerFD); err != nil {
		return err
	}
	if err := p.listenAdmin(); err != nil {
		return err
	}
	if old != nil {
		p.beginTakeover(old, handoff.Snapshot)
	} else {
		p.receiveFromPeers()
		if err := p.serve(); err != nil {
			return fmt.Errorf("listen: accepting clients at %s: %v", p.cfg.Listen, err)
		}
	}
	slog.Info("ready", "name", p.cfg.Name, "listen", p.front.Addr(), "hosts", len(list.Hosts), "rev", list.Version, "max_downstreams", maxDownstreams)
	return nil
}

// joinFleetAtStart starts the fleet's agents in a process that no other one hands over to. If an
// unresponsive process of this proxy serves beside this one, agents that fail are started again until
// that process ends; otherwise it returns the error.
func (p *process) joinFleetAtStart() error {
	err := p.joinFleet()
	if err == nil || !p.restart.besideUnresponsive {
		return err
	}
	slog.Warn("membership_delayed", "reason", err)
	p.loop.After(rejoinInterval, p.rejoinFleet)
	return nil
}

// makeCore creates the core and its connector to upstream hosts. It returns the maximum number of
// downstreams, which are connections of clients, that the core accepts.
func (p *process) makeCore(tls upstreamtls.Options) (maxDownstreams int, err error) {
	cfg := p.cfg
	options := proxy.Options{Settings: cfg.Settings, MaxDownstreams: cfg.MaxDownstreams(), DelayInLoad: cfg.DelayInLoad, WallClock: func() time.Time { return netio.WallClock() }}
	p.dialer = netio.NewDialer(p.loop, cfg.MaxDials())
	opener := lineproto.PlainTCP(p.dialer)
	if tls.Enabled {
		if p.tlsDialer, err = newUpstreamTLS(p.loop, tls, options.WallClock); err != nil {
			return 0, err
		}
		opener = tlsOpener(p.tlsDialer)
		options.Expiry = tls.Expiry
		// Reserves descriptors for handshakes: each holds one, and a second one while its socket
		// is passed to the loop. Two descriptors are one downstream less.
		options.MaxDownstreams = max(1, options.MaxDownstreams-tls.Handshakes.MaxInFlight)
	}
	var reportsInAnswers []string // fields of load reports in hosts' answers; nil reads no reports there
	if cfg.ReportsInAnswers {
		reportsInAnswers = cfg.ReportFields
	}
	p.core = proxy.New(p.loop, lineproto.NewConnector(p.loop, opener, reportsInAnswers), options)
	if n := cfg.MaxHealthChecks(); n > 0 {
		p.core.SetHealthChecker(lineproto.NewHealthChecks(p.loop, opener, cfg.ReportFields, n))
	}
	return options.MaxDownstreams, nil
}

// findPredecessor requests a handover from the process that serves. If none hands over, it reads the
// state that an earlier process stored. It restores the operators' suspensions of hosts in the core,
// and creates the store of this process's state if hot restarts are possible. old is nil if no
// process hands over; handoff, the state and sockets handed over, is not nil if err is nil.
func (p *process) findPredecessor() (old *hotrestart.Partner, handoff *hotrestart.Handoff, err error) {
	// TMPDIR is the private directory of this proxy's processes; none means no hot restarts. Without
	// an admin interface the platform cannot ask whether a process is ready, and replaces none.
	if p.cfg.Admin != "" {
		p.restart.dir = os.Getenv("TMPDIR")
	}
	if p.restart.dir != "" {
		if old, handoff, err = p.requestOrReadHandoff(p.restart.dir, p.loop.Now()); err != nil {
			return nil, nil, err
		}
		p.restart.store = hotrestart.NewStore(p.loop, p.restart.dir)
		p.core.SetSuccessor(p)
	}
	if handoff == nil {
		return nil, handoffWithoutSockets(&proxy.Snapshot{}), nil
	}
	p.core.RestoreSuspensions(handoff.Snapshot)
	return old, handoff, nil
}

// runCore creates the discovery client and starts the core with it, a balancer as decision module,
// and the newest known endpoint list, which it returns. It restores the balancer's state in handoff.
func (p *process) runCore(handoff *hotrestart.Handoff) (list proxy.WatchEvent, err error) {
	cfg := p.cfg
	p.restart.startDiscovery = cfg.Discovery
	if moved := movedDiscovery(cfg.Discovery, handoff.Snapshot); moved != cfg.Discovery {
		slog.Info("discovery_moved", "from", cfg.Discovery, "to", moved)
		cfg.Discovery = moved
	}
	list = knownList(cfg, handoff.Snapshot, handoff.ListenerFD >= 0)
	p.discovery = cluster.NewClient(p.loop, p.dialer, cluster.Options{Address: cfg.Discovery, ProxyCount: cfg.Settings.Instances, Revision: list.Version, Notify: p.listReceived})
	newBalancer := func(fx balancer.Effects) (proxy.Balancer, error) { return balancer.New(cfg.Settings, cfg.Seed, fx) }
	if err := p.core.Run(newBalancer, p.discovery, list); err != nil {
		return list, err
	}
	if !cfg.Settings.PollsDiscovery {
		// The decision module does not poll discovery. An agent that the platform runs beside the
		// proxy is sent every new list, and the client receives the lists from it.
		p.discovery.FollowAgent()
	}
	p.core.RestoreResumptions(handoff.Snapshot.Resumed)
	p.core.RestoreBalancer(handoff.Snapshot.Balancer)
	return list, nil
}

// shutDown starts the graceful shutdown. It may be called from any goroutine.
func (p *process) shutDown() {
	p.loop.Post(func() {
		p.announceLeave()
		p.core.Shutdown(p.loop.Stop)
	})
}
