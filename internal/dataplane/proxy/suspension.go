package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/maintenance"
)

// SetSuspended has nothing more go to a host from now on (suspended), or ends that; calls are idempotent. done gets, on the loop, whether any list has
// ever named the host.
func (c *Core) SetSuspended(id string, suspended bool, done func(known bool)) {
	if !c.hosts.suspensions.Known(id) {
		done(false)
		return
	}
	c.applySuspension(id, suspended)
	if c.handover.successor == nil {
		done(true)
		return
	}
	// It is in force here from now on; done waits until it would survive this process. The other process is notified also where nothing
	// changed here: an earlier call may have reached only one of the two.
	c.handover.successor.HostSuspended(id, suspended, func() { done(true) })
}

// HostSuspendedElsewhere applies a suspension, or its end, of the other process of this proxy.
func (c *Core) HostSuspendedElsewhere(id string, suspended bool) { c.applySuspension(id, suspended) }

// applySuspension has a host's suspension, or its end, take effect.
func (c *Core) applySuspension(id string, suspended bool) {
	s := c.hosts.suspensions
	previous, wasSuspended := s.Suspension(id), s.Suspended(id)
	if !s.Set(id, suspended, c.loop.Now()) {
		return
	}
	slog.Info("host_suspended", "host", id, "suspended", suspended)
	if s.Suspended(id) != wasSuspended {
		c.suspensionChanged(id, suspended, previous)
	}
}

// SetFleetSuspensions applies the complete list of hosts that are suspended for the fleet: one that is not on it any more comes back.
func (c *Core) SetFleetSuspensions(ids []string) {
	s := c.hosts.suspensions
	previous := map[string]maintenance.Suspension{}
	for _, id := range s.IDs() {
		previous[id] = s.Suspension(id)
	}
	for _, id := range s.SetFleet(ids, c.loop.Now()) {
		suspended := s.Suspended(id)
		slog.Info("host_suspended", "host", id, "suspended", suspended, "fleet", true)
		c.suspensionChanged(id, suspended, previous[id])
	}
}

// suspensionChanged treats a host as suspended, or as back. ended is the suspension that a host comes back from.
func (c *Core) suspensionChanged(id string, suspended bool, ended maintenance.Suspension) {
	h := c.hosts.byID[id]
	if h == nil || h.listed.State == balancer.Removed {
		return // it takes effect with the next list that names the host
	}
	h.state = c.hosts.effectiveState(h.listed)
	e := h.effectiveEntry()
	if !suspended {
		e.StartedAt = c.startAfterSuspension(h, ended, e.StartedAt)
	}
	c.notifyLocalChange(h.pool, e)
	c.clearUnusableHosts()
	if suspended {
		for r := range h.established {
			c.migrateOffHost(h, r)
		}
	}
}

// startAfterSuspension is when a host that comes back is taken to have started. Discovery may not have said so yet; where it is a guess,
// it is put right once discovery has had its time.
func (c *Core) startAfterSuspension(h *host, ended maintenance.Suspension, listed balancer.Time) balancer.Time {
	start, isGuess := ended.StartAfter(listed, c.loop.Now())
	if isGuess {
		c.loop.After(time.Duration(maintenance.StartUncertainty), func() { c.confirmStart(h, start) })
	}
	return start
}

// confirmStart replaces the guessed start of a host that came back by what discovery says.
func (c *Core) confirmStart(h *host, guessedStart balancer.Time) {
	if c.hosts.byID[h.hostID] != h || h.state != balancer.Ready || h.startedAt >= guessedStart {
		return // it is suspended again, or removed; or discovery has named its start since, and the balancer knows
	}
	suspendedEntry := h.effectiveEntry()
	suspendedEntry.State = balancer.Suspended
	c.notifyLocalChange(h.pool, suspendedEntry, h.effectiveEntry())
}

// migrateOffHost migrates a client off a suspended host, in its turn. The host is restarted next, which would cut it off.
func (c *Core) migrateOffHost(h *host, r *Request) {
	c.loop.After(maintenance.MigrationDelay(r.attributes.ID), func() {
		c.migrations.submit(func() bool {
			_, isOpen := h.established[r]
			if isOpen = isOpen && c.hosts.suspensions.Suspended(h.hostID); isOpen {
				r.migrate(balancer.Cancelled)
			}
			return isOpen
		})
	})
}
