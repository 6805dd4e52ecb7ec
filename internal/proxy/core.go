package proxy

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"croftlock/brain"
	"croftlock/internal/byhand"
	"croftlock/internal/expiry"
	"croftlock/internal/figures"
	"croftlock/internal/netio"
)

// Decider is the part of the decision module that the core calls.
type Decider interface {
	Request(now brain.Time, q brain.Request)
	Open(now brain.Time, q brain.Request, server string)
	First(now brain.Time, id string, attempt int, elapsed brain.Time)
	Outcome(now brain.Time, id string, attempt int, status brain.Status, elapsed brain.Time, closed bool, load []float64)
	Gone(now brain.Time, id string)
	Probed(now brain.Time, id string, status brain.Status, elapsed brain.Time, load []float64)
	Note(now brain.Time, id string, attempt int, kind brain.NoteKind, value float64)
	Members(now brain.Time, kind brain.ListKind, version int64, entries []brain.Entry)
	Peer(now brain.Time, from int, data []byte)
	Timer(now brain.Time, token string)
	Avoids(now brain.Time, id string) bool
	Remember(yield bool) brain.Memory
	Recall(now brain.Time, m brain.Memory)
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
	Settings brain.Config
	Sessions int // how many downstreams it takes at most
	// DelayInLoad: hosts tell both a connection's load and how long messages take, in the same form.
	DelayInLoad bool
	// Expiry says what becomes of connections that rest on a certificate when it ends; Wall is the clock that
	// certificates are read by.
	Expiry expiry.Policy
	Wall   func() time.Time
}

// Core is one proxy.
type Core struct {
	loop      *netio.Loop
	opt       Options
	starter   Starter
	discovery Discovery
	peers     Peers  // nil: there are none, or the settings forbid it
	prober    Prober // nil: the settings do not permit probes
	module    Decider
	classes   map[string]int
	tenants   map[string]int

	hosts    map[string]*host
	hand     *byhand.Book  // the hosts that operators have taken out
	pacer    Pacer         // nil: clients leave as it suits this proxy
	turns    []func() bool // clients that wait for it
	asking   bool
	figures  *figures.Table
	requests map[string]*Request

	// The module is single-threaded and its effects must not call it: they are kept in effects while it runs, and
	// what they cause is kept in calls until they have all been carried out.
	deciding bool
	calls    []call
	effects  []func()

	planner  *expiry.Planner // nil: connections are kept whatever ends
	sessions int
	leaving  bool
	keeper   Keeper // nil: nothing outlives this process
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
	f     func(now brain.Time)
}

// host is an upstream host as this proxy knows it.
type host struct {
	id       string
	zone     string
	endpoint string
	state    brain.State           // as it counts: an operator's word goes before discovery's
	listed   brain.Entry           // as discovery last said
	since    brain.Time            // its latest start, as discovery says
	up       map[*Request]struct{} // its open connections
	trying   map[*upstreamRequest]struct{}
	delay    messageDelay
	loaded   float64 // as it last told when probed: load over what it can do
	loadedAt int64   // when that was; 0: never
}

// New makes a core. Module and Discovery are set by Run.
func New(l *netio.Loop, starter Starter, opt Options) *Core {
	c := &Core{loop: l, starter: starter, opt: opt, classes: map[string]int{}, tenants: map[string]int{},
		hosts: map[string]*host{}, requests: map[string]*Request{}}
	names := make([]string, len(opt.Settings.Classes))
	for i, k := range opt.Settings.Classes {
		c.classes[k.Name], names[i] = i, k.Name
	}
	c.hand, c.figures = byhand.New(), figures.New(names)
	for i, t := range opt.Settings.Tenants {
		c.tenants[t.Name] = i
	}
	return c
}

// Run gives the core its decision module, made for it by make with the core's effects, and the list it starts from.
func (c *Core) Run(make func(fx brain.Effects) (Decider, error), d Discovery, known Change) error {
	m, err := make((*effects)(c))
	if err != nil {
		return err
	}
	c.module, c.discovery = m, d
	c.Listed(known)
	c.loop.After(watchEvery, c.watchSessions)
	if c.opt.Expiry.Move {
		c.planner = expiry.New(c.opt.Expiry)
		c.loop.After(expiry.Every, c.moveExpiring)
	}
	return nil
}

// Ready tells whether clients may come.
func (c *Core) Ready() bool { return c.module != nil && !c.leaving }

// Serves tells whether this process takes what comes: it may be on its way out, or another process of this proxy does.
func (c *Core) Serves() bool { return c.Ready() && !c.handed }

// Admit asks for room for one more downstream's request of a class. Each may come to need two descriptors, and running out of them
// would strike connections that already stand.
func (c *Core) Admit(class string) bool {
	if c.sessions+c.elsewhere >= c.opt.Sessions {
		c.counts.TurnedAway++
		c.ended(class, figures.TurnedAway)
		return false
	}
	c.sessions++
	return true
}

// ended counts the end of a request that was not taken.
func (c *Core) ended(class string, e figures.End) {
	if i, known := c.classes[class]; known {
		c.figures.Ended(i, e)
	}
}

// ComeBack is the advice to a client that there is no room or no time for; 0 where clients read none.
func (c *Core) ComeBack() time.Duration {
	if !c.opt.Settings.RetryAfter {
		return 0
	}
	return min(comeBack, time.Duration(c.opt.Settings.MaxRetryAfter))
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

// decide has the module take one event, then carries out what it did, in order, and then whatever that caused. about
// is the request that is answered for should the module panic; it may be nil.
func (c *Core) decide(about *Request, f func(now brain.Time)) {
	c.calls = append(c.calls, call{about, f})
	if c.deciding {
		return
	}
	c.deciding = true
	defer func() { c.deciding = false }()
	for len(c.calls) > 0 {
		next := c.calls[0]
		c.calls = c.calls[1:]
		c.guard(next.about, func() { next.f(c.loop.Now()) })
		for len(c.effects) > 0 {
			do := c.effects[0]
			c.effects = c.effects[1:]
			c.guard(next.about, do)
		}
	}
	c.calls, c.effects = nil, nil
}

// guard keeps a panic from reaching beyond the request it happened for, which still gets its one answer.
func (c *Core) guard(about *Request, f func()) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "core", "reason", p, "stack", string(debug.Stack()))
			if about != nil {
				about.abandon()
			}
		}
	}()
	f()
}

// effects is the core as the module sees it. Each effect is only noted here, to be carried out once the module has
// returned: the module must never be entered from inside itself.
type effects Core

func (e *effects) later(f func()) { e.effects = append(e.effects, f) }

func (e *effects) Send(id, server string, timeout brain.Time) {
	e.later(func() { (*Core)(e).send(id, server, timeout) })
}

func (e *effects) Refuse(id string, after brain.Time) {
	e.later(func() {
		if r := e.requests[id]; r != nil {
			r.refuse(time.Duration(after))
		}
	})
}

func (e *effects) Fail(id string) {
	e.later(func() {
		if r := e.requests[id]; r != nil {
			r.fail(figures.Failed)
		}
	})
}

func (e *effects) Cancel(id string, attempt int) {
	e.later(func() {
		if r := e.requests[id]; r != nil {
			r.cancel(attempt)
		}
	})
}

func (e *effects) Move(id string) {
	e.later(func() {
		if r := e.requests[id]; r != nil {
			r.move(brain.Cancelled)
		}
	})
}

func (e *effects) After(delay brain.Time, token string) {
	c := (*Core)(e)
	e.later(func() {
		c.loop.After(time.Duration(delay), func() {
			c.decide(nil, func(now brain.Time) { c.module.Timer(now, token) })
		})
	})
}

func (e *effects) Watch(on bool) { e.later(func() { e.discovery.Watch(on) }) }
func (e *effects) Fetch()        { e.later(func() { e.discovery.Fetch() }) }
func (e *effects) Log(s string)  { slog.Info("module", "text", s) }

// Probe asks a host how loaded it is. One that takes nothing new, and one that is not known any more, is left alone.
func (e *effects) Probe(server string) {
	e.later(func() {
		c := (*Core)(e)
		began := c.loop.Now()
		done := func(status brain.Status, load []float64) {
			if h, i := c.hosts[server], c.opt.Settings.ReportLoad; h != nil && i >= 0 && i < len(load) && load[i] >= 0 {
				h.loaded, h.loadedAt = load[i], c.loop.Now()
			}
			if tracing() {
				slog.Debug("probed", "host", server, "status", status.String(), "load", load, "ms", (c.loop.Now()-began)/1e6)
			}
			c.decide(nil, func(now brain.Time) { c.module.Probed(now, server, status, now-began, load) })
		}
		h := c.hosts[server]
		if c.prober == nil || h == nil || h.state != brain.Ready {
			done(brain.Moot, nil)
			return
		}
		c.counts.Probed++
		c.prober.Probe(Target{h.id, h.zone, h.endpoint}, done)
	})
}

// SetProber gives the core its way to ask hosts how loaded they are.
func (c *Core) SetProber(p Prober) { c.prober = p }

// Tell is carried out where peers can be reached; a message may be lost in any case.
func (e *effects) Tell(peer int, data []byte) {
	e.later(func() {
		if e.peers != nil {
			e.counts.Told++
			e.peers.Tell(peer, data)
		}
	})
}

// SetPeers gives the core its way to the other proxies.
func (c *Core) SetPeers(p Peers) { c.peers = p }

// PeerTold takes a message from another proxy.
func (c *Core) PeerTold(from int, data []byte) {
	c.counts.Heard++
	c.decide(nil, func(now brain.Time) { c.module.Peer(now, from, data) })
}

// Open takes a client's request, and owes it one answer from here on. It gives nil where that is given already.
func (c *Core) Open(d Downstream, o *Opening, first First) *Request {
	c.counts.Opened++
	q := brain.Request{ID: o.ID, Tenant: -1, Key: o.Key, Group: o.Group, Hint: o.Hint, Repeat: o.Repeat,
		Returned: o.Returned}
	class, known := c.classes[o.Class]
	tenant, shares := c.tenants[o.Tenant]
	if !known || !shares && len(c.tenants) > 0 || c.requests[o.ID] != nil {
		// Without a class there is no deadline and no rule to serve it by; an id that is in use belongs to another's
		// request; and what the settings do not name, no host can read either.
		c.ended(o.Class, figures.Unknown)
		c.Rejected(fmt.Errorf("class %q known=%t tenant %q known=%t", o.Class, known, o.Tenant, shares))
		d.Fail()
		return nil
	}
	if c.leaving {
		c.counts.Refused++
		c.figures.Ended(class, figures.Leaving)
		d.Refuse(c.ComeBack())
		return nil
	}
	q.Class = class
	if shares {
		q.Tenant = tenant
	}
	wait := o.Wait
	if longest := time.Duration(c.opt.Settings.Classes[class].Deadline); !o.HasWait || wait > longest && o.At == "" {
		wait = longest // no client waits longer, whatever it writes, and none may be kept for days
	}
	now := c.loop.Now()
	r := &Request{core: c, down: d, first: first, ask: q, deadline: now + int64(wait)}
	c.requests[o.ID] = r
	if o.At != "" {
		r.adopt(o.At)
		return r
	}
	if tracing() {
		slog.Debug("asked", "request", o.ID, "group", o.Group, "tenant", o.Tenant, "repeat", o.Repeat, "returned", o.Returned,
			"ms", wait.Milliseconds())
	}
	// The module answers by the deadline. Should it not, the client gets its answer all the same.
	r.overdue = c.loop.After(wait+overdueAfter, r.abandon)
	c.decide(r, func(now brain.Time) {
		if r.answered {
			return
		}
		q.Left = r.deadline - now
		c.module.Request(now, q)
	})
	return r
}
