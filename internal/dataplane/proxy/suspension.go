package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/maintenance"
)

// SetSuspended suspends a host, so that it gets no new requests, or ends its suspension. It is
// idempotent. It calls done on the loop. known is false if no list has ever contained the host,
// which changes nothing. Otherwise known is true, and done is called once the change is stored for
// the next process or storing it has failed. Without a Successor it calls done at once.
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
	// The change is in force here from now on. done is called once the change is stored. The other
	// process of a hot restart is notified even if nothing changed here, because an earlier call
	// may have reached only one of the two.
	c.handover.successor.HostSuspended(id, suspended, func() { done(true) })
}

// SetOtherProcessSuspension applies a suspension, or its end, that was set in the other process of
// this proxy.
func (c *Core) SetOtherProcessSuspension(id string, suspended bool) { c.applySuspension(id, suspended) }

// applySuspension suspends a host or ends its suspension in this process.
func (c *Core) applySuspension(id string, suspended bool) {
	suspensions := c.hosts.suspensions
	previous, wasSuspended := suspensions.Suspension(id), suspensions.Suspended(id)
	if !suspensions.SetSuspended(id, suspended, c.loop.Now()) {
		return
	}
	slog.Info("host_suspended", "host", id, "suspended", suspended)
	if suspensions.Suspended(id) != wasSuspended {
		c.suspensionChanged(id, suspended, previous)
	}
}

// SetFleetSuspensions applies the complete list of hosts that operators have suspended for the fleet,
// which is all proxies. The fleet's suspension of a host that is not in ids ends.
func (c *Core) SetFleetSuspensions(ids []string) {
	if c.applyFleetSuspensions(func() []string { return c.hosts.suspensions.SetFleetSuspensions(ids, c.loop.Now()) }) && c.handover.successor != nil {
		c.handover.successor.ListChanged()
	}
}

// applyFleetSuspensions replaces the fleet's suspensions by calling replace, which returns the IDs of the
// hosts that are suspended or resumed by it, and applies the change to the hosts. It reports whether
// there was a change.
func (c *Core) applyFleetSuspensions(replace func() (changed []string)) bool {
	suspensions := c.hosts.suspensions
	previous := map[string]maintenance.Suspension{}
	for _, id := range suspensions.KnownHosts() {
		previous[id] = suspensions.Suspension(id)
	}
	wasKnown := c.hosts.fleetListKnown
	c.hosts.fleetListKnown = true
	changed := replace()
	for _, id := range changed {
		suspended := suspensions.Suspended(id)
		slog.Info("host_suspended", "host", id, "suspended", suspended, "fleet", true)
		c.suspensionChanged(id, suspended, previous[id])
	}
	return !wasKnown || len(changed) > 0
}

// FleetSuspensionsKnown reports whether this process has a list of the hosts that are suspended for the
// fleet, which may be empty.
func (c *Core) FleetSuspensionsKnown() bool { return c.hosts.fleetListKnown }

// suspensionChanged applies the effective state of a host whose suspension has begun or ended.
// If suspended is false, ended is the suspension that has ended; otherwise it has no meaning.
func (c *Core) suspensionChanged(id string, suspended bool, ended maintenance.Suspension) {
	h := c.hosts.byID[id]
	if h == nil || h.listed.State == balancer.Removed {
		return // the change takes effect with the next list that contains the host
	}
	h.state = c.hosts.effectiveState(h.listed)
	entry := h.effectiveEntry()
	if !suspended {
		entry.StartedAt = c.startAfterSuspension(h, ended, entry.StartedAt)
	}
	c.notifyLocalChange(h.pool, entry)
	c.clearUnusableHosts()
	if suspended {
		for r := range h.established {
			c.migrateOffHost(h, r)
		}
	}
}

// startAfterSuspension returns the assumed start of a host whose suspension has ended. A suspended
// host is usually restarted, and the discovery service may not have reported that yet. listed is the latest
// start that it has reported. If the result is a guess, confirmStart corrects it after
// maintenance.StartUncertainty.
func (c *Core) startAfterSuspension(h *host, ended maintenance.Suspension, listed balancer.Time) balancer.Time {
	start, isGuess := ended.StartOnResume(listed, c.loop.Now())
	if isGuess {
		c.hosts.guessedStarts[h.hostID] = start
		c.confirmStartLater(h, start)
	}
	return start
}

// confirmStartLater calls confirmStart once the discovery service must have reported a restart of the
// host during its suspension.
func (c *Core) confirmStartLater(h *host, guessedStart balancer.Time) {
	after := max(0, guessedStart+maintenance.StartUncertainty-c.loop.Now())
	c.loop.After(time.Duration(after), func() { c.confirmStart(h, guessedStart) })
}

// confirmStart replaces the guessed start of a host whose suspension has ended by the start that
// the discovery service reports.
func (c *Core) confirmStart(h *host, guessedStart balancer.Time) {
	if c.hosts.guessedStarts[h.hostID] == guessedStart {
		delete(c.hosts.guessedStarts, h.hostID)
	}
	if c.hosts.byID[h.hostID] != h || h.state != balancer.Ready || h.startedAt >= guessedStart {
		// The host is suspended again or removed, or the discovery service has reported its start since and
		// the balancer knows it.
		return
	}
	suspendedEntry := h.effectiveEntry()
	suspendedEntry.State = balancer.Suspended
	c.notifyLocalChange(h.pool, suspendedEntry, h.effectiveEntry())
}

// migrateOffHost migrates the client of r off a suspended host, after maintenance.MigrationDelay
// and once the pacer permits it, if the host is still suspended then. A suspended host is restarted
// next, which would break the connection.
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
