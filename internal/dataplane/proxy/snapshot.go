package proxy

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/maintenance"
)

// What makes a Snapshot unusable.
var (
	errTooManyHosts     = errors.New("snapshot: too many hosts")
	errHostIDLength     = errors.New("snapshot: host ID of an impossible length")
	errFutureSuspension = errors.New("snapshot: host suspended in the future")
	errImplausibleHost  = errors.New("snapshot: address, state, weight or start of a host out of range")
)

// Snapshot is what one process of a proxy leaves to the next: suspensions, the endpoint list, and what the decision module knows.
type Snapshot struct {
	WrittenAt  int64                    `json:"At"`        // ns, the writer's time as it was written; 0: an earlier version did not say
	Discovery  string                   `json:"Discovery"` // address of who gave the list; revisions of another service mean nothing
	Revision   int64                    `json:"Rev"`
	Hosts      []HostEntry              `json:"Hosts"`
	Suspended  []maintenance.Suspension `json:"Out"`   // the hosts that are suspended at this proxy
	KnownHosts []string                 `json:"Known"` // every host that a call may name
	Balancer   balancer.Snapshot        `json:"Memory"`
}

// Bounds of a Snapshot; one beyond them was not written by this program.
const (
	maxHosts    = 4096
	maxIDLength = 256 // bytes
)

// minClockStep is the least difference, in nanoseconds, between two processes' clocks that is taken for a step of the system's clock
// between their starts.
const minClockStep = int64(time.Second)

// Rebase brings its times into this process's, whose time is now, in nanoseconds. The two processes' clocks are the system's as each of
// them started, and that may have been set in between, by an hour either way. live says that it was written at this moment; of a file it
// is only known that it is not from the future.
func (s *Snapshot) Rebase(now int64, live bool) {
	offset := now - s.WrittenAt
	if s.WrittenAt > 0 && (offset < 0 || live) && (offset <= -minClockStep || offset >= minClockStep) {
		slog.Warn("clock_stepped", "between", "processes", "ms", offset/1e6)
		s.shift(offset)
	}
	for i := range s.Suspended {
		s.Suspended[i].Since = min(s.Suspended[i].Since, now) // a suspension is in force whatever its time says
	}
}

// shift moves all times by some nanoseconds; 0 stays "never".
func (s *Snapshot) shift(offset int64) {
	shiftAll := func(times ...*int64) {
		for _, t := range times {
			if *t > 0 {
				*t = max(1, *t+offset)
			}
		}
	}
	for i := range s.Suspended {
		shiftAll(&s.Suspended[i].Since)
	}
	shiftAll(&s.Balancer.Started, &s.Balancer.RateAt)
	for i := range s.Balancer.Servers {
		h := &s.Balancer.Servers[i]
		shiftAll(&h.Until, &h.FailedAt, &h.IllAt, &h.DelayAt, &h.TokensAt, &h.Passed)
	}
}

// Check gives an error that names what makes the snapshot unusable. now is the loop's time.
func (s *Snapshot) Check(now int64) error {
	if len(s.Hosts) > maxHosts || len(s.Suspended) > maxHosts || len(s.KnownHosts) > 2*maxHosts {
		return fmt.Errorf("%w: %d listed, %d suspended, %d known; at most %d", errTooManyHosts, len(s.Hosts), len(s.Suspended), len(s.KnownHosts), maxHosts)
	}
	for _, suspension := range s.Suspended {
		if suspension.Since > now {
			return fmt.Errorf("%w: %.40q", errFutureSuspension, suspension.ID)
		}
	}
	if err := s.checkIDs(); err != nil {
		return err
	}
	for _, e := range s.Hosts {
		if !e.isPlausible() {
			return fmt.Errorf("%w: %.40q", errImplausibleHost, e.ID)
		}
	}
	return nil
}

// checkIDs checks the IDs that operators' calls have named.
func (s *Snapshot) checkIDs() error {
	check := func(id string) error {
		if id == "" || len(id) > maxIDLength {
			return fmt.Errorf("%w: %d bytes, expected 1 to %d", errHostIDLength, len(id), maxIDLength)
		}
		return nil
	}
	for _, id := range s.KnownHosts {
		if err := check(id); err != nil {
			return err
		}
	}
	for _, suspension := range s.Suspended {
		if err := check(suspension.ID); err != nil {
			return err
		}
	}
	return nil
}

// isPlausible reports whether the entry can have been in an endpoint list.
func (e *HostEntry) isPlausible() bool {
	return e.ID != "" && len(e.ID) <= maxIDLength && len(e.Address) <= maxIDLength &&
		e.State >= balancer.Ready && e.State <= balancer.Removed &&
		!math.IsNaN(e.Weight) && e.Weight >= 0 && e.StartedAt >= 0
}

// RestoreSuspensions takes over the suspensions, for hosts that a list names later. It comes before Run, and in a takeover once more after it; by then
// HostSuspendedElsewhere has applied what has changed since.
func (c *Core) RestoreSuspensions(s *Snapshot) {
	for _, id := range s.KnownHosts {
		c.hosts.suspensions.HostListed(id)
	}
	for _, suspension := range s.Suspended {
		c.hosts.suspensions.Set(suspension.ID, true, suspension.Since)
	}
}

// RestoreBalancer has the decision module take over what the other process's knew. It comes after Run.
func (c *Core) RestoreBalancer(s balancer.Snapshot) {
	c.notify(nil, c.pools.main, func(now balancer.Time, m Balancer) { m.Restore(now, s) })
}

// Snapshot is what the next process is to know. With yield, this one gives up its slow-start budgets.
func (c *Core) Snapshot(yield bool) *Snapshot {
	s := &Snapshot{
		WrittenAt:  c.loop.Now(),
		Suspended:  c.hosts.suspensions.All(),
		KnownHosts: c.hosts.suspensions.IDs(),
		Balancer:   c.pools.main.balancer.Snapshot(yield),
	}
	for _, p := range c.pools.byName {
		if p != c.pools.main {
			s.Balancer.Servers = append(s.Balancer.Servers, p.balancer.Snapshot(yield).Servers...)
		}
	}
	for id, h := range c.hosts.byID {
		if h.listed.State == balancer.Removed {
			continue
		}
		e := HostEntry{ListedHost: h.listed, Address: h.address}
		e.ID = id
		s.Hosts = append(s.Hosts, e)
	}
	return s
}
