package lineproto

import (
	"strings"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// upstream is the connection of one upstream request.
type upstream struct {
	loop         *netio.Loop
	events       proxy.UpstreamEvents
	requestLine  proxy.RequestLine
	reportFields []string // of a load report behind an answer
	deadline     int64
	cancelDial   func() // while the connection opens
	conn         *netio.Conn
	stage        netio.Stage
	endOfHost    *netio.Error // the host has ended; its last lines may still wait for the client
	ended        bool
}

var _ proxy.Upstream = (*upstream)(nil)

// connected goes on once the connection is established, or is not.
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

// requestSent says that the request line's last byte is written.
func (u *upstream) requestSent() {
	u.stage = netio.Sent
	u.events.UpstreamSent()
}

// Data takes what the host sent.
func (u *upstream) Data(c *netio.Conn) { u.RelayPending() }

// RelayPending relays the host's lines, as far as the client takes them.
func (u *upstream) RelayPending() {
	for !u.ended && u.conn != nil {
		line, err := CutLine(u.conn.Input())
		if err != nil {
			u.conn.Close()
			u.notifyEnd(&netio.Error{Stage: u.stage, Cause: netio.EndedLocally, Detail: err})
			return
		}
		if line == nil {
			if u.endOfHost != nil {
				u.notifyEnd(u.endOfHost)
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

// Writable says that the host takes bytes again: the request line is written completely, or a line of the client's may follow.
func (u *upstream) Writable(c *netio.Conn) {
	if u.stage == netio.Sending {
		u.requestSent()
		return
	}
	u.events.UpstreamReady()
}

// Closed says that the host's connection is over.
func (u *upstream) Closed(c *netio.Conn, err *netio.Error) {
	// The connection knows that it was established; how far the request on it had come is known here. Its layer may know that it never was:
	// then the host has read nothing, whatever was written.
	u.endOfHost = &netio.Error{Stage: min(u.stage, err.Stage), Cause: err.Cause, Detail: err.Detail}
	u.RelayPending() // a slow client still gets the lines from before the end
}

// notifyEnd notifies of the end, once.
func (u *upstream) notifyEnd(err *netio.Error) {
	if !u.ended {
		u.ended = true
		u.events.UpstreamEnded(err)
	}
}

// Release gives the host's connection away without ending it. One that the host has ended stays, for its last lines.
func (u *upstream) Release(done func(netio.ReleasedConn)) {
	u.ended = true
	if u.conn == nil || u.endOfHost != nil {
		u.loop.Post(func() { done(netio.ReleasedConn{FD: -1}) })
		return
	}
	u.conn.Release(done)
}

// Relay relays a line of the client's; false: not now.
func (u *upstream) Relay(m proxy.Message) bool { return u.conn.Write(m.Text) }

// Expires is when the connection's first certificate ends; the zero time where it has none.
func (u *upstream) Expires() time.Time {
	if u.conn != nil {
		if l, ok := u.conn.Layer().(proxy.Expiring); ok {
			return l.Expires()
		}
	}
	return time.Time{}
}

// Stage is how far the request has come.
func (u *upstream) Stage() netio.Stage { return u.stage }

// End ends the attempt, or the connection as the client's ended. No event follows.
func (u *upstream) End(cause netio.Cause) {
	u.ended = true
	if u.cancelDial != nil {
		u.cancelDial()
		u.cancelDial = nil
	}
	switch {
	case u.conn == nil:
	case u.stage == netio.Sending:
		u.conn.CloseNow() // what is left of the line must not go out: the attempt counts as one that has not run
	case cause == netio.Broken:
		u.conn.Abort()
	default:
		u.conn.Close()
	}
}
