package proxy

import (
	"slices"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/maintenance"
)

// RestoreSuspensions restores the known hosts and the suspensions of a snapshot. It is called before
// Run, where a suspension takes effect when an endpoint list contains the host, and in a takeover once
// more after Run; by then SetOtherProcessSuspension has applied the changes since the first call.
func (c *Core) RestoreSuspensions(s *Snapshot) {
	suspensions := c.hosts.suspensions
	for _, id := range s.KnownHosts {
		suspensions.HostListed(id)
	}
	for _, suspension := range s.Suspended {
		wasSuspended := suspensions.Suspended(suspension.ID)
		if suspensions.SetSuspended(suspension.ID, true, suspension.Since) && !wasSuspended {
			c.suspensionChanged(suspension.ID, true, maintenance.Suspension{})
		}
	}
	if s.FleetSuspended != nil {
		c.applyFleetSuspensions(func() []string { return suspensions.RestoreFleetSuspensions(*s.FleetSuspended) })
	}
}

// EndMissingSuspensions ends the suspensions at this proxy that the first snapshot of the other process
// had and its last one, s, has not: an operator resumed the host in between. The other process sends no
// message of a call that came before it knew its partner.
func (c *Core) EndMissingSuspensions(first []maintenance.Suspension, s *Snapshot) {
	for _, suspension := range first {
		sameHost := func(other maintenance.Suspension) bool { return other.ID == suspension.ID }
		if !slices.ContainsFunc(s.Suspended, sameHost) {
			c.SetOtherProcessSuspension(suspension.ID, false)
		}
	}
}

// RestoreResumptions makes hosts that were resumed at another process count as started then, as they do
// there. It is called after Run.
func (c *Core) RestoreResumptions(resumed []ResumedHost) {
	for _, r := range resumed {
		h := c.hosts.byID[r.ID]
		if h == nil || h.state != balancer.Ready || h.startedAt >= r.StartedAt {
			continue
		}
		c.hosts.guessedStarts[r.ID] = r.StartedAt
		entry := h.effectiveEntry()
		entry.StartedAt = r.StartedAt
		c.notifyLocalChange(h.pool, entry)
		c.confirmStartLater(h, r.StartedAt)
	}
}

// RestoreBalancer restores the state of the other process's decision module, s, in this process's.
// The balancer of each pool restores the hosts that it knows. RestoreBalancer is called after Run.
func (c *Core) RestoreBalancer(s balancer.Snapshot) {
	c.notify(nil, c.pools.main, func(now balancer.Time, m Balancer) { m.Restore(now, s) })
	hostsOnly := balancer.Snapshot{Servers: s.Servers}
	for _, p := range c.pools.byName {
		if p != c.pools.main {
			c.notify(nil, p, func(now balancer.Time, m Balancer) { m.Restore(now, hostsOnly) })
		}
	}
}
