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

// Options holds the parameters of a Core.
type Options struct {
	Settings       balancer.Config // the settings of the decision module, which the core reads too
	MaxDownstreams int             // limit on the downstreams of all processes of this proxy together
	// DelayInLoad specifies that hosts report a connection's load and their message delay in the
	// same form, so that the core has to distinguish them.
	DelayInLoad bool
	// Expiry specifies which connections migrate before a certificate expires.
	Expiry certexpiry.Policy
	// WallClock returns the system's time, in which certificates and the start times of hosts are
	// given. It may be nil if Expiry is not enabled; the loop's time then counts as the system's.
	WallClock func() time.Time
}

// Core is the protocol-independent part of one proxy process. Its methods are called on the event
// loop, or before the loop runs. The decision module is the code that chooses hosts; the core runs
// one instance of it, a balancer, for each pool, which is a subset of the hosts.
type Core struct {
	loop  *netio.Loop
	opt   Options
	names settingsNames

	connector       Connector
	discovery       Discovery
	peers           Peers           // nil if there are none, or the settings forbid messages
	healthChecker   HealthChecker   // nil if the settings do not permit health checks
	idleDownstreams IdleDownstreams // nil if there are none

	fleet      fleetRules // the rules and limits on which all proxies, the fleet, agree
	decisions  decisionLoop
	requests   requestTable
	hosts      hostTable
	pools      poolTable
	admission  admission
	migrations migrationPacer
	expiry     *certexpiry.Planner // nil if no connection migrates because of its certificate
	handover   handover
	otherIDs   otherProcessIDs
	usedIDs    usedIDs
	monitor    *invariant.Monitor
	counters   counters

	shuttingDown bool
}

// settingsNames maps the names of classes and tenants to their indexes in the settings.
type settingsNames struct {
	classes, tenants map[string]int
}

// newSettingsNames returns the names in the settings.
func newSettingsNames(s *balancer.Config) settingsNames {
	n := settingsNames{map[string]int{}, map[string]int{}}
	for i, class := range s.Classes {
		n.classes[class.Name] = i
	}
	for i, t := range s.Tenants {
		n.tenants[t.Name] = i
	}
	return n
}

// New returns a Core. Run must be called before it accepts clients.
func New(l *netio.Loop, connector Connector, opt Options) *Core {
	return &Core{
		loop:      l,
		opt:       opt,
		names:     newSettingsNames(&opt.Settings),
		connector: connector,
		decisions: decisionLoop{now: l.Now},
		requests:  requestTable{},
		hosts: hostTable{
			byID:          map[string]*host{},
			suspensions:   maintenance.New(),
			guessedStarts: map[string]balancer.Time{},
			clock:         startClock{now: l.Now, wallClock: opt.WallClock},
		},
		pools:      poolTable{byName: map[string]*pool{}},
		admission:  admission{limit: opt.MaxDownstreams},
		migrations: migrationPacer{loop: l},
		monitor:    invariant.NewMonitor(logBrokenInvariant),
		counters:   counters{metrics: metrics.New(classNames(opt.Settings.Classes))},
	}
}

// classNames returns the names of the classes, in their order in the settings.
func classNames(classes []balancer.Class) []string {
	names := make([]string, len(classes))
	for i, class := range classes {
		names[i] = class.Name
	}
	return names
}

// logBrokenInvariant logs that an action on the request with this ID broke a rule.
func logBrokenInvariant(r invariant.Rule, id string) {
	slog.Error("invariant_broken", "rule", r, "request", id)
}

// Run starts the core with the discovery service d and the endpoint list initialList. newBalancer creates a
// balancer that requests its actions, such as to start an attempt, from fx; the core calls
// newBalancer once for each pool. Run returns an error if it cannot create the balancer of the pool
// main.
func (c *Core) Run(newBalancer func(fx balancer.Effects) (Balancer, error), d Discovery, initialList WatchEvent) (err error) {
	c.discovery = d
	c.pools.newBalancer = func(p *pool) (Balancer, error) { return newBalancer(&effects{c, p}) }
	if c.pools.main, err = c.pools.create(namespace.MainPool); err != nil {
		return err
	}
	c.ListReceived(initialList)
	c.loop.After(monitorInterval, c.monitorEstablished)
	c.startExpiryMigrations()
	return nil
}

// Ready reports whether the core runs and is not shutting down.
func (c *Core) Ready() bool { return c.pools.main != nil && !c.shuttingDown }

// AcceptsClients reports whether this process accepts clients. It does not if it is not ready, or
// if the other process of this proxy, which runs during a hot restart, accepts them.
func (c *Core) AcceptsClients() bool { return c.Ready() && !c.handover.handedOver }

// SetHealthChecker sets the HealthChecker that polls hosts for their load. Without one there are no
// health checks.
func (c *Core) SetHealthChecker(h HealthChecker) { c.healthChecker = h }

// SetPeers sets the Peers that send messages to the other proxies. Without Peers the core sends no
// messages.
func (c *Core) SetPeers(p Peers) { c.peers = p }

// PeerMessageReceived passes a message from another proxy, whose number is from, to the balancers of
// all pools.
func (c *Core) PeerMessageReceived(from int, data []byte) {
	c.counters.peerMessagesReceived++
	for _, p := range c.pools.byName {
		c.notify(nil, p, func(now balancer.Time, m Balancer) { m.PeerMessageReceived(now, from, data) })
	}
}

// tracing reports whether each step of each request is logged.
func tracing() bool { return logging.DebugEnabled() }
