package cluster

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/operations/logging"
)

// errSilent is the error of a call that was not answered in time.
var errSilent = errors.New("no answer")

// noRevision is the revision of a client that has no list of the service that it calls.
const noRevision = -1

// call is one request to the discovery service.
type call struct {
	client       *Client
	fromRevision int64        // the client's revision when the call started; negative if it had no list
	startedAt    int64        // Unix time in nanoseconds
	target       string       // path and query
	dial         *netio.Dial  // nil unless the connection is being opened
	conn         *netio.Conn  // nil until the connection is established
	timer        *netio.Timer // ends the call at its timeout
	reused       bool         // the call uses the idle connection of an earlier call
	// done is called with the result of the call. It is nil once the call has ended.
	done func(event proxy.WatchEvent, err error)
}

// startCall starts a call, on the idle connection if there is one. It calls done once, on the loop, unless
// cancel is called first.
func (c *Client) startCall(target string, timeout time.Duration, done func(proxy.WatchEvent, error)) *call {
	q := &call{client: c, fromRevision: c.revision, startedAt: c.loop.Now(), target: target, done: done}
	q.timer = c.loop.After(timeout, func() { q.finish(nil, fmt.Errorf("%w in %v", errSilent, timeout)) })
	if c.idleConn != nil && !c.idleConn.Ended() {
		q.conn, q.reused, c.idleConn = c.idleConn, true, nil
		q.conn.SetHandler(q)
		q.send()
		return q
	}
	q.connect()
	return q
}

// connect opens a connection and sends the request on it.
func (q *call) connect() {
	c := q.client
	q.dial = c.dialer.Dial(c.address, connectTimeout, inputLimit, q, func(conn *netio.Conn, err *netio.Error) {
		q.dial = nil
		if err != nil {
			q.finish(nil, err)
			return
		}
		q.conn = conn
		q.send()
	})
}

// send sends the request.
func (q *call) send() {
	q.conn.Write([]byte("GET " + q.target + " HTTP/1.1\r\nHost: " + q.client.address + "\r\nAccept: application/json\r\n\r\n"))
}

// Data handles the response of the discovery service once the response is complete.
func (q *call) Data(c *netio.Conn) { q.parse(false) }

// parse ends the call once the input holds a complete or an invalid response. ended reports whether
// the discovery service has ended the connection.
func (q *call) parse(ended bool) {
	r, err := parseResponse(q.conn.Input(), ended)
	if r != nil || err != nil {
		q.finish(r, err)
	}
}

// Writable does nothing: the request is one short write.
func (q *call) Writable(*netio.Conn) {}

// Closed handles the end of the connection by the discovery service, which may complete a response.
func (q *call) Closed(c *netio.Conn, err *netio.Error) {
	if q.reused && len(c.Input()) == 0 {
		// The discovery service closed the idle connection before it read this call. That is no failure: a
		// new connection is opened.
		q.reused = false
		q.connect()
		return
	}
	if err.Cause == netio.Ended {
		q.parse(true)
		return
	}
	q.finish(nil, err)
}

// finish ends the call with its response or its error, keeps the connection for the next call if the
// connection can carry one, and calls done. It does nothing if the call has ended.
func (q *call) finish(r *response, err error) {
	if q.done == nil {
		return
	}
	var event proxy.WatchEvent
	if err == nil && r.status != 200 {
		err = fmt.Errorf("%w %d", errBadStatus, r.status)
	}
	if err == nil {
		event, err = ParseList(r.body)
	}
	q.logCall(event, err)
	done := q.done
	if err == nil && !r.closes && !q.conn.Ended() {
		q.conn.Consume(r.length)
		q.client.idleConn = q.conn
		q.conn.SetHandler(idleHandler{q.client})
		q.conn = nil
	}
	q.cancel()
	if err == nil {
		event = q.client.acceptAnswer(q, event)
		if q.client.lastFailure != "" {
			q.client.lastFailure = ""
			slog.Info("discovery_back", "rev", event.Version)
		}
	}
	done(event, err)
}

// logCall logs how the call ended.
func (q *call) logCall(event proxy.WatchEvent, err error) {
	if logging.DebugEnabled() {
		slog.Debug("discovery_call", "addr", q.client.address, "target", q.target, "reused", q.reused, "ms", (q.client.loop.Now()-q.startedAt)/1e6,
			"rev", event.Version, "hosts", len(event.Hosts), "err", err)
	}
}

// acceptAnswer updates the client's revision from the answer of call q, and returns the event to pass on:
// an empty change if another call has returned a newer list. It also ends the time after a redirect.
func (c *Client) acceptAnswer(q *call, event proxy.WatchEvent) proxy.WatchEvent {
	c.redirectedAt = 0
	switch {
	case event.Version < c.revision && q.fromRevision != c.revision:
		// Another call has returned a newer list meanwhile, which this answer must not undo.
		return proxy.WatchEvent{Kind: balancer.ListDelta, Version: c.revision}
	case event.Version < c.revision && event.Kind == balancer.ListDelta:
		// The service has restarted its revisions and sent only a change: the complete list is fetched next.
		c.revision = noRevision
	default:
		c.revision = event.Version
	}
	return event
}

// cancel ends the call without calling done.
func (q *call) cancel() {
	q.done = nil
	q.timer.Stop()
	q.dial.Cancel()
	if q.conn != nil {
		q.conn.Close()
	}
}

// idleHandler handles the events of an idle connection, which is kept for the next call.
type idleHandler struct{ client *Client }

// Data closes the connection, because the discovery service must not send anything without a call.
func (h idleHandler) Data(c *netio.Conn) {
	c.Close()
}

// Writable does nothing.
func (h idleHandler) Writable(*netio.Conn) {}

// Closed does nothing: the next call opens a new connection.
func (h idleHandler) Closed(*netio.Conn, *netio.Error) {}
