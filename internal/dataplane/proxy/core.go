package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/certexpiry"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/rules"
	"croftlock/internal/operations/maintenance"
	"croftlock/internal/operations/metrics"
)

// Balancer is the part of the decision module that the core calls.
type Balancer interface {
	RequestArrived(now balancer.Time, q balancer.Request)
	ConnectionAdopted(now balancer.Time, q balancer.Request, server string)
	AttemptEstablished(now balancer.Time, id string, attempt int, elapsed balancer.Time)
	AttemptEnded(now balancer.Time, id string, attempt int, status balancer.AttemptStatus, elapsed balancer.Time, closed bool, load []float64)
	ClientLeft(now balancer.Time, id string)
	HealthCheckEnded(now balancer.Time, id string, status balancer.AttemptStatus, elapsed balancer.Time, load []float64)
	Observe(now balancer.Time, id string, attempt int, kind balancer.Observation, value float64)
	ListReceived(now balancer.Time, kind balancer.ListChange, version int64, entries []balancer.ListedHost)
	PeerMessageReceived(now balancer.Time, from int, data []byte)
	TimerFired(now balancer.Time, token string)
	Ejected(now balancer.Time, id string) bool
	Snapshot(yield bool) balancer.Snapshot
	Restore(now balancer.Time, m balancer.Snapshot)
}

// Peers carries the module's messages to the other proxies.
type Peers interface {
	SendToPeer(peer int, data []byte)
}

// Discovery is what the decision module may ask of discovery.
type Discovery interface {
	WatchList(on bool)
	FetchList()
}

// Options are what the core is told at its start.
type Options struct {
	Settings balancer.Config
	Sessions int // how many downstreams it takes at most
	// DelayInLoad: hosts tell both a connection's load and how long messages take, in the same form.
	DelayInLoad bool
	// Expiry says what becomes of connections that rest on a certificate when it ends; Wall is the clock that
	// certificates are read by.
	Expiry certexpiry.Policy
	Wall   func() time.Time
}

// Core is one proxy.
type Core struct {
	loop          *netio.Loop
	opt           Options
	connector     Connector
	discovery     Discovery
	peers         Peers           // nil: there are none, or the settings forbid it
	healthChecker HealthChecker   // nil: the settings do not permit probes
	enforcer      *rules.Enforcer // nil: no rules that the fleet agrees on
	quota         Quota           // nil: no limits that hold over the fleet
	newBalancer   func(fx balancer.Effects) (Balancer, error)
	main          *pool // the only one where no rules split the hosts
	pools         map[string]*pool
	classes       map[string]int
	tenants       map[string]int

	hosts               map[string]*host
	suspended           *maintenance.Registry // the hosts that operators have taken out
	watermarks          Watermarks            // nil: every proxy goes by its own list alone
	pacer               Pacer                 // nil: clients leave as it suits this proxy
	pendingMigrations   []func() bool         // clients that wait for it
	migrationsRequested bool
	monitor             *invariant.Monitor
	requests            map[string]*Request

	decisions decisionLoop

	expiryPlanner *certexpiry.Planner // nil: connections are kept whatever ends
	admission     admission
	shuttingDown  bool
	newcomers     Newcomers // nil: there are none
	successor     Successor // nil: nothing outlives this process
	// handedOver: another process of this proxy takes what comes; elsewhere is how many downstreams it holds.
	handedOver        bool
	handoversInFlight int // open connections on their way to it
	counters          counters
}

// host is an upstream host as this proxy knows it.
type host struct {
	id           string
	zone         string
	address      string
	state        balancer.HostState    // as it counts: an operator's word goes before discovery's
	listed       balancer.ListedHost   // as discovery last said
	startedAt    balancer.Time         // its latest start, as discovery says
	established  map[*Request]struct{} // its open connections
	pending      map[*upstreamRequest]struct{}
	latency      messageDelay
	checkedLoad  float64                // as it last told when probed: load over what it can do
	checkedAt    int64                  // when that was; 0: never
	pool         *pool                  // nil: it changes hands just now
	lastSnapshot *balancer.HostSnapshot // what its last pool's instance knew of it, until another takes it
}

// New makes a core. Module and Discovery are set by Run.
func New(l *netio.Loop, starter Connector, opt Options) *Core {
	c := &Core{loop: l, connector: starter, opt: opt, classes: map[string]int{}, tenants: map[string]int{},
		hosts: map[string]*host{}, requests: map[string]*Request{}, pools: map[string]*pool{}}
	c.decisions.now = l.Now
	names := make([]string, len(opt.Settings.Classes))
	for i, k := range opt.Settings.Classes {
		c.classes[k.Name], names[i] = i, k.Name
	}
	c.suspended, c.counters.metrics = maintenance.New(), metrics.New(names)
	c.admission.limit = opt.Sessions
	c.monitor = invariant.NewMonitor(func(r invariant.Rule, id string) { slog.Error("invariant_broken", "rule", r, "request", id) })
	for i, t := range opt.Settings.Tenants {
		c.tenants[t.Name] = i
	}
	return c
}

// Run gives the core its decision module, made for it by make with the core's effects, and the list it starts from.
func (c *Core) Run(make func(fx balancer.Effects) (Balancer, error), d Discovery, known Change) error {
	c.newBalancer, c.discovery = make, d
	var err error
	if c.main, err = c.newPool(namespace.Main); err != nil {
		return err
	}
	c.ListReceived(known)
	c.loop.After(sessionCheckInterval, c.monitorSessions)
	if c.opt.Expiry.Move {
		c.expiryPlanner = certexpiry.New(c.opt.Expiry)
		c.loop.After(certexpiry.Every, c.migrateExpiring)
	}
	return nil
}

// Ready tells whether clients may come.
func (c *Core) Ready() bool { return c.main != nil && !c.shuttingDown }

// Serves tells whether this process takes what comes: it may be on its way out, or another process of this proxy does.
func (c *Core) Serves() bool { return c.Ready() && !c.handedOver }
