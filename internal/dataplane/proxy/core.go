package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/certexpiry"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/operations/logging"
	"croftlock/internal/operations/maintenance"
	"croftlock/internal/operations/metrics"
)

// Options configure a core.
type Options struct {
	Settings       balancer.Config
	MaxDownstreams int // of this proxy at a time
	// DelayInLoad: hosts report both a connection's load and their message delay, in the same form.
	DelayInLoad bool
	// Expiry says which connections migrate before a certificate ends.
	Expiry certexpiry.Policy
	// Wall is the system's clock, by which certificates and starts of hosts are read.
	Wall func() time.Time
}

// Core is one proxy: its parts, and the requests between them.
type Core struct {
	loop  *netio.Loop
	opt   Options
	names settingsNames

	connector       Connector
	discovery       Discovery
	peers           Peers           // nil: there are none, or the settings forbid messages
	healthChecker   HealthChecker   // nil: the settings do not permit health checks
	idleDownstreams IdleDownstreams // nil: there are none

	fleet      fleetRules
	decisions  decisionLoop
	requests   requestTable
	hosts      hostTable
	pools      poolTable
	admission  admission
	migrations migrationPacer
	expiry     *certexpiry.Planner // nil: no connection is migrated for its certificate
	handover   handover
	monitor    *invariant.Monitor
	counters   counters

	shuttingDown bool
}

// settingsNames maps names to their numbers in the settings.
type settingsNames struct {
	classes, tenants map[string]int
}

func newSettingsNames(s *balancer.Config) settingsNames {
	n := settingsNames{map[string]int{}, map[string]int{}}
	for i, k := range s.Classes {
		n.classes[k.Name] = i
	}
	for i, t := range s.Tenants {
		n.tenants[t.Name] = i
	}
	return n
}

// New makes a core. Run gives it its decision module and discovery.
func New(l *netio.Loop, connector Connector, opt Options) *Core {
	return &Core{
		loop:      l,
		opt:       opt,
		names:     newSettingsNames(&opt.Settings),
		connector: connector,
		decisions: decisionLoop{now: l.Now},
		requests:  requestTable{},
		hosts: hostTable{
			byID:        map[string]*host{},
			suspensions: maintenance.New(),
			clock:       startClock{now: l.Now, wall: opt.Wall},
		},
		pools:      poolTable{byName: map[string]*pool{}},
		admission:  admission{limit: opt.MaxDownstreams},
		migrations: migrationPacer{loop: l},
		monitor:    invariant.NewMonitor(logBrokenInvariant),
		counters:   counters{metrics: metrics.New(classNames(opt.Settings.Classes))},
	}
}

func classNames(classes []balancer.Class) []string {
	names := make([]string, len(classes))
	for i, k := range classes {
		names[i] = k.Name
	}
	return names
}

func logBrokenInvariant(r invariant.Rule, id string) {
	slog.Error("invariant_broken", "rule", r, "request", id)
}

// Run gives the core its discovery, the endpoint list that it starts from, and the decision module: newBalancer makes a balancer with the
// core's effects, one for each pool.
func (c *Core) Run(newBalancer func(fx balancer.Effects) (Balancer, error), d Discovery, known WatchEvent) (err error) {
	c.discovery = d
	c.pools.newBalancer = func(p *pool) (Balancer, error) { return newBalancer(&effects{c, p}) }
	if c.pools.main, err = c.pools.create(namespace.Main); err != nil {
		return err
	}
	c.ListReceived(known)
	c.loop.After(monitorInterval, c.monitorEstablished)
	c.startExpiryMigrations()
	return nil
}

// Ready reports whether clients may come.
func (c *Core) Ready() bool { return c.pools.main != nil && !c.shuttingDown }

// AcceptsClients reports whether this process accepts clients: it may be shutting down, or the other process of this proxy does.
func (c *Core) AcceptsClients() bool { return c.Ready() && !c.handover.handedOver }

// SetHealthChecker gives the core its way to poll hosts for their load.
func (c *Core) SetHealthChecker(h HealthChecker) { c.healthChecker = h }

// SetPeers gives the core its way to the other proxies.
func (c *Core) SetPeers(p Peers) { c.peers = p }

// PeerMessageReceived handles a message from another proxy.
func (c *Core) PeerMessageReceived(from int, data []byte) {
	c.counters.peerMessagesReceived++
	for _, p := range c.pools.byName {
		c.notify(nil, p, func(now balancer.Time, m Balancer) { m.PeerMessageReceived(now, from, data) })
	}
}

// tracing reports whether the log takes each step of each request.
func tracing() bool { return logging.DebugEnabled() }
