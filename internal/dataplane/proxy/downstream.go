package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/metrics"
)

// FromDownstream relays a client's message to its host; false: not now.
func (r *Request) FromDownstream(m Message) bool {
	a := r.attempt
	if a == nil || !a.established {
		return false
	}
	if !a.conn.Relay(m) {
		return false
	}
	if len(a.unansweredSince) < maxUnansweredLines {
		a.unansweredSince = append(a.unansweredSince, r.core.loop.Now())
	}
	return true
}

// DownstreamReady says that the client takes bytes again.
func (r *Request) DownstreamReady() {
	if a := r.attempt; a != nil {
		a.conn.RelayPending()
	}
}

// EndedByProxy says that this side ends the client's connection for a fault, with a last line to the client. DownstreamEnded follows.
func (r *Request) EndedByProxy() {
	switch {
	case r.isOpen():
		r.record.ConnectionEnded()
	case !r.answered():
		r.record.Failed(r.core.loop.Now())
	}
}

// DownstreamEnded says that the client has left, or that its connection has broken.
func (r *Request) DownstreamEnded(err *netio.Error) {
	if tracing() {
		slog.Debug("downstream_closed", "request", r.attributes.ID, "answered", r.answered(), "state", r.stageName(), "reason", err.Cause,
			"detail", err.Text())
	}
	if err.Cause == netio.Dropped {
		r.record.ClosedByProxy() // this side ended it
	}
	r.record.ClientLeft()
	switch {
	case r.isOpen():
		r.endOpen(err.Cause)
	case !r.answered():
		r.becomeAbandoned()
	}
}

// endOpen ends an open connection to the host as its client ended it.
func (r *Request) endOpen(cause netio.Cause) {
	a := r.attempt
	if a.detach() {
		a.conn.End(cause)
		a.notifyEnded(balancer.Cancelled)
	}
}

// becomeAbandoned ends a request whose client has left before its answer, with the attempt in flight.
func (r *Request) becomeAbandoned() {
	r.core.counters.metrics.Ended(r.attributes.Class, metrics.ClientLeft)
	r.becomeClosed()
	r.notifyClientLeft()
	r.endAttempt()
}
