package proxy

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/maintenance"
)

// Snapshot is what one process of a proxy leaves to the next: what operators have said, the list, and what the module knows.
type Snapshot struct {
	At         int64                    `json:"At"`        // the writer's time as it was written; 0: an earlier version did not say
	Discovery  string                   `json:"Discovery"` // who gave the list; revisions of another service mean nothing
	Revision   int64                    `json:"Rev"`
	Hosts      []HostEntry              `json:"Hosts"`
	Suspended  []maintenance.Suspension `json:"Out"`   // the hosts out by hand
	KnownHosts []string                 `json:"Known"` // every host that a call may name
	Balancer   balancer.Snapshot        `json:"Memory"`
}

// What a Kept may hold at most; a file with more is no file of ours.
const (
	maxHosts    = 4096
	maxIDLength = 256
)

// minClockStep is the least difference between two processes' clocks that is taken for a step of the system's clock between their starts.
const minClockStep = int64(time.Second)

// Rebase brings its times into this process's, whose time is now. The two processes' clocks are the system's as each of them started, and that may
// have been set in between, by an hour either way. live says that it was written in this very moment; of a file it is only known that
// it is not from the future.
func (k *Snapshot) Rebase(now int64, live bool) {
	by := now - k.At
	if k.At > 0 && (by < 0 || live) && (by <= -minClockStep || by >= minClockStep) {
		slog.Warn("clock_stepped", "between", "processes", "ms", by/1e6)
		k.shift(by)
	}
	for i := range k.Suspended {
		k.Suspended[i].Since = min(k.Suspended[i].Since, now) // a ban holds whatever its time says
	}
}

func (k *Snapshot) shift(by int64) {
	move := func(times ...*int64) {
		for _, t := range times {
			if *t > 0 {
				*t = max(1, *t+by)
			}
		}
	}
	for i := range k.Suspended {
		move(&k.Suspended[i].Since)
	}
	move(&k.Balancer.Started, &k.Balancer.RateAt)
	for i := range k.Balancer.Servers {
		s := &k.Balancer.Servers[i]
		move(&s.Until, &s.FailedAt, &s.IllAt, &s.DelayAt, &s.TokensAt, &s.Passed)
	}
}

// Check tells what makes it unusable. now is the loop's time.
func (k *Snapshot) Check(now int64) error {
	if len(k.Hosts) > maxHosts || len(k.Suspended) > maxHosts || len(k.KnownHosts) > 2*maxHosts {
		return fmt.Errorf("%d hosts, %d out, %d known: more than %d", len(k.Hosts), len(k.Suspended), len(k.KnownHosts), maxHosts)
	}
	ids := k.KnownHosts
	for _, b := range k.Suspended {
		ids = append(ids, b.ID)
		if b.Since > now {
			return fmt.Errorf("host %.40q is out from a time to come", b.ID)
		}
	}
	for _, id := range ids {
		if id == "" || len(id) > maxIDLength {
			return fmt.Errorf("an id of %d bytes", len(id))
		}
	}
	for _, e := range k.Hosts {
		if e.ID == "" || len(e.ID) > maxIDLength || len(e.Address) > maxIDLength || e.State < balancer.Ready || e.State > balancer.Removed ||
			math.IsNaN(e.Weight) || e.Weight < 0 || e.StartedAt < 0 {
			return fmt.Errorf("host %.40q: not as a list has it", e.ID)
		}
	}
	return nil
}

// Inherit takes over what operators have said. It comes before Run.
func (c *Core) Inherit(k *Snapshot) {
	for _, id := range k.KnownHosts {
		c.suspended.HostListed(id)
	}
	for _, b := range k.Suspended {
		c.suspended.Set(b.ID, true, b.Since)
	}
}

// RestoreBalancer has the module take over what the other process's knew. It comes after Run.
func (c *Core) RestoreBalancer(m balancer.Snapshot) {
	c.notify(nil, c.main, func(now balancer.Time, d Balancer) { d.Restore(now, m) })
}

// Snapshot is what the next process is to know. With yield, this one gives up its cold budgets.
func (c *Core) Snapshot(yield bool) *Snapshot {
	k := &Snapshot{At: c.loop.Now(), Suspended: c.suspended.All(), KnownHosts: c.suspended.IDs(), Balancer: c.main.balancer.Snapshot(yield)}
	for _, p := range c.pools {
		if p != c.main {
			k.Balancer.Servers = append(k.Balancer.Servers, p.balancer.Snapshot(yield).Servers...)
		}
	}
	for id, h := range c.hosts {
		if h.listed.State != balancer.Removed {
			k.Hosts = append(k.Hosts, HostEntry{ListedHost: h.listed, Address: h.address})
			k.Hosts[len(k.Hosts)-1].ID = id
		}
	}
	return k
}

// Successor is told of what must outlive this process.
type Successor interface {
	// HostSuspended tells of an operator's word; done is called on the loop once it is kept, or can't be.
	HostSuspended(id string, out bool, done func())
	// ListChanged tells that the list has changed.
	ListChanged()
	// HandOver hands an open connection to the next process; goodbye is for its client should that fail. done is called on
	// the loop once the connection has left this process: until then it must not end.
	HandOver(s *HandedOverConnection, goodbye []byte, done func())
	// Accepts tells whether there is a next process that takes connections now.
	Accepts() bool
}

// SetSuccessor names who keeps what must outlive this process.
func (c *Core) SetSuccessor(k Successor) { c.successor = k }

// HostSuspendedElsewhere takes an operator's word that another process of this proxy was told.
func (c *Core) HostSuspendedElsewhere(id string, out bool) {
	c.applySuspension(id, out)
}

// SetHandedOver says that another process of this proxy takes what comes from now on, or, with false, that it is gone.
func (c *Core) SetHandedOver(over bool) { c.handedOver = over }
