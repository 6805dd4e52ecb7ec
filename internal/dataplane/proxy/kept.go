package proxy

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/maintenance"
)

// Kept is what one process of a proxy leaves to the next: what operators have said, the list, and what the module knows.
type Kept struct {
	At        int64             `json:"At"`        // the writer's time as it was written; 0: an earlier version did not say
	Discovery string            `json:"Discovery"` // who gave the list; revisions of another service mean nothing
	Rev       int64             `json:"Rev"`
	Hosts     []HostEntry       `json:"Hosts"`
	Out       []maintenance.Ban `json:"Out"`   // the hosts out by hand
	Known     []string          `json:"Known"` // every host that a call may name
	Memory    balancer.Memory   `json:"Memory"`
}

// What a Kept may hold at most; a file with more is no file of ours.
const (
	mostHosts = 4096
	longestID = 256
)

// clockStep is the least difference between two processes' clocks that is taken for a step of the system's clock between their starts.
const clockStep = int64(time.Second)

// Rebase brings its times into this process's, whose time is now. The two processes' clocks are the system's as each of them started, and that may
// have been set in between, by an hour either way. live says that it was written in this very moment; of a file it is only known that
// it is not from the future.
func (k *Kept) Rebase(now int64, live bool) {
	by := now - k.At
	if k.At > 0 && (by < 0 || live) && (by <= -clockStep || by >= clockStep) {
		slog.Warn("clock_stepped", "between", "processes", "ms", by/1e6)
		k.shift(by)
	}
	for i := range k.Out {
		k.Out[i].Since = min(k.Out[i].Since, now) // a ban holds whatever its time says
	}
}

func (k *Kept) shift(by int64) {
	move := func(times ...*int64) {
		for _, t := range times {
			if *t > 0 {
				*t = max(1, *t+by)
			}
		}
	}
	for i := range k.Out {
		move(&k.Out[i].Since)
	}
	move(&k.Memory.Started, &k.Memory.RateAt)
	for i := range k.Memory.Servers {
		s := &k.Memory.Servers[i]
		move(&s.Until, &s.FailedAt, &s.IllAt, &s.DelayAt, &s.TokensAt, &s.Passed)
	}
}

// Valid tells what makes it unusable. now is the loop's time.
func (k *Kept) Valid(now int64) error {
	if len(k.Hosts) > mostHosts || len(k.Out) > mostHosts || len(k.Known) > 2*mostHosts {
		return fmt.Errorf("%d hosts, %d out, %d known: more than %d", len(k.Hosts), len(k.Out), len(k.Known), mostHosts)
	}
	ids := k.Known
	for _, b := range k.Out {
		ids = append(ids, b.ID)
		if b.Since > now {
			return fmt.Errorf("host %.40q is out from a time to come", b.ID)
		}
	}
	for _, id := range ids {
		if id == "" || len(id) > longestID {
			return fmt.Errorf("an id of %d bytes", len(id))
		}
	}
	for _, e := range k.Hosts {
		if e.ID == "" || len(e.ID) > longestID || len(e.Endpoint) > longestID || e.State < balancer.Ready || e.State > balancer.Departed ||
			math.IsNaN(e.Weight) || e.Weight < 0 || e.Since < 0 {
			return fmt.Errorf("host %.40q: not as a list has it", e.ID)
		}
	}
	return nil
}

// Inherit takes over what operators have said. It comes before Run.
func (c *Core) Inherit(k *Kept) {
	for _, id := range k.Known {
		c.suspended.Listed(id)
	}
	for _, b := range k.Out {
		c.suspended.Set(b.ID, true, b.Since)
	}
}

// Recall has the module take over what the other process's knew. It comes after Run.
func (c *Core) Recall(m balancer.Memory) {
	c.tell(nil, c.main, func(now balancer.Time, d Decider) { d.Recall(now, m) })
}

// Keep is what the next process is to know. With yield, this one gives up its cold budgets.
func (c *Core) Keep(yield bool) *Kept {
	k := &Kept{At: c.loop.Now(), Out: c.suspended.All(), Known: c.suspended.IDs(), Memory: c.main.module.Remember(yield)}
	for _, p := range c.pools {
		if p != c.main {
			k.Memory.Servers = append(k.Memory.Servers, p.module.Remember(yield).Servers...)
		}
	}
	for id, h := range c.hosts {
		if h.listed.State != balancer.Departed {
			k.Hosts = append(k.Hosts, HostEntry{Entry: h.listed, Endpoint: h.endpoint})
			k.Hosts[len(k.Hosts)-1].ID = id
		}
	}
	return k
}

// Keeper is told of what must outlive this process.
type Keeper interface {
	// ByHand tells of an operator's word; done is called on the loop once it is kept, or can't be.
	ByHand(id string, out bool, done func())
	// Listed tells that the list has changed.
	Listed()
	// Standing hands an open connection to the next process; goodbye is for its client should that fail. done is called on
	// the loop once the connection has left this process: until then it must not end.
	Standing(s *Standing, goodbye []byte, done func())
	// CanHand tells whether there is a next process that takes connections now.
	CanHand() bool
}

// SetKeeper names who keeps what must outlive this process.
func (c *Core) SetKeeper(k Keeper) { c.keeper = k }

// ToldByHand takes an operator's word that another process of this proxy was told.
func (c *Core) ToldByHand(id string, out bool) {
	c.setByHand(id, out)
}

// HandOver says that another process of this proxy takes what comes from now on, or, with false, that it is gone.
func (c *Core) HandOver(over bool) { c.handed = over }

// Elsewhere says how many downstreams another process of this proxy holds: they share the descriptors.
func (c *Core) Elsewhere(n int) { c.elsewhere = n }
