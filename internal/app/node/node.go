// Package node wires one proxy together: what the platform and the settings file say, the loop, the core with its decision module, the
// fronts and the clients, the process before and the one after, and the signals. It decides nothing.
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

// process is one process of a proxy, put together. Its methods run on the loop, or before it runs.
type process struct {
	cfg       *platform.Config
	loop      *netio.Loop
	dialer    *netio.Dialer
	link      *upstreamtls.Link // nil: upstream hosts speak plain TCP
	core      *proxy.Core
	discovery *cluster.Client
	listener  *netio.Listener
	front     *lineproto.Front
	peers     *peers.Link // nil: there are none
	restart   restart
	fleet     fleet
}

// Run runs the proxy until it has been told to stop and has nothing left to serve. format is that of the log, "" for what the settings file
// says.
func Run(cfg *platform.Config, file *settings.File, format string, signals <-chan os.Signal) error {
	Logs(file, format)
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
	h := &signalHandler{cfg: cfg, file: file, format: format, link: p.link, redirect: p.redirect, shutDown: p.shutDown}
	go h.run(signals, stopped)
	p.loop.Run()
	close(stopped)
	slog.Info("stopped")
	return nil
}

// start puts the process together. Accepting clients comes last: a client, or the front's PING, must find the proxy ready.
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
	p.openPeers(handoff.Datagram)
	if err := p.joinFleet(old == nil); err != nil {
		return err
	}
	if err := p.listen(handoff.Listener); err != nil {
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

// makeCore makes the core and its ways to upstream hosts. maxDownstreams is how many it holds at most.
func (p *process) makeCore(tls upstreamtls.Options) (maxDownstreams int, err error) {
	cfg := p.cfg
	p.dialer = netio.NewDialer(p.loop, cfg.MaxDials())
	opt := proxy.Options{Settings: cfg.Settings, MaxDownstreams: cfg.MaxDownstreams(), DelayInLoad: cfg.DelayInLoad, Wall: func() time.Time { return netio.Wall() }}
	open := lineproto.PlainTCP(p.dialer)
	if p.link, err = newUpstreamTLS(p.loop, tls, &opt); err != nil {
		return 0, err
	}
	if p.link != nil {
		open = openByTLS(p.link)
	}
	var reportsInAnswers []string
	if cfg.ReportsInAnswers {
		reportsInAnswers = cfg.ReportFields
	}
	p.core = proxy.New(p.loop, lineproto.NewConnector(p.loop, open, reportsInAnswers), opt)
	if n := cfg.MaxHealthChecks(); n > 0 {
		p.core.SetHealthChecker(lineproto.NewHealthChecks(p.loop, open, cfg.ReportFields, n))
	}
	return opt.MaxDownstreams, nil
}

// findPredecessor asks the process that serves, or reads what one before has stored. old is nil where none serves; handoff never is.
func (p *process) findPredecessor() (old *hotrestart.Partner, handoff *hotrestart.Handoff, err error) {
	if p.cfg.Admin != "" { // else nobody can ask whether a new process is ready, so none can take another's place
		p.restart.dir = os.Getenv("TMPDIR")
	}
	if p.restart.dir != "" {
		if old, handoff, err = predecessor(p.cfg, p.restart.dir, p.loop.Now()); err != nil {
			return nil, nil, err
		}
		p.restart.store = hotrestart.NewStore(p.loop, p.restart.dir)
		p.core.SetSuccessor(p)
	}
	if handoff == nil {
		return nil, &hotrestart.Handoff{Snapshot: &proxy.Snapshot{}, Listener: -1, Datagram: -1}, nil
	}
	p.core.Inherit(handoff.Snapshot)
	return old, handoff, nil
}

// runCore gives the core its decision module, discovery, and the endpoint list to start from.
func (p *process) runCore(handoff *hotrestart.Handoff) (list proxy.Change, err error) {
	cfg := p.cfg
	list = knownList(cfg, handoff.Snapshot)
	p.discovery = cluster.NewClient(p.loop, p.dialer, cluster.Options{Address: cfg.Discovery, Sharing: cfg.Settings.Instances, Revision: list.Version, Notify: p.listReceived})
	newBalancer := func(fx balancer.Effects) (proxy.Balancer, error) { return balancer.New(cfg.Settings, cfg.Seed, fx) }
	if err := p.core.Run(newBalancer, p.discovery, list); err != nil {
		return list, err
	}
	if !cfg.Settings.PollsDiscovery {
		// Lists are pushed to an agent that the platform runs beside the proxy; the decision module asks for none.
		p.discovery.Follow()
	}
	p.core.RestoreBalancer(handoff.Snapshot.Balancer)
	return list, nil
}

// openPeers opens the way to the other proxies, on a socket that was handed over where datagram is not under 0. Messages help, and a proxy
// without them serves all the same.
func (p *process) openPeers(datagram int) {
	s := p.cfg.Settings
	if !s.MayGossip || p.cfg.Peers.Listen == "" || s.Instances <= 1 {
		return
	}
	link, err := peers.Open(p.loop, p.cfg.Peers, s.Instance, datagram, p.peerMessageReceived)
	if err != nil {
		slog.Warn("peers_off", "reason", err)
		return
	}
	p.core.SetPeers(link)
	p.peers = link
}

// peerMessageReceived gives a datagram to membership, or else to the decision module.
func (p *process) peerMessageReceived(from int, data []byte) {
	if !p.fleet.members.ReceiveShared(from, data) {
		p.core.PeerMessageReceived(from, data)
	}
}

// listen makes the front for clients, on the listening socket that was handed over, or on one of its own: shared, where a new process may come
// to which this one cannot hand over.
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
	p.core.SetNewcomers(p.front)
	return nil
}

// listenAdmin makes the admin interface, where the platform names an address for it.
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

func addressInUse(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }

// shutDown ends the process in order. It may be called on any goroutine.
func (p *process) shutDown() {
	p.loop.Post(func() {
		p.announceLeave()
		p.core.Shutdown(p.loop.Stop)
	})
}
