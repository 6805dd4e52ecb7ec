package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/metrics"
)

// ReassignPools moves each host to the pool, the subset of hosts with one balancer, that the rules
// in force assign it to, and removes pools that are not used any more. It also counts open
// connections against limits that are new to their accounts.
func (c *Core) ReassignPools() {
	c.countExistingConnections()
	reassigned := 0
	for _, h := range c.hosts.byID {
		if to := c.assignedPool(h); h.pool != to {
			c.transferHost(h, to)
			reassigned++
		}
	}
	c.pools.removeUnused(c.usedPools())
	if reassigned > 0 {
		slog.Info("hosts_reassigned", "hosts", reassigned, "pools", len(c.pools.byName))
	}
}

// transferHost moves a host to another pool, with its open connections. Its ejection and slow-start
// budget (how much it may get while it warms up) move too, since the host itself has not changed.
// Attempts of requests of the old pool end if their first line is not written yet. If to is nil,
// the host is between two pools, and keeps the snapshot of the old pool's balancer until the next
// transfer.
func (c *Core) transferHost(h *host, to *pool) {
	from := h.pool
	h.pool = to
	removed := h.effectiveEntry()
	removed.State = balancer.Removed
	if from != nil {
		h.lastSnapshot = hostSnapshot(from.balancer, h.hostID)
		c.notifyLocalChange(from, removed)
	}
	if to != nil {
		entry, known := h.effectiveEntry(), h.lastSnapshot
		c.notify(nil, to, func(now balancer.Time, m Balancer) {
			m.ListReceived(now, balancer.ListLocal, []balancer.ListedHost{entry})
			if known != nil {
				m.Restore(now, balancer.Snapshot{Servers: []balancer.HostSnapshot{*known}})
			}
		})
	}
	h.stopUnsentAttempts(func(a *upstreamRequest) bool { return a.request.pool == from })
	for r := range h.established {
		c.reassignConnection(r)
	}
}

// hostSnapshot returns what a balancer knows of one host, or nil if it does not know the host.
func hostSnapshot(m Balancer, host string) (known *balancer.HostSnapshot) {
	for _, s := range m.Snapshot(false).Servers {
		if s.ID == host {
			known = &s
		}
	}
	return known
}

// reassignConnection makes the balancer of the pool that the connection's host is in now count the
// connection, instead of the balancer that counted it before.
func (c *Core) reassignConnection(r *Request) {
	a, from := r.attempt, r.pool
	if a == nil || !a.established || a.host.pool == from {
		return
	}
	to := a.host.pool
	number, elapsed := a.number, c.loop.Now()-a.startedAt
	r.pool, r.attemptsInEarlierPools, a.number = to, r.attempts-1, 0
	c.notify(nil, from, func(now balancer.Time, m Balancer) {
		m.AttemptEnded(now, balancer.AttemptResult{RequestID: r.attributes.ID, Attempt: number, Status: balancer.Cancelled, Elapsed: elapsed, Closed: true})
	})
	c.notify(nil, to, a.reportAdopted)
}

// reportAdopted notifies a balancer of an open connection that it has not placed, and of its load
// if that is known.
func (a *upstreamRequest) reportAdopted(now balancer.Time, m Balancer) {
	attributes := a.request.attributes
	m.ConnectionAdopted(now, attributes, a.host.hostID)
	if a.load > 0 {
		m.Observe(now, attributes.ID, 0, balancer.ObservedLoad, a.load)
	}
}

// placeInPool places a request again in another pool, because the rules have changed since the
// request came. A request that may have run and is not idempotent fails, since the other pool's
// balancer does not know its attempts. number is the attempt in the old pool that was not begun. If
// to is nil, no pool has a usable host, and the request is rejected or fails.
func (c *Core) placeInPool(r *Request, number int, to *pool) {
	r.notifyNotBegun(number, balancer.TooLate, func() bool { return true })
	if to == nil {
		r.rejectOrFail(c.DefaultRetryAfter(), noUsableHost)
		return
	}
	if !r.record.MayPlaceAgain() {
		r.fail(metrics.Failed, retryUnsafe)
		return
	}
	r.pool, r.attemptsInEarlierPools = to, r.attempts
	r.requestPlacement()
}
