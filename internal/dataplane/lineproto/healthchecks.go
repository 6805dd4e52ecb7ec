package lineproto

import (
	"log/slog"
	"strings"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

const (
	// checkTimeout bounds a health check, connecting included. A later answer does not reflect the current load.
	checkTimeout = 250 * time.Millisecond
	// checkIdleTimeout is how long a connection stays open for the next health check of its host. A new
	// connection costs the host far more than a health check.
	checkIdleTimeout = 10 * time.Second
)

// statsLine asks a host for its load.
var statsLine = []byte("STATS\r\n")

// HealthChecks polls upstream hosts for their load. It uses one connection per host, which stays open
// between health checks, and a bounded number of connections. Its methods must be called on the loop.
type HealthChecks struct {
	loop           *netio.Loop
	open           Opener
	fields         []string // the fields of a load report, as the settings name them
	maxConnections int
	byHost         map[string]*hostCheck
	denied         bool // a host has answered NO (health checks are not permitted), so this process checks no host any more
}

// NewHealthChecks returns a health checker that uses at most maxConnections at a time. fields are the load
// report fields that the settings name.
func NewHealthChecks(l *netio.Loop, open Opener, fields []string, maxConnections int) *HealthChecks {
	return &HealthChecks{loop: l, open: open, fields: fields, maxConnections: maxConnections, byHost: map[string]*hostCheck{}}
}

// hostCheck is the connection for the health checks of one host.
type hostCheck struct {
	checks     *HealthChecks
	host       proxy.Target
	cancelDial func()      // nil unless the connection is being opened
	conn       *netio.Conn // nil until the connection is established
	// done is called with the result of the health check in flight. It is nil if there is none.
	done   func(status balancer.AttemptStatus, load []float64)
	timer  *netio.Timer // ends a health check at checkTimeout, and an idle connection at checkIdleTimeout
	usedAt int64        // start of the last health check, as Unix time in nanoseconds
}

var _ proxy.HealthChecker = (*HealthChecks)(nil)

// Check polls a host for its load, and calls done exactly once, on the loop. load is nil if the host
// reported none. It does not poll, and reports TooLate, after any host has answered NO, or if all
// connections are in use. An earlier health check of the host that is in flight ends with Cancelled.
func (h *HealthChecks) Check(host proxy.Target, done func(status balancer.AttemptStatus, load []float64)) {
	q := h.byHost[host.ID]
	if q != nil && (q.done != nil || q.host != host) {
		q.end(balancer.Cancelled) // a health check is in flight, or the host's address has changed
		q = nil
	}
	if h.denied || q == nil && !h.evictIdle() {
		h.loop.Post(func() { done(balancer.TooLate, nil) })
		return
	}
	if q == nil {
		q = &hostCheck{checks: h, host: host}
		h.byHost[host.ID] = q
	}
	q.done, q.usedAt = done, h.loop.Now()
	q.timer.Stop()
	q.timer = h.loop.After(checkTimeout, func() { q.end(balancer.Timeout) })
	if q.conn != nil {
		q.conn.Write(statsLine)
		return
	}
	q.cancelDial = h.open(host, checkTimeout, inputLimit, q, func(c *netio.Conn, err *netio.Error) {
		q.cancelDial = nil
		if err != nil {
			q.end(balancer.ConnectFailed)
			return
		}
		q.conn = c
		c.Write(statsLine)
	})
}

// Forget ends the health check of a host, if there is one, and closes its connection.
func (h *HealthChecks) Forget(host string) {
	if q := h.byHost[host]; q != nil {
		q.end(balancer.Cancelled)
	}
}

// evictIdle makes room for one more connection: it closes the least recently used idle connection if there
// are maxConnections. It returns false if there is no room because all of them are in use.
func (h *HealthChecks) evictIdle() bool {
	if len(h.byHost) < h.maxConnections {
		return true
	}
	var oldest *hostCheck
	for _, q := range h.byHost {
		if q.done == nil && (oldest == nil || q.usedAt < oldest.usedAt) {
			oldest = q
		}
	}
	if oldest == nil {
		return false
	}
	oldest.end(balancer.Cancelled)
	return true
}

// Data handles the answer once its line is complete.
func (q *hostCheck) Data(c *netio.Conn) {
	line, err := CutLine(c.Input())
	if err != nil || line != nil && q.done == nil {
		q.end(balancer.Error) // the input is not a line, or no health check is in flight
		return
	}
	if line == nil {
		return
	}
	first, rest := cutField(line)
	c.Consume(len(line))
	switch first {
	case "PONG":
		q.complete(balancer.OK, ParseReport(strings.TrimSpace(rest), q.checks.fields))
	case "ERR":
		q.complete(balancer.Error, ParseReport(strings.TrimSpace(rest), q.checks.fields))
	case "NO":
		if !q.checks.denied {
			q.checks.denied = true
			slog.Warn("health_checks_denied", "host", q.host.ID)
		}
		q.end(balancer.Error)
	default:
		q.end(balancer.Error)
	}
}

// complete ends a health check and keeps its connection for the next one.
func (q *hostCheck) complete(s balancer.AttemptStatus, load []float64) {
	done := q.done
	q.done = nil
	q.timer.Stop()
	q.timer = q.checks.loop.After(checkIdleTimeout, func() { q.end(balancer.Cancelled) })
	done(s, load)
}

// end closes the connection, and ends the health check in flight, if there is one, with status s.
func (q *hostCheck) end(s balancer.AttemptStatus) {
	if q.checks.byHost[q.host.ID] == q {
		delete(q.checks.byHost, q.host.ID)
	}
	q.timer.Stop()
	if q.cancelDial != nil {
		q.cancelDial()
		q.cancelDial = nil
	}
	if q.conn != nil {
		q.conn.Close()
	}
	if done := q.done; done != nil {
		q.done = nil
		done(s, nil)
	}
}

// Writable does nothing: a health check writes one short line.
func (q *hostCheck) Writable(*netio.Conn) {}

// Closed handles the end of the connection by the host.
func (q *hostCheck) Closed(*netio.Conn, *netio.Error) { q.end(balancer.Reset) }
