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

// Decider is the part of the decision module that the core calls.
type Decider interface {
	Request(now balancer.Time, q balancer.Request)
	Open(now balancer.Time, q balancer.Request, server string)
	First(now balancer.Time, id string, attempt int, elapsed balancer.Time)
	Outcome(now balancer.Time, id string, attempt int, status balancer.Status, elapsed balancer.Time, closed bool, load []float64)
	Gone(now balancer.Time, id string)
	Probed(now balancer.Time, id string, status balancer.Status, elapsed balancer.Time, load []float64)
	Note(now balancer.Time, id string, attempt int, kind balancer.NoteKind, value float64)
	Members(now balancer.Time, kind balancer.ListKind, version int64, entries []balancer.Entry)
	Peer(now balancer.Time, from int, data []byte)
	Timer(now balancer.Time, token string)
	Avoids(now balancer.Time, id string) bool
	Remember(yield bool) balancer.Memory
	Recall(now balancer.Time, m balancer.Memory)
}

// Peers carries the module's messages to the other proxies.
type Peers interface {
	Tell(peer int, data []byte)
}

// Discovery is what the decision module may ask of discovery.
type Discovery interface {
	Watch(on bool)
	Fetch()
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
	loop      *netio.Loop
	opt       Options
	starter   Starter
	discovery Discovery
	peers     Peers           // nil: there are none, or the settings forbid it
	prober    Prober          // nil: the settings do not permit probes
	enforcer  *rules.Enforcer // nil: no rules that the fleet agrees on
	allowance Allowance       // nil: no limits that hold over the fleet
	make      func(fx balancer.Effects) (Decider, error)
	main      *pool // the only one where no rules split the hosts
	pools     map[string]*pool
	classes   map[string]int
	tenants   map[string]int

	hosts      map[string]*host
	suspended  *maintenance.Registry // the hosts that operators have taken out
	floors     Watermarks            // nil: every proxy goes by its own list alone
	pacer      Pacer                 // nil: clients leave as it suits this proxy
	pacedMoves []func() bool         // clients that wait for it
	pacerAsked bool
	figures    *metrics.Table
	monitor    *invariant.Monitor
	requests   map[string]*Request

	// The module is single-threaded and its effects must not call it: they are kept in effects while it runs, and
	// what they cause is kept in calls until they have all been carried out.
	deciding bool
	calls    []call
	effects  []func()

	planner   *certexpiry.Planner // nil: connections are kept whatever ends
	sessions  int
	leaving   bool
	newcomers Newcomers // nil: there are none
	keeper    Keeper    // nil: nothing outlives this process
	// handed: another process of this proxy takes what comes; elsewhere is how many downstreams it holds.
	handed    bool
	elsewhere int
	handing   int // open connections on their way to it
	counts    Counts
	counted   int64 // when they were last logged
}

// Counts are what the core has done since they were last logged.
type Counts struct {
	Opened, Served, Refused, Failed, Rejected, Moved, Lost int
	Expiring                                               int // of Moved: their certificate ends
	TurnedAway                                             int // for want of room
	Handed, Resumed                                        int // open connections, to another process and from one
	Told, Heard                                            int // messages to other proxies, and from them
	Probed                                                 int // probes sent
}

type call struct {
	about *Request
	f     func(now balancer.Time)
}

// host is an upstream host as this proxy knows it.
type host struct {
	id       string
	zone     string
	endpoint string
	state    balancer.State        // as it counts: an operator's word goes before discovery's
	listed   balancer.Entry        // as discovery last said
	since    balancer.Time         // its latest start, as discovery says
	up       map[*Request]struct{} // its open connections
	trying   map[*upstreamRequest]struct{}
	delay    messageDelay
	loaded   float64                // as it last told when probed: load over what it can do
	loadedAt int64                  // when that was; 0: never
	pool     *pool                  // nil: it changes hands just now
	known    *balancer.ServerMemory // what its last pool's instance knew of it, until another takes it
}

// New makes a core. Module and Discovery are set by Run.
func New(l *netio.Loop, starter Starter, opt Options) *Core {
	c := &Core{loop: l, starter: starter, opt: opt, classes: map[string]int{}, tenants: map[string]int{},
		hosts: map[string]*host{}, requests: map[string]*Request{}, pools: map[string]*pool{}}
	names := make([]string, len(opt.Settings.Classes))
	for i, k := range opt.Settings.Classes {
		c.classes[k.Name], names[i] = i, k.Name
	}
	c.suspended, c.figures = maintenance.New(), metrics.New(names)
	c.monitor = invariant.NewMonitor(func(r invariant.Rule, id string) { slog.Error("invariant_broken", "rule", r, "request", id) })
	for i, t := range opt.Settings.Tenants {
		c.tenants[t.Name] = i
	}
	return c
}

// Run gives the core its decision module, made for it by make with the core's effects, and the list it starts from.
func (c *Core) Run(make func(fx balancer.Effects) (Decider, error), d Discovery, known Change) error {
	c.make, c.discovery = make, d
	var err error
	if c.main, err = c.newPool(namespace.Main); err != nil {
		return err
	}
	c.Listed(known)
	c.loop.After(watchEvery, c.watchSessions)
	if c.opt.Expiry.Move {
		c.planner = certexpiry.New(c.opt.Expiry)
		c.loop.After(certexpiry.Every, c.moveExpiring)
	}
	return nil
}

// Ready tells whether clients may come.
func (c *Core) Ready() bool { return c.main != nil && !c.leaving }

// Serves tells whether this process takes what comes: it may be on its way out, or another process of this proxy does.
func (c *Core) Serves() bool { return c.Ready() && !c.handed }

// Admit asks for room for one more downstream's request of a class. Each may come to need two descriptors, and running out of them
// would strike connections that already stand.
func (c *Core) Admit(class string) bool {
	if c.sessions+c.elsewhere >= c.opt.Sessions {
		c.counts.TurnedAway++
		c.ended(class, metrics.TurnedAway)
		return false
	}
	c.sessions++
	return true
}

// ended counts the end of a request that was not taken.
func (c *Core) ended(class string, e metrics.End) {
	if i, known := c.classes[class]; known {
		c.figures.Ended(i, e)
	}
}

// ComeBack is the advice to a client that there is no room or no time for; 0 where clients read none.
func (c *Core) ComeBack() time.Duration {
	return c.advice(comeBack)
}

// advice is what a client may be told of when to come again, within the settings; 0 where clients read none.
func (c *Core) advice(after time.Duration) time.Duration {
	if !c.opt.Settings.RetryAfter {
		return 0
	}
	return min(after, max(0, time.Duration(c.opt.Settings.MaxRetryAfter)))
}

// Left gives that room back.
func (c *Core) Left() { c.sessions-- }

// Sessions is how many downstreams there are.
func (c *Core) Sessions() int { return c.sessions }

// Rejected notes that a client sent what is no request.
func (c *Core) Rejected(err error) {
	c.counts.Rejected++
	if c.counts.Rejected == 1 {
		slog.Warn("rejected", "reason", err)
	}
}
