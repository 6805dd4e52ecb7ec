package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/metrics"
)

// ReassignPools puts each host into the pool that it is in by the rules in force, and removes pools that are not used any more.
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

// transferHost takes a host from one pool to another with its open connections and what is known of it: ejection and slow-start budget
// go along, since the host is as it was. Attempts whose line is not written end.
func (c *Core) transferHost(h *host, to *pool) {
	from := h.pool
	h.pool = to
	away := h.effectiveEntry()
	away.State = balancer.Removed
	if from != nil {
		h.lastSnapshot = hostSnapshot(from.balancer, h.hostID)
		c.notifyLocalChange(from, away)
	}
	if to != nil {
		here, known := h.effectiveEntry(), h.lastSnapshot
		c.notify(nil, to, func(now balancer.Time, m Balancer) {
			m.ListReceived(now, balancer.ListLocal, []balancer.ListedHost{here})
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

// hostSnapshot is what a balancer knows of one host; nil: nothing.
func hostSnapshot(m Balancer, host string) (known *balancer.HostSnapshot) {
	for _, s := range m.Snapshot(false).Servers {
		if s.ID == host {
			known = &s
		}
	}
	return known
}

// reassignConnection has an open connection counted by the balancer of the pool that its host is in now.
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

// reportAdopted notifies a balancer of an open connection that it has not placed, with its load where that is known.
func (a *upstreamRequest) reportAdopted(now balancer.Time, m Balancer) {
	attributes := a.request.attributes
	m.ConnectionAdopted(now, attributes, a.host.hostID)
	if a.load > 0 {
		m.Observe(now, attributes.ID, 0, balancer.ObservedLoad, a.load)
	}
}

// placeInPool has a request placed again in another pool: the rules have changed since it came. One that may have run and is not
// idempotent fails, since the other pool's balancer knows nothing of its attempts. number is the attempt that was not begun.
func (c *Core) placeInPool(r *Request, number int, to *pool) {
	r.notifyNotBegun(number, balancer.TooLate, func() bool { return true })
	if to == nil {
		r.rejectOrFail(c.RetryAdvice(), noUsableHost)
		return
	}
	if !r.record.MayPlaceAgain() {
		r.fail(metrics.Failed, retryUnsafe)
		return
	}
	r.pool, r.attemptsInEarlierPools = to, r.attempts
	r.requestPlacement()
}
