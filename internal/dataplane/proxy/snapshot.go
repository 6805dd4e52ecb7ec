package proxy

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/fleet/quota"
	"croftlock/internal/fleet/rules"
	"croftlock/internal/fleet/watermark"
	"croftlock/internal/operations/maintenance"
)

// Reasons for which Snapshot.Check rejects a Snapshot.
var (
	errTooManyHosts     = errors.New("snapshot: too many hosts")
	errTooManyOpenIDs   = errors.New("snapshot: too many IDs of requests")
	errRequestIDLength  = errors.New("snapshot: request ID length out of range")
	errHostIDLength     = errors.New("snapshot: host ID length out of range")
	errFutureSuspension = errors.New("snapshot: host suspended in the future")
	errImplausibleHost  = errors.New("snapshot: address, state, weight or start of a host out of range")
)

// Snapshot is the state that one process of a proxy passes to the next: suspensions, the endpoint
// list, and the decision module's state.
type Snapshot struct {
	WrittenAt int64  `json:"At"`        // ns on the writer's clock; 0 if written by an earlier version
	Discovery string `json:"Discovery"` // address of the service that sent the list; Revision is only valid for it
	// StartDiscovery is the address that the writer was configured with at its start, if a reload has
	// moved the discovery service since; otherwise it is empty.
	StartDiscovery string                   `json:"StartDiscovery,omitempty"`
	Revision       int64                    `json:"Rev"` // of the endpoint list, as the discovery service numbers it; negative if there is no list
	Hosts          []HostEntry              `json:"Hosts"`
	Suspended      []maintenance.Suspension `json:"Out"`   // hosts that operators suspended by calls at this proxy, not for the fleet of all proxies
	KnownHosts     []string                 `json:"Known"` // every host that an operator's call may suspend or resume
	Balancer       balancer.Snapshot        `json:"Memory"`
	// FleetSuspended holds the hosts that operators suspended for the fleet. It is nil if the writer knows
	// no such list, or is of an earlier build.
	FleetSuspended *[]maintenance.Suspension `json:"FleetOut,omitempty"`
	// Resumed holds the hosts whose suspension has ended and whose start is a guess since then.
	Resumed []ResumedHost `json:"Resumed,omitempty"`
	// Watermarks holds the watermarks of other proxies' newer endpoint lists. It is nil if there are none.
	Watermarks *watermark.Received `json:"Watermarks,omitempty"`
	// OpenIDs holds the IDs of the writer's requests. It is set only in a snapshot that a running process
	// sends to the next one.
	OpenIDs []string `json:"OpenIDs,omitempty"`
	// UsedIDs holds the IDs of the writer's ended requests that may not simply run again, the oldest first.
	// It is set as OpenIDs is. It is nil if an earlier build wrote the snapshot.
	UsedIDs []UsedID `json:"UsedIDs,omitempty"`
	// Rules is the version of the fleet's rules that the writer acts by, with the rest of its lease. It
	// is nil if rules are off, before the first version, or if an earlier build wrote the snapshot.
	Rules *rules.HeldLease `json:"Rules,omitempty"`
	// Quota holds the grants of quotas that the writer gives up to the next process. It is set only in the
	// last snapshot that a process sends before the next one serves.
	Quota *quota.Grants `json:"Quota,omitempty"`
}

// ResumedHost is a host that counts as started at the end of its suspension, because the discovery
// service has not reported its start since.
type ResumedHost struct {
	ID        string `json:"ID"`
	StartedAt int64  `json:"At"` // ns on the writer's clock
}

// fleetSuspended returns the hosts that operators suspended for the fleet, as far as the writer knows.
func (s *Snapshot) fleetSuspended() []maintenance.Suspension {
	if s.FleetSuspended == nil {
		return nil
	}
	return *s.FleetSuspended
}

// suspensions returns pointers to all suspensions.
func (s *Snapshot) suspensions() (all []*maintenance.Suspension) {
	for _, list := range [][]maintenance.Suspension{s.Suspended, s.fleetSuspended()} {
		for i := range list {
			all = append(all, &list[i])
		}
	}
	return all
}

// Bounds of a Snapshot. This program does not write one that exceeds them.
const (
	maxHosts    = 4096 // listed, and suspended; known hosts may be twice as many
	maxOpenIDs  = 4096
	maxIDLength = 256 // bytes
)

// minClockStep is the minimum difference, in nanoseconds, between two processes' clocks that counts
// as a step of the system's clock (someone set it) between their starts. A smaller one is ignored.
const minClockStep = int64(time.Second)

// Rebase converts the times of the snapshot to this process's clock, which reads now, in
// nanoseconds. Each process's clock starts at the system's time, which may have been set in
// between, by as much as an hour in either direction. live reports whether a running process wrote
// the snapshot just now. The age of a snapshot from a file is unknown, so only one from the future
// is converted.
func (s *Snapshot) Rebase(now int64, live bool) {
	offset := now - s.WrittenAt
	if s.WrittenAt > 0 && (offset < 0 || live) && (offset <= -minClockStep || offset >= minClockStep) {
		slog.Warn("clock_stepped", "between", "processes", "ms", offset/1e6)
		s.shift(offset)
	}
	if !live { // how long ago the state was stored is unknown
		s.Watermarks = nil
		if s.Rules != nil {
			s.Rules.Remaining = 0
		}
	}
	for _, suspension := range s.suspensions() {
		suspension.Since = min(suspension.Since, now) // a suspension is in force even if its time is in the future
	}
	for i := range s.Resumed {
		s.Resumed[i].StartedAt = min(s.Resumed[i].StartedAt, now)
	}
}

// shift adds offset nanoseconds to all times. A zero time, which means never, stays zero.
func (s *Snapshot) shift(offset int64) {
	shiftAll := func(times ...*int64) {
		for _, t := range times {
			if *t > 0 {
				*t = max(1, *t+offset)
			}
		}
	}
	for _, suspension := range s.suspensions() {
		shiftAll(&suspension.Since)
	}
	for i := range s.Resumed {
		shiftAll(&s.Resumed[i].StartedAt)
	}
	for i := range s.UsedIDs {
		shiftAll(&s.UsedIDs[i].Run.At)
	}
	shiftAll(&s.Balancer.Started, &s.Balancer.RateAt)
	for i := range s.Balancer.Servers {
		h := &s.Balancer.Servers[i]
		shiftAll(&h.Until, &h.FailedAt, &h.IllAt, &h.DelayAt, &h.TokensAt, &h.Passed)
	}
}

// Check returns an error that describes why the snapshot is unusable, or nil if it is usable. now
// is the loop's time.
func (s *Snapshot) Check(now int64) error {
	if max(len(s.Hosts), len(s.Suspended), len(s.fleetSuspended()), len(s.Resumed)) > maxHosts || len(s.KnownHosts) > 2*maxHosts {
		return fmt.Errorf("%w: %d listed, %d suspended, %d suspended for the fleet and %d resumed, at most %d each; %d known, at most %d", errTooManyHosts,
			len(s.Hosts), len(s.Suspended), len(s.fleetSuspended()), len(s.Resumed), maxHosts, len(s.KnownHosts), 2*maxHosts)
	}
	if len(s.OpenIDs) > maxOpenIDs || len(s.UsedIDs) > maxUsedIDs {
		return fmt.Errorf("%w: %d open, at most %d; %d used, at most %d", errTooManyOpenIDs, len(s.OpenIDs), maxOpenIDs, len(s.UsedIDs), maxUsedIDs)
	}
	for _, suspension := range s.suspensions() {
		if suspension.Since > now {
			return fmt.Errorf("%w: %.40q at %d ns, now %d ns", errFutureSuspension, suspension.ID, suspension.Since, now)
		}
	}
	if err := s.checkIDs(); err != nil {
		return err
	}
	for _, e := range s.Hosts {
		if !e.isPlausible() {
			return fmt.Errorf("%w: %.40q: address of %d bytes, state %d, weight %v, start %d", errImplausibleHost,
				e.ID, len(e.Address), e.State, e.Weight, e.StartedAt)
		}
	}
	return nil
}

// checkIDs checks the lengths of the IDs of known and suspended hosts, and of used IDs of requests.
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
	for _, suspension := range s.suspensions() {
		if err := check(suspension.ID); err != nil {
			return err
		}
	}
	for _, used := range s.UsedIDs {
		if used.ID == "" || len(used.ID) > maxIDLength {
			return fmt.Errorf("%w: %d bytes, expected 1 to %d", errRequestIDLength, len(used.ID), maxIDLength)
		}
	}
	return nil
}

// isPlausible reports whether the entry has values that an endpoint list may contain.
func (e *HostEntry) isPlausible() bool {
	return e.ID != "" && len(e.ID) <= maxIDLength && len(e.Address) <= maxIDLength &&
		e.State >= balancer.Ready && e.State <= balancer.Removed &&
		!math.IsNaN(e.Weight) && e.Weight >= 0 && e.StartedAt >= 0
}

// Snapshot returns the state for the next process, without Discovery and Revision, which the caller
// sets. If yield is true, this process gives up its slow-start budgets (how much it may still
// place on hosts that are warming up) to the next one.
func (c *Core) Snapshot(yield bool) *Snapshot {
	s := &Snapshot{
		WrittenAt:  c.loop.Now(),
		Suspended:  c.hosts.suspensions.LocalSuspensions(),
		KnownHosts: c.hosts.suspensions.KnownHosts(),
		Balancer:   c.pools.main.balancer.Snapshot(yield),
	}
	if c.hosts.fleetListKnown {
		fleetWide := c.hosts.suspensions.FleetSuspensions()
		s.FleetSuspended = &fleetWide
	}
	for id, startedAt := range c.hosts.guessedStarts {
		s.Resumed = append(s.Resumed, ResumedHost{ID: id, StartedAt: startedAt})
	}
	if c.fleet.enforcer != nil {
		s.Rules = c.fleet.enforcer.HeldLease()
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
