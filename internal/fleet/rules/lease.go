package rules

import (
	"fmt"
	"sync/atomic"
	"time"

	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/quota"
)

// A lease is counted from before it was asked for, on the asker's monotonic clock, less a part for clocks that run apart: one in a hundred
// each. Who gives it counts from when it was asked, and as much more.
const drift = 50

// LeaseEnd is when a lease that was asked for then ends at the one that acts by it.
func LeaseEnd(asked, within Time) Time { return asked + within - within/drift }

// LeaseSurelyEnded is when whoever gave it then may take it for ended.
func LeaseSurelyEnded(heard, within Time) Time { return heard + within + within/drift }

// compiled is a version ready to be asked.
type compiled struct {
	v      *Version
	refuse map[[2]string]uint32
	out    map[string]struct{}
	book   *namespace.Compiled // nil: one pool, and nobody's routes
	limits map[string]quota.Limit
	names  []string // of limits, sorted
}

// compile makes a version ready that Check has let pass.
func compile(v *Version) *compiled {
	c := &compiled{v: v, refuse: make(map[[2]string]uint32, len(v.Refuse)), out: make(map[string]struct{}, len(v.Out))}
	for _, r := range v.Refuse {
		c.refuse[[2]string{r.Tenant, r.Class}] = r.Advice
	}
	for _, h := range v.Out {
		c.out[h] = struct{}{}
	}
	if v.Book != nil {
		var err error
		if c.book, err = namespace.Compile(v.Book); err != nil {
			panic(err) // it was compiled when it was checked
		}
		c.limits = map[string]quota.Limit{}
		for _, a := range v.Book.Accounts { // by name
			if l := (quota.Limit{Rate: float64(a.Rate.AtMost), Connections: int(a.Standing.AtMost)}); l != (quota.Limit{}) {
				c.limits[a.Name], c.names = l, append(c.names, a.Name)
			}
		}
	}
	return c
}

// refuses: the most specific word wins.
func (c *compiled) refuses(tenant, class string) (bool, time.Duration) {
	for _, k := range [...][2]string{{tenant, class}, {tenant, ""}, {"", class}, {"", ""}} {
		if ms, is := c.refuse[k]; is {
			return true, time.Duration(ms) * time.Millisecond
		}
	}
	return false, 0
}

// acting is what a process acts by, and until when it may.
type acting struct {
	*compiled
	until Time
}

// Enforcer is what a request is judged by: one value and one deadline, read without a lock.
type Enforcer struct {
	Now            func() Time
	KeepAfterLapse bool          // a process whose lease has lapsed goes by its last version, outside the promise; else it refuses
	LapsedAdvice   time.Duration // advice to those whom a lapsed lease refuses
	// Clock is the time of day for routes that hold for a part of it; nil: time.Now.
	Clock func() time.Time

	p atomic.Pointer[acting]
}

// Verdict is the answer to one request, or about one host.
type Verdict struct {
	Refused bool
	Advice  time.Duration
	Version uint64 // by which it was given; 0: by none
	Lapsed  bool   // the lease had ended

	Account, Route string   // whose it is, and the route that decided, with its scope; "": none
	Pools          []string // in the order in which they are to be tried; nil: there are no pools
}

// Judge says whether a request may be placed, and where.
func (g *Enforcer) Judge(q namespace.Ask) (v Verdict) {
	a, v := g.look()
	if a == nil || v.Refused {
		return v
	}
	if v.Refused, v.Advice = a.refuses(q.Tenant, q.Class); v.Refused || a.book == nil {
		return v
	}
	q.Minute = g.minute()
	w := a.book.Judge(q)
	v.Refused, v.Advice, v.Account, v.Pools = w.Refused, w.Advice, w.Account, w.Pools
	if w.Route != "" {
		v.Route = namespace.Scoped(w.Scope, w.Route)
	}
	return v
}

// minute is the minute of the day, UTC.
func (g *Enforcer) minute() int {
	now := time.Now
	if g.Clock != nil {
		now = g.Clock
	}
	t := now().UTC()
	return 60*t.Hour() + t.Minute()
}

// Limits are an account's by the version that this process acts by, or acted by last, and Limited names all accounts that have some.
func (g *Enforcer) Limits(account string) quota.Limit {
	if a := g.p.Load(); a != nil {
		return a.limits[account]
	}
	return quota.Limit{}
}

// Limited names the accounts that have limits, sorted.
func (g *Enforcer) Limited() []string {
	if a := g.p.Load(); a != nil {
		return a.names
	}
	return nil
}

// IsLimited tells whether an account, or one above it, has limits.
func (g *Enforcer) IsLimited(account string) bool {
	a := g.p.Load()
	if a == nil || len(a.limits) == 0 {
		return false
	}
	for ; account != ""; account = namespace.Parent(account) {
		if _, has := a.limits[account]; has {
			return true
		}
	}
	return false
}

// Account is a tenant's by the version that this process acts by, or acted by last; "": the operators'.
func (g *Enforcer) Account(tenant string) string {
	if a := g.p.Load(); a != nil && a.book != nil {
		return a.book.Account(tenant)
	}
	return ""
}

// Pool is the pool that a host is in, and whether this process may know: a host that changes hands is in none, "", and without pools all are in one.
func (g *Enforcer) Pool(host, kind, zone string) string {
	if a := g.p.Load(); a != nil && a.book != nil {
		return a.book.Pool(host, kind, zone)
	}
	return namespace.Main
}

// Explain says what becomes of a request by the version that this process acts by, and why.
func (g *Enforcer) Explain(q namespace.Ask) string {
	a, v := g.look()
	switch {
	case a == nil:
		return "this process acts by no version yet"
	case v.Lapsed && !g.KeepAfterLapse:
		return fmt.Sprintf("its right to act by version %d has lapsed: refused", v.Version)
	}
	s := fmt.Sprintf("version %d", v.Version)
	if v.Lapsed {
		s += ", the last one known"
	}
	if refused, _ := a.refuses(q.Tenant, q.Class); refused {
		return s + "\nrefused by the operators, for its tenant and class"
	}
	if a.book == nil {
		return s + "\nthere are no accounts and no pools: it may go to any host"
	}
	q.Minute = g.minute()
	return s + "\n" + a.book.Explain(q)
}

// Usable says whether a host may get something new.
func (g *Enforcer) Usable(host string) bool {
	a, v := g.look()
	if a == nil || v.Refused {
		return !v.Refused
	}
	_, out := a.out[host]
	return !out
}

func (g *Enforcer) look() (*acting, Verdict) {
	a := g.p.Load()
	if a != nil && g.Now() < a.until {
		return a, Verdict{Version: a.v.Number}
	}
	v := Verdict{Lapsed: true, Refused: !g.KeepAfterLapse}
	if !g.KeepAfterLapse {
		v.Advice = g.LapsedAdvice
	}
	if a != nil {
		v.Version = a.v.Number
	}
	return a, v
}

// ActiveVersion tells by which version this process acts, and for how much longer it may.
func (g *Enforcer) ActiveVersion() (number uint64, left Time) {
	if a := g.p.Load(); a != nil {
		return a.v.Number, max(0, a.until-g.Now())
	}
	return 0, 0
}
