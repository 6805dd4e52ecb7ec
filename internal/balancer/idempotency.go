package balancer

// hostOrUnknown returns the host with an ID, or, if there is none, a host outside all dedup scopes.
func (b *Balancer) hostOrUnknown(id string) *host {
	if h := b.byID[id]; h != nil {
		return h
	}
	const noZone, noCell = -1, -1
	return &host{hostID: id, zone: noZone, cell: noCell}
}

// retryForbidden reports whether another attempt could apply a request twice: an earlier attempt may
// have run, and hosts do not discard a repeat.
func (b *Balancer) retryForbidden(r *request) bool {
	if r.mayHaveRunOn == nil {
		return false
	}
	c := &b.cfg.Classes[r.Class]
	return c.Idempotency == NotIdempotent ||
		c.Idempotency == IdempotentWithKey && b.now >= r.mayHaveRunAt+c.DedupWindow
}

// outsideDedupScope reports whether a request may have run and h would not discard a repeat of it,
// because h is outside the dedup scope of the request's idempotency key. It returns false if the
// request has no key that hosts check (Idempotency is not IdempotentWithKey).
func (b *Balancer) outsideDedupScope(h *host, r *request) bool {
	if r.mayHaveRunOn == nil {
		return false
	}
	c := &b.cfg.Classes[r.Class]
	if c.Idempotency != IdempotentWithKey {
		return false
	}
	switch c.DedupScope {
	case ScopeZone:
		return h.zone != r.mayHaveRunOn.zone
	case ScopeCell:
		return h.cell != r.mayHaveRunOn.cell
	}
	return false
}

// clientRetryUnsafe reports whether a request may have run and a retry by its client could apply it
// twice. In that case the client must not be told that a retry is harmless.
func (b *Balancer) clientRetryUnsafe(r *request) bool {
	if r.mayHaveRunOn == nil {
		return false
	}
	c := &b.cfg.Classes[r.Class]
	return c.Idempotency == NotIdempotent ||
		c.Idempotency == IdempotentWithKey && c.DedupScope != ScopeAll
}
