package rules

import (
	"sync/atomic"
	"time"
)

// A right is counted from before it was asked for, on the asker's monotonic clock, less a part for clocks that run apart: one in a hundred
// each. Who gives it counts from when it was asked, and as much more.
const drift = 50

// Until is when a right that was asked for then ends at the one that acts by it.
func Until(asked, within Time) Time { return asked + within - within/drift }

// Lapsed is when whoever gave it then may take it for ended.
func Lapsed(heard, within Time) Time { return heard + within + within/drift }

// compiled is a version ready to be asked.
type compiled struct {
	v      *Version
	refuse map[[2]string]uint32
	out    map[string]struct{}
}

func compile(v *Version) *compiled {
	c := &compiled{v: v, refuse: make(map[[2]string]uint32, len(v.Refuse)), out: make(map[string]struct{}, len(v.Out))}
	for _, r := range v.Refuse {
		c.refuse[[2]string{r.Tenant, r.Class}] = r.Advice
	}
	for _, h := range v.Out {
		c.out[h] = struct{}{}
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

// Gate is what a request is judged by: one value and one deadline, read without a lock.
type Gate struct {
	Now  func() Time
	Keep bool          // a process whose right has lapsed goes by its last version, outside the promise; else it refuses
	Wait time.Duration // advice to those whom a lapsed right refuses

	p atomic.Pointer[acting]
}

// Verdict is the answer to one request, or about one host.
type Verdict struct {
	Refused bool
	Advice  time.Duration
	Version uint64 // by which it was given; 0: by none
	Lapsed  bool   // the right to act by it had ended
}

// Judge says whether a request may be placed.
func (g *Gate) Judge(tenant, class string) (v Verdict) {
	a, v := g.look()
	if a == nil || v.Refused {
		return v
	}
	v.Refused, v.Advice = a.refuses(tenant, class)
	return v
}

// Usable says whether a host may get something new.
func (g *Gate) Usable(host string) bool {
	a, v := g.look()
	if a == nil || v.Refused {
		return !v.Refused
	}
	_, out := a.out[host]
	return !out
}

func (g *Gate) look() (*acting, Verdict) {
	a := g.p.Load()
	if a != nil && g.Now() < a.until {
		return a, Verdict{Version: a.v.Number}
	}
	v := Verdict{Lapsed: true, Refused: !g.Keep}
	if !g.Keep {
		v.Advice = g.Wait
	}
	if a != nil {
		v.Version = a.v.Number
	}
	return a, v
}

// Acting tells by which version this process acts, and for how much longer it may.
func (g *Gate) Acting() (number uint64, left Time) {
	if a := g.p.Load(); a != nil {
		return a.v.Number, max(0, a.until-g.Now())
	}
	return 0, 0
}
