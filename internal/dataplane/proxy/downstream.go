package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/metrics"
)

// FromDownstream relays a client's message to its host, and reports whether it accepted the
// message. If not, the downstream keeps the message until its RelayPending is called.
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

// DownstreamReady is called when the client's connection accepts messages again.
func (r *Request) DownstreamReady() {
	if a := r.attempt; a != nil {
		a.conn.RelayPending()
	}
}

// EndedByProxy is called when the proxy ends the client's connection because of a fault and sends
// the client a last line. DownstreamEnded follows.
func (r *Request) EndedByProxy() {
	switch {
	case r.isOpen():
		r.record.ConnectionEnded()
	case !r.answered():
		r.record.Failed(r.core.loop.Now())
	}
}

// DownstreamEnded is called when the client's connection has ended: the client has closed it, it
// has broken, or the proxy has ended it.
func (r *Request) DownstreamEnded(err *netio.Error) {
	if tracing() {
		slog.Debug("downstream_closed", "request", r.attributes.ID, "answered", r.answered(), "state", r.stageName(), "reason", err.Cause,
			"detail", err.Text())
	}
	if err.Cause == netio.EndedLocally {
		r.record.ClosedByProxy()
	}
	r.record.ClientLeft()
	switch {
	case r.isOpen():
		r.endOpen(err.Cause)
	case !r.answered():
		r.becomeAbandoned()
	}
}

// endOpen ends an open connection to the host with the cause with which its client's side ended.
func (r *Request) endOpen(cause netio.Cause) {
	a := r.attempt
	if a.detach() {
		a.conn.End(cause)
		a.notifyEnded(balancer.Cancelled)
	}
}

// becomeAbandoned closes a request whose client has left before its answer, and ends the attempt in
// flight, if any.
func (r *Request) becomeAbandoned() {
	r.core.counters.metrics.CountEnd(r.attributes.Class, metrics.ClientLeft)
	r.becomeClosed()
	r.notifyClientLeft()
	r.endAttempt()
}
