package lineproto

import (
	"strings"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// upstream is the connection of one upstream request. It implements proxy.Upstream.
type upstream struct {
	loop          *netio.Loop
	events        proxy.UpstreamEvents
	requestLine   proxy.RequestLine
	reportFields  []string     // names of the fields of load reports at the end of answers; empty if hosts send none
	deadline      int64        // when the wait for the host's answer ends, as Unix time in nanoseconds
	cancelDial    func()       // nil unless the connection is being opened
	conn          *netio.Conn  // nil until the connection is established
	stage         netio.Stage  // progress of the request
	connectionEnd *netio.Error // how the host ended the connection, whose last lines may not be relayed yet; nil if it has not
	ended         bool         // no further event is reported
}

var _ proxy.Upstream = (*upstream)(nil)

// connected sends the request line on the new connection c, or reports err, because of which there is no
// connection. It closes the connection if the request line may not be sent any more.
func (u *upstream) connected(c *netio.Conn, err *netio.Error) {
	u.cancelDial = nil
	if err != nil {
		u.notifyEnd(err)
		return
	}
	u.conn = c
	if !u.events.MaySend() {
		c.Close()
		return
	}
	u.stage = netio.Sending
	c.Write(u.requestLine.WithWait(time.Duration(u.deadline - u.loop.Now())))
	if !c.Blocked() {
		u.requestSent()
	}
}

// requestSent reports that the request line is completely written.
func (u *upstream) requestSent() {
	u.stage = netio.Sent
	u.events.UpstreamSent()
}

// Data relays the lines that the host sent.
func (u *upstream) Data(c *netio.Conn) { u.RelayPending() }

// RelayPending relays the host's buffered lines until the client accepts no more. After the last one it
// reports the end of a connection that the host has ended.
func (u *upstream) RelayPending() {
	for !u.ended && u.conn != nil {
		line, err := CutLine(u.conn.Input())
		if err != nil {
			u.conn.Close()
			u.notifyEnd(&netio.Error{Stage: u.stage, Cause: netio.EndedLocally, Detail: err})
			return
		}
		if line == nil {
			if u.connectionEnd != nil {
				u.notifyEnd(u.connectionEnd)
			}
			return
		}
		m := ParseHostLine(line)
		if len(u.reportFields) > 0 && (m.Kind == proxy.OverCapacity || m.Kind == proxy.Failed || m.Kind == proxy.Finished) {
			_, rest := cutField(line)
			m.Report = ParseReport(strings.TrimSpace(rest), u.reportFields)
		}
		if m.Kind == proxy.Accepted && u.stage < netio.Up {
			u.stage = netio.Up
		}
		if !u.events.FromUpstream(m) {
			return
		}
		u.conn.Consume(len(line))
	}
}

// Writable reports that the request line is completely written, or later that the host accepts lines again.
func (u *upstream) Writable(c *netio.Conn) {
	if u.stage == netio.Sending {
		u.requestSent()
		return
	}
	u.events.UpstreamReady()
}

// Closed handles the end of the host's connection: it relays the remaining lines and then reports the end.
func (u *upstream) Closed(c *netio.Conn, err *netio.Error) {
	// u.stage is the progress of the request; err.Stage is that of the connection. The latter is lower if the
	// layer found that the host refused the connection: then the host has read nothing, whatever was written.
	u.connectionEnd = &netio.Error{Stage: min(u.stage, err.Stage), Cause: err.Cause, Detail: err.Detail}
	u.RelayPending() // a slow client must still get the lines from before the end
}

// notifyEnd reports the end of the request, once.
func (u *upstream) notifyEnd(err *netio.Error) {
	if !u.ended {
		u.ended = true
		u.events.UpstreamEnded(err)
	}
}

// Release releases the host's connection without ending it, as netio.Conn.Release does. A connection that
// the host has ended is not released: done gets a negative FD. No event follows.
func (u *upstream) Release(done func(netio.ReleasedConn)) {
	u.ended = true
	if u.conn == nil || u.connectionEnd != nil {
		u.loop.Post(func() { done(netio.ReleasedConn{FD: -1}) })
		return
	}
	u.conn.Release(done)
}

// Relay writes a line of the client. It returns false if the host accepts none now; UpstreamReady follows.
func (u *upstream) Relay(m proxy.Message) bool { return u.conn.Write(m.Text) }

// Expires returns the earliest end of a certificate of the connection. It returns the zero time if the
// connection has no certificates.
func (u *upstream) Expires() time.Time {
	if u.conn != nil {
		if l, ok := u.conn.Layer().(proxy.Expiring); ok {
			return l.Expires()
		}
	}
	return time.Time{}
}

// Stage returns the progress of the request.
func (u *upstream) Stage() netio.Stage { return u.stage }

// End ends the attempt, or an accepted connection in the way in which the client's ended: Broken causes a
// reset. No event follows.
func (u *upstream) End(cause netio.Cause) {
	u.ended = true
	if u.cancelDial != nil {
		u.cancelDial()
		u.cancelDial = nil
	}
	switch {
	case u.conn == nil:
	case u.stage == netio.Sending:
		u.conn.CloseNow() // the rest of the line must not go out: the attempt counts as one that has not run
	case cause == netio.Broken:
		u.conn.Abort()
	default:
		u.conn.Close()
	}
}
