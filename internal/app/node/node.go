// Package node wires one proxy together: what the platform and the operators' file tell it, the loop, the core with its
// module, the fronts and the clients, and the signals. It decides nothing.
package node

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/cluster"
	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/lineproto"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/dataplane/upstreamtls"
	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/peers"
	"croftlock/internal/fleet/watermark"
	"croftlock/internal/operations/admin"
	"croftlock/internal/operations/logging"
	"croftlock/internal/operations/platform"
	"croftlock/internal/operations/settings"
)

// Schema is every section that the operators' file may have.
func Schema() settings.Schema {
	return settings.Schema{logging.Section(), upstreamtls.Section(), memberagent.Section(), owneragent.Section(), watermark.Section()}
}

// Check reads what the operators' file refers to and tells what of it can't be used.
func Check(file *settings.File) []error {
	var faults []error
	if o := file.Value("tls").(upstreamtls.Options); o.On {
		m, err := upstreamtls.Load(o, 1)
		if err == nil {
			if f := m.OwnFault(time.Now()); f != nil {
				err = f
			}
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: tls: %w", file.Path, err))
		}
	}
	member := file.Value("membership").(memberagent.Options)
	if err := member.Check(); err != nil {
		faults = append(faults, fmt.Errorf("%s: membership: %w", file.Path, err))
	}
	if err := file.Value("owners").(owneragent.Options).Check(member); err != nil {
		faults = append(faults, fmt.Errorf("%s: owners: %w", file.Path, err))
	}
	if file.Value("floors").(watermark.Options).Enabled && !member.On {
		faults = append(faults, fmt.Errorf("%s: floors need membership: (membership (on on) …)", file.Path))
	}
	return faults
}

// Signals takes the signals that a proxy obeys. It comes before anything else: a SIGHUP that nobody takes ends the
// process.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// stderr is where the log goes. Whoever reads it may stop reading.
var stderr = logging.NewNonBlockingWriter(os.Stderr)

// Logs makes the log what the file says, in another form where one is given: the command line wins over the file, also
// once that is read again.
func Logs(file *settings.File, format string) {
	o := file.Value("log").(logging.Options)
	if format != "" {
		o.Format = format
	}
	slog.SetDefault(slog.New(logging.New(stderr, o)))
}

// Run runs the proxy until it has been told to stop and has nothing left to carry.
// format is that of the log, "" for what the file says.
func Run(cfg *platform.Config, file *settings.File, format string, signals <-chan os.Signal) error {
	Logs(file, format)
	runtime.GOMAXPROCS(cfg.MaxThreads())
	debug.SetMemoryLimit(cfg.MemoryLimit())
	loop := netio.NewLoop()
	if err := netio.Attach(loop); err != nil {
		return fmt.Errorf("netpoll: %v", err)
	}
	dialer := netio.NewDialer(loop, cfg.MaxDials())
	opt := proxy.Options{Settings: cfg.Settings, Sessions: cfg.MaxSessions(), DelayInLoad: cfg.DelayInLoad, Wall: func() time.Time { return netio.Wall() }}
	open := lineproto.PlainTCP(dialer)
	link, err := secure(loop, file, &opt)
	if err != nil {
		return err
	}
	if link != nil {
		open = through(link)
	}
	var behind []string
	if cfg.ReportsInAnswers {
		behind = cfg.ReportFields
	}
	core := proxy.New(loop, lineproto.NewConnector(loop, open, behind), opt)
	if n := cfg.MaxHealthChecks(); n > 0 {
		core.SetHealthChecker(lineproto.NewHealthChecks(loop, open, cfg.ReportFields, n))
	}
	r := &replacement{cfg: cfg, loop: loop, core: core}
	var old *hotrestart.Partner
	var handed *hotrestart.Handoff
	if r.dir = os.Getenv("TMPDIR"); cfg.Admin == "" {
		r.dir = "" // nobody can ask whether a new process is ready, so none can take another's place
	}
	if r.dir != "" {
		if old, handed, err = predecessor(cfg, r.dir, loop.Now()); err != nil {
			return err
		}
		r.store = hotrestart.NewStore(loop, r.dir)
		core.SetSuccessor(r)
	}
	if handed != nil {
		core.Inherit(handed.Snapshot)
	} else {
		handed = &hotrestart.Handoff{Snapshot: &proxy.Snapshot{}, Listener: -1, Datagram: -1}
	}
	list := known(cfg, handed)
	r.watch = cluster.NewClient(loop, dialer, cfg.Discovery, cfg.Settings.Instances, list.Version, r.news)
	err = core.Run(func(fx balancer.Effects) (proxy.Balancer, error) { return balancer.New(cfg.Settings, cfg.Seed, fx) },
		r.watch, list)
	if err != nil {
		return err
	}
	if !cfg.Settings.PollsDiscovery {
		// Lists are pushed, to an agent that the platform runs beside the proxy; the module, which hears of them unasked in
		// the simulator, asks for none.
		r.watch.Follow()
	}
	core.RestoreBalancer(handed.Snapshot.Balancer)
	if s := cfg.Settings; s.MayGossip && cfg.Peers.Listen != "" && s.Instances > 1 {
		// Messages help, and a proxy without them serves all the same.
		told, err := peers.Open(loop, cfg.Peers, s.Instance, handed.Datagram, func(from int, data []byte) {
			if !r.members.ReceiveShared(from, data) {
				core.PeerMessageReceived(from, data)
			}
		})
		if err != nil {
			slog.Warn("peers_off", "reason", err)
		} else {
			core.SetPeers(told)
			r.peers = told
		}
	}
	r.owning, r.flooring = file.Value("owners").(owneragent.Options), file.Value("floors").(watermark.Options)
	if err := r.join(file.Value("membership").(memberagent.Options), old == nil); err != nil {
		return err
	}
	if r.on, err = listen(cfg.Listen, handed.Listener, r.dir != ""); err != nil {
		return fmt.Errorf("listen: %v", err)
	}
	r.front = lineproto.NewFront(loop, core, r.on, cfg.MaxIdleClients())
	core.SetNewcomers(r.front)
	if cfg.Admin != "" {
		_, err := patiently(func() (*admin.Server, error) { return admin.Listen(loop, core, cfg.Admin, cfg.MaxAdminCallers()) }, inUse)
		if err != nil {
			return fmt.Errorf("admin_addr: %v", err)
		}
	}
	// Accepting comes last: a client, or the front's PING, must find the proxy ready.
	if old != nil {
		r.begin(old)
	} else if err := r.serve(); err != nil {
		return fmt.Errorf("listen: %v", err)
	}
	slog.Info("ready", "name", cfg.Name, "listen", r.front.Addr(), "hosts", len(list.Hosts), "rev", list.Version,
		"sessions", opt.Sessions)
	n := &node{cfg: cfg, file: file, format: format, link: link, redirect: func(discovery string) { loop.Post(func() { r.watch.Redirect(discovery) }) },
		leave: func() { loop.Post(func() { r.leave(); core.Shutdown(loop.Stop) }) }}
	go n.obey(signals)
	loop.Run()
	slog.Info("stopped")
	return nil
}

// listen takes the listening socket that was handed over, or opens one: shared, where a new process may come for which this
// one can't hand over.
func listen(addr string, fd int, shared bool) (*netio.Listener, error) {
	if fd >= 0 {
		return netio.Inherit(fd)
	}
	return patiently(func() (*netio.Listener, error) { return netio.Bind(addr, shared) }, inUse)
}

func inUse(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }

// secure makes TLS to upstream hosts, where the operators want it; else nil. Files that can't be used end the start: a
// proxy that can reach nobody must not take clients in.
func secure(loop *netio.Loop, file *settings.File, opt *proxy.Options) (*upstreamtls.Link, error) {
	o := file.Value("tls").(upstreamtls.Options)
	if !o.On {
		return nil, nil
	}
	m, err := upstreamtls.Load(o, 1)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	opt.Expiry = o.Expiry
	// Each handshake that is out holds a descriptor, and one more while its socket changes hands.
	opt.Sessions = max(1, opt.Sessions-o.Handshakes.AtOnce)
	link := upstreamtls.New(loop, m, opt.Wall)
	link.Run()
	slog.Info("tls_on", "epoch", m.Epoch, "min_version", o.MinVersion, "key_exchange", strings.Join(o.KeyExchange, ","),
		"reuse", o.Reuse, "on_expiry", o.OnExpiry)
	return link, nil
}

// through opens connections by TLS.
func through(k *upstreamtls.Link) lineproto.Opener {
	return func(to proxy.Target, within time.Duration, limit int, h netio.Handler,
		done func(*netio.Conn, *netio.Error)) func() {
		return k.Dial(upstreamtls.Host(to), within, limit, h, done)
	}
}
