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

// errSilent is the end of a call that has not been answered in time.
var errSilent = errors.New("no answer")

// noRevision is the version where the client has no list of the service.
const noRevision = -1

// call is one request to discovery.
type call struct {
	client       *Client
	fromRevision int64 // the client's as the call began
	startedAt    int64
	target       string
	dial         *netio.Dial
	conn         *netio.Conn
	timer        *netio.Timer
	reused       bool
	done         func(ch proxy.WatchEvent, err error)
}

// startCall makes a call, on the connection at rest where there is one.
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

func (q *call) send() {
	q.conn.Write([]byte("GET " + q.target + " HTTP/1.1\r\nHost: " + q.client.address + "\r\nAccept: application/json\r\n\r\n"))
}

// Data handles the response once it is complete.
func (q *call) Data(c *netio.Conn) { q.parse(false) }

func (q *call) parse(ended bool) {
	r, err := parseResponse(q.conn.Input(), ended)
	if r != nil || err != nil {
		q.finish(r, err)
	}
}

// Writable does nothing: a call's request is one short write.
func (q *call) Writable(*netio.Conn) {}

// Closed comes when discovery ends the connection, which may complete a response.
func (q *call) Closed(c *netio.Conn, err *netio.Error) {
	if q.reused && len(c.Input()) == 0 {
		// The idle connection was closed before this call reached it, which is no failure: the call is made on a new one.
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

func (q *call) finish(r *response, err error) {
	if q.done == nil {
		return
	}
	var ch proxy.WatchEvent
	if err == nil && r.status != 200 {
		err = fmt.Errorf("%w %d", errBadStatus, r.status)
	}
	if err == nil {
		ch, err = ParseList(r.body)
	}
	q.logCall(ch, err)
	done := q.done
	if err == nil && !r.closes && !q.conn.Ended() {
		q.conn.Consume(r.length)
		q.client.idleConn = q.conn
		q.conn.SetHandler(idleHandler{q.client})
		q.conn = nil
	}
	q.cancel()
	if err == nil {
		ch = q.client.acceptAnswer(q, ch)
		if q.client.lastFailure != "" {
			q.client.lastFailure = ""
			slog.Info("discovery_back", "rev", ch.Version)
		}
	}
	done(ch, err)
}

// logCall logs how the call ended.
func (q *call) logCall(ch proxy.WatchEvent, err error) {
	if logging.DebugEnabled() {
		slog.Debug("discovery_call", "addr", q.client.address, "target", q.target, "reused", q.reused, "ms", (q.client.loop.Now()-q.startedAt)/1e6,
			"rev", ch.Version, "hosts", len(ch.Hosts), "err", err)
	}
}

// acceptAnswer takes over an answer's version, and gives the change to apply.
func (c *Client) acceptAnswer(q *call, ch proxy.WatchEvent) proxy.WatchEvent {
	c.redirectedAt = 0
	switch {
	case ch.Version < c.revision && q.fromRevision != c.revision:
		// An older answer, overtaken by that of another call: it must not undo the newer list.
		return proxy.WatchEvent{Kind: balancer.ListDelta, Version: c.revision}
	case ch.Version < c.revision && ch.Kind == balancer.ListDelta:
		// The service has restarted its versions, and has sent a change only: the complete list is fetched next.
		c.revision = noRevision
	default:
		c.revision = ch.Version
	}
	return ch
}

// cancel ends a call without telling.
func (q *call) cancel() {
	q.done = nil
	q.timer.Stop()
	q.dial.Cancel()
	if q.conn != nil {
		q.conn.Close()
	}
}

// idleHandler handles a connection that waits for the next call.
type idleHandler struct{ client *Client }

// Data ends the connection: there is no call that it could answer.
func (u idleHandler) Data(c *netio.Conn) {
	c.Close()
}

// Writable is nothing to a connection at rest.
func (u idleHandler) Writable(*netio.Conn) {}

// Closed is nothing to a connection at rest: the next call opens another.
func (u idleHandler) Closed(*netio.Conn, *netio.Error) {}
