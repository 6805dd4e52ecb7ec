// Package node assembles the parts of one proxy process. It makes no decisions on requests.
//
// Run attaches the loop and calls process.start, which creates the core (makeCore), receives or
// reads the state of the previous process (findPredecessor), starts the core with an endpoint list
// (runCore), opens the sockets for other proxies, clients and operators, and serves. It then logs
// event=ready. A process that takes over from another one accepts clients, and is ready according
// to /v1/readyz, only later (beginTakeover).
//
// signals.go handles SIGHUP and SIGTERM, and fleet.go starts membership and the fleet's jobs. A hot
// restart is in four files: restart.go has the phases of both processes, predecessor.go the
// requests of a new process, partner.go the messages of the other process, and successor.go the
// calls of the core.
package node

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/cluster"
	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/lineproto"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/dataplane/upstreamtls"
	"croftlock/internal/fleet/peers"
	"croftlock/internal/operations/admin"
	"croftlock/internal/operations/platform"
	"croftlock/internal/operations/settings"
)

// process is one process of a proxy. Its methods must be called on the loop, or before the loop
// runs, unless their comment allows any goroutine.
type process struct {
	cfg       *platform.Config
	loop      *netio.Loop
	dialer    *netio.Dialer
	tlsDialer *upstreamtls.Dialer // nil if connections to upstream hosts do not use TLS
	core      *proxy.Core
	discovery *cluster.Client
	listener  *netio.Listener
	front     *lineproto.Front
	peers     *peers.Link // nil if no socket for peer datagrams is open
	restart   restart
	fleet     fleet
}

// Run runs the proxy until it has shut down after a signal. format is the log's format; if it is
// empty, the settings file specifies the format.
func Run(cfg *platform.Config, file *settings.File, format string, signals <-chan os.Signal) error {
	ConfigureLog(file, format)
	runtime.GOMAXPROCS(cfg.MaxThreads())
	debug.SetMemoryLimit(cfg.MemoryLimit())
	p := &process{cfg: cfg, loop: netio.NewLoop(), fleet: newFleet(file)}
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

// start makes the process ready. Accepting clients is its last step, because a client, or a PING to
// the front, must find the proxy ready.
func (p *process) start(file *settings.File) error {
	maxDownstreams, err := p.makeCore(tlsOptions(file))
	if err != nil {
		return err
	}
	old, handoff, err := p.findPredecessor()
	if err != nil {
		return err
	}
	list, err := p.runCore(handoff)
	if err != nil {
		return err
	}
	p.openPeers(handoff.DatagramFD)
	if old == nil { // an old process remains the member until this one has taken over
		if err := p.joinFleet(); err != nil {
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
		p.beginTakeover(old)
	} else if err := p.serve(); err != nil {
		return fmt.Errorf("listen: %v", err)
	}
	slog.Info("ready", "name", p.cfg.Name, "listen", p.front.Addr(), "hosts", len(list.Hosts), "rev", list.Version, "max_downstreams", maxDownstreams)
	return nil
}

// makeCore creates the core and its connector to upstream hosts. maxDownstreams is the greatest
// number of downstreams that the core accepts.
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
		// A handshake in progress holds a descriptor, and a second one while its socket is passed
		// on.
		options.MaxDownstreams = max(1, options.MaxDownstreams-tls.Handshakes.MaxInFlight)
	}
	var reportsInAnswers []string
	if cfg.ReportsInAnswers {
		reportsInAnswers = cfg.ReportFields
	}
	p.core = proxy.New(p.loop, lineproto.NewConnector(p.loop, opener, reportsInAnswers), options)
	if n := cfg.MaxHealthChecks(); n > 0 {
		p.core.SetHealthChecker(lineproto.NewHealthChecks(p.loop, opener, cfg.ReportFields, n))
	}
	return options.MaxDownstreams, nil
}

// findPredecessor requests a handover from the process that serves. If none hands over, it reads
// the state that an earlier process stored. It restores the suspensions of that state in the core.
// old is nil if no process hands over; handoff is not nil if err is nil.
func (p *process) findPredecessor() (old *hotrestart.Partner, handoff *hotrestart.Handoff, err error) {
	// Without an admin interface the platform cannot ask whether a new process is ready, and never
	// replaces a process.
	if p.cfg.Admin != "" {
		p.restart.dir = os.Getenv("TMPDIR")
	}
	if p.restart.dir != "" {
		if old, handoff, err = requestOrReadHandoff(p.cfg, p.restart.dir, p.loop.Now()); err != nil {
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

// runCore starts the core with its decision module, the discovery client and an endpoint list,
// which it returns.
func (p *process) runCore(handoff *hotrestart.Handoff) (list proxy.WatchEvent, err error) {
	cfg := p.cfg
	list = knownList(cfg, handoff.Snapshot)
	p.discovery = cluster.NewClient(p.loop, p.dialer, cluster.Options{Address: cfg.Discovery, ProxyCount: cfg.Settings.Instances, Revision: list.Version, Notify: p.listReceived})
	newBalancer := func(fx balancer.Effects) (proxy.Balancer, error) { return balancer.New(cfg.Settings, cfg.Seed, fx) }
	if err := p.core.Run(newBalancer, p.discovery, list); err != nil {
		return list, err
	}
	if !cfg.Settings.PollsDiscovery {
		// Lists are pushed to an agent that the platform runs beside the proxy, and the decision
		// module does not poll.
		p.discovery.FollowAgent()
	}
	p.core.RestoreBalancer(handoff.Snapshot.Balancer)
	return list, nil
}

// openPeers uses the socket fd for datagrams to the other proxies, which the old process handed
// over, or opens a new one if fd is negative. A failure is only logged, because the proxy can serve
// without that socket.
func (p *process) openPeers(fd int) {
	s := p.cfg.Settings
	if !s.MayGossip || p.cfg.Peers.Listen == "" || s.Instances <= 1 {
		return
	}
	link, err := peers.Open(p.loop, p.cfg.Peers, s.Instance, fd, p.peerMessageReceived)
	if err != nil {
		slog.Warn("peers_off", "reason", err)
		return
	}
	p.core.SetPeers(link)
	p.peers = link
}

// peerMessageReceived passes a datagram to membership, or to the decision module if membership does
// not accept it.
func (p *process) peerMessageReceived(from int, data []byte) {
	if !p.fleet.members.ReceiveShared(from, data) {
		p.core.PeerMessageReceived(from, data)
	}
}

// listen creates the front for clients on the listening socket fd, which the old process handed
// over, or on a new socket if fd is negative. If hot restarts are possible, the new socket shares
// its address, so that a process to which this one cannot hand over can listen as well.
func (p *process) listen(fd int) (err error) {
	if fd >= 0 {
		p.listener, err = netio.Inherit(fd)
	} else {
		p.listener, err = retryStart(func() (*netio.Listener, error) { return netio.Bind(p.cfg.Listen, p.restart.dir != "") }, addressInUse)
	}
	if err != nil {
		return fmt.Errorf("listen: %v", err)
	}
	p.front = lineproto.NewFront(p.loop, p.core, p.listener, p.cfg.MaxIdleClients())
	p.core.SetIdleDownstreams(p.front)
	return nil
}

// listenAdmin starts the admin interface if the platform configures an address for it.
func (p *process) listenAdmin() error {
	if p.cfg.Admin == "" {
		return nil
	}
	listen := func() (*admin.Server, error) {
		return admin.Listen(p.loop, p.core, p.cfg.Admin, p.cfg.MaxAdminCallers())
	}
	if _, err := retryStart(listen, addressInUse); err != nil {
		return fmt.Errorf("admin_addr: %v", err)
	}
	return nil
}

// addressInUse reports whether err is EADDRINUSE.
func addressInUse(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }

// shutDown starts the graceful shutdown. It may be called from any goroutine.
func (p *process) shutDown() {
	p.loop.Post(func() {
		p.announceLeave()
		p.core.Shutdown(p.loop.Stop)
	})
}
