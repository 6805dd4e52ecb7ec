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

// noVersion is the version held where no list of the service's is.
const noVersion = -1

// call is one request on its way.
type call struct {
	client *Client
	from   int64 // the version held as it began
	began  int64
	target string
	dial   *netio.Dial
	conn   *netio.Conn
	timer  *netio.Timer
	reused bool
	done   func(ch proxy.Change, err error)
}

func (c *Client) start(target string, within time.Duration, done func(proxy.Change, error)) *call {
	q := &call{client: c, from: c.rev, began: c.loop.Now(), target: target, done: done}
	q.timer = c.loop.After(within, func() { q.finish(nil, fmt.Errorf("%w in %v", errSilent, within)) })
	if c.idle != nil && !c.idle.Over() {
		q.conn, q.reused, c.idle = c.idle, true, nil
		q.conn.SetHandler(q)
		q.send()
		return q
	}
	q.connect()
	return q
}

func (q *call) connect() {
	c := q.client
	q.dial = c.dialer.Dial(c.addr, connectWithin, inputLimit, q, func(conn *netio.Conn, err *netio.Error) {
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
	q.conn.Write([]byte("GET " + q.target + " HTTP/1.1\r\nHost: " + q.client.addr + "\r\nAccept: application/json\r\n\r\n"))
}

// Data looks whether the response is complete.
func (q *call) Data(c *netio.Conn) { q.look(false) }

func (q *call) look(ended bool) {
	r, err := parseResponse(q.conn.Input(), ended)
	if r != nil || err != nil {
		q.finish(r, err)
	}
}

// Writable is nothing to a call: its request is one short write.
func (q *call) Writable(*netio.Conn) {}

// Closed comes when discovery ends the connection, which may complete a response.
func (q *call) Closed(c *netio.Conn, err *netio.Error) {
	if q.reused && len(c.Input()) == 0 {
		// It was closed for being idle before this call reached it: that is no failure of discovery's.
		q.reused = false
		q.connect()
		return
	}
	if err.Cause == netio.Ended {
		q.look(true)
		return
	}
	q.finish(nil, err)
}

func (q *call) finish(r *response, err error) {
	if q.done == nil {
		return
	}
	var ch proxy.Change
	if err == nil && r.status != 200 {
		err = fmt.Errorf("status %d", r.status)
	}
	if err == nil {
		ch, err = Parse(r.body)
	}
	q.trace(ch, err)
	done := q.done
	if err == nil && !r.last && !q.conn.Over() {
		q.conn.Consume(r.length)
		q.client.idle = q.conn
		q.conn.SetHandler(unused{q.client})
		q.conn = nil
	}
	q.drop()
	if err == nil {
		ch = q.client.take(q, ch)
		if q.client.lastErr != "" {
			q.client.lastErr = ""
			slog.Info("discovery_back", "rev", ch.Version)
		}
	}
	done(ch, err)
}

// trace logs how the call ended.
func (q *call) trace(ch proxy.Change, err error) {
	if logging.DebugEnabled() {
		slog.Debug("discovery_call", "addr", q.client.addr, "target", q.target, "reused", q.reused, "ms", (q.client.loop.Now()-q.began)/1e6,
			"rev", ch.Version, "hosts", len(ch.Hosts), "err", err)
	}
}

// take makes an answer's version the one held. Of two calls that are out at once the older answer may come last: it tells nothing
// then, or it would undo what is held. A service that begins its versions anew answers a call made from the version held.
func (c *Client) take(q *call, ch proxy.Change) proxy.Change {
	c.moved = 0
	switch {
	case ch.Version < c.rev && q.from != c.rev:
		return proxy.Change{Kind: balancer.ListDelta, Version: c.rev}
	case ch.Version < c.rev && ch.Kind == balancer.ListDelta:
		c.rev = noVersion // a difference from a version of another numbering: the whole list is asked for next
	default:
		c.rev = ch.Version
	}
	return ch
}

// drop ends a call without telling.
func (q *call) drop() {
	q.done = nil
	q.timer.Stop()
	q.dial.Drop()
	if q.conn != nil {
		q.conn.Close()
	}
}

// unused handles a connection that waits for the next call.
type unused struct{ client *Client }

func (u unused) Data(c *netio.Conn) {
	// Nothing was asked, so nothing can be meant.
	c.Close()
}

func (u unused) Writable(*netio.Conn) {}

func (u unused) Closed(*netio.Conn, *netio.Error) {}
