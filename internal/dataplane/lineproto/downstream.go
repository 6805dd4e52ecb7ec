package lineproto

import (
	"container/list"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// downstream is a client's connection. It implements proxy.Downstream.
type downstream struct {
	front     *Front
	conn      *netio.Conn
	request   *proxy.Request // nil until the request line has been read
	idleTimer *netio.Timer   // ends the connection if no request arrives in time
	idleEntry *list.Element  // in front.idleClients; nil once the connection has a request
	admitted  bool           // the core counts the connection
	accepted  bool           // a host has accepted the request
	pinged    bool           // the client has sent PING, as the platform's front does to check this process
	partial   bool           // after PING, idleTimer bounds the time of a line of which a part has come
}

var _ proxy.Downstream = (*downstream)(nil)

// Data reads the request line if it has not been read yet, and relays lines once a host has accepted.
func (d *downstream) Data(c *netio.Conn) {
	if d.request == nil && !d.readRequestLine() {
		return
	}
	if !d.accepted && len(c.Input()) >= inputLimit {
		d.endForClientFault(errSentBeforeAnswer)
		return
	}
	d.RelayPending()
}

// endForClientFault fails a request that has no answer yet because of what its client sent.
func (d *downstream) endForClientFault(cause error) {
	d.failInvalid(cause)
	d.request.EndedByProxy()
	d.request.DownstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.EndedLocally, Detail: cause})
}

// readRequestLine reads lines up to the request line. It returns false if that has not arrived completely,
// is invalid or is rejected, or if the connection has ended.
func (d *downstream) readRequestLine() bool {
	for !d.conn.Ended() {
		line, err := CutLine(d.conn.Input())
		if err != nil {
			d.failInvalid(err)
			return false
		}
		if line == nil {
			d.boundPartialLine()
			return false
		}
		if string(trimLineEnd(line)) == "PING" {
			d.conn.Consume(len(line))
			d.pinged, d.partial = true, false
			// A process that shuts down sends no PONG, so that the platform's front sends it no clients.
			d.idleTimer.Stop()
			d.idleTimer = d.front.loop.After(pingIdleTimeout, d.firstLineTimedOut)
			if !d.front.core.Ready() || !d.conn.Write(pongLine) {
				d.finish()
				return false
			}
			continue
		}
		openLine, err := ParseOpenLine(line)
		d.conn.Consume(len(line))
		if err != nil {
			d.failInvalid(err)
			return false
		}
		d.idleTimer.Stop()
		if !d.front.core.Admit(openLine.Class) {
			d.front.core.RejectOverCapacity(d, &openLine.Opening)
			return false
		}
		d.admitted = true
		d.front.idleClients.Remove(d.idleEntry)
		d.idleEntry = nil
		d.request = d.front.core.Open(d, &openLine.Opening, openLine)
		return d.request != nil
	}
	return false
}

// failInvalid reports an invalid request to the core and answers it with a failure (ERR).
func (d *downstream) failInvalid(err error) {
	d.front.core.ReportInvalidRequest(err)
	d.Fail()
}

// RelayPending relays the client's buffered lines until the host accepts no more.
func (d *downstream) RelayPending() {
	for d.accepted && !d.conn.Ended() {
		line, err := CutLine(d.conn.Input())
		if err != nil {
			d.finish()
			d.request.EndedByProxy()
			d.request.DownstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.EndedLocally, Detail: err})
			return
		}
		if line == nil || !d.request.FromDownstream(proxy.Message{Text: line}) {
			return
		}
		d.conn.Consume(len(line))
	}
}

// Writable tells the request that the client accepts lines again.
func (d *downstream) Writable(c *netio.Conn) {
	if d.request != nil {
		d.request.DownstreamReady()
	}
}

// FinalMessage returns the last line to a client whose connection this side ends: a migration if a host
// has accepted the request, so that the client opens its connection again, and a failure (ERR) otherwise.
func (d *downstream) FinalMessage() []byte {
	if d.request != nil {
		d.request.EndedByProxy()
	}
	if d.accepted {
		return migrateLine
	}
	return errLine
}

// Closed ends the request, if there is one, because the client's connection has ended.
func (d *downstream) Closed(c *netio.Conn, err *netio.Error) {
	d.idleTimer.Stop()
	if d.request != nil {
		d.request.DownstreamEnded(err)
	}
}

// descriptorFreed frees the capacity that the connection used, once it holds no descriptor.
func (d *downstream) descriptorFreed() {
	if d.admitted {
		d.admitted = false
		d.front.core.DownstreamEnded()
	}
	if d.idleEntry != nil {
		d.front.idleClients.Remove(d.idleEntry)
		d.idleEntry = nil
	}
}

// finish ends the connection once the lines that have been written are sent.
func (d *downstream) finish() {
	d.idleTimer.Stop()
	d.conn.Finish()
}

// Accept relays the host's acceptance, and then the lines that the client has sent meanwhile.
func (d *downstream) Accept(acceptance proxy.Message) {
	d.conn.Write(acceptance.Text)
	d.accepted = true
	d.front.loop.Post(d.RelayPending)
}

// Relay writes a line of the host. It returns false if the client accepts none now; Writable follows.
func (d *downstream) Relay(m proxy.Message) bool { return d.conn.Write(m.Text) }

// Reject rejects the request with a Retry-After, and ends the connection.
func (d *downstream) Reject(after time.Duration) { d.finishWith(busyLine(after)) }

// Fail answers that the request has failed, and ends the connection.
func (d *downstream) Fail() { d.finishWith(errLine) }

// Migrate tells the client to open its connection again, and ends this one.
func (d *downstream) Migrate() { d.finishWith(migrateLine) }

// MigrationLine returns the line that Migrate sends.
func (d *downstream) MigrationLine() []byte { return migrateLine }

// Release releases the client's connection without ending it, as netio.Conn.Release does.
func (d *downstream) Release(done func(netio.ReleasedConn)) {
	d.idleTimer.Stop()
	d.conn.Release(done)
}

// finishWith ends the connection after the last line p.
func (d *downstream) finishWith(p []byte) {
	d.idleTimer.Stop()
	d.conn.FinishWith(p)
}

// End ends the client's connection in the way in which the host's ended: Broken causes a reset.
func (d *downstream) End(cause netio.Cause) {
	d.idleTimer.Stop()
	if cause == netio.Broken {
		d.conn.Abort()
		return
	}
	d.conn.Finish()
}
