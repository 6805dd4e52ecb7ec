package balancer

// retryForbidden reports whether another attempt could bring a request's effect twice.
func (b *Balancer) retryForbidden(r *request) bool {
	if r.mayHaveRunOn == nil {
		return false
	}
	c := &b.cfg.Classes[r.Class]
	return c.Idempotency == NotIdempotent ||
		c.Idempotency == IdempotentWithKey && b.now >= r.mayHaveRunAt+c.DedupWindow
}

// outsideDedupScope reports whether a host would not discard a repeat of a request that may have run.
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

// clientRetryUnsafe reports whether a request may have run and its client's retry could bring the effect
// twice, so that the client must not learn that a retry is harmless.
func (b *Balancer) clientRetryUnsafe(r *request) bool {
	if r.mayHaveRunOn == nil {
		return false
	}
	c := &b.cfg.Classes[r.Class]
	return c.Idempotency == NotIdempotent ||
		c.Idempotency == IdempotentWithKey && c.DedupScope != ScopeAll
}
