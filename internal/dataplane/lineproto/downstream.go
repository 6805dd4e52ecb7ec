package lineproto

import (
	"container/list"
	"log/slog"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/operations/logging"
)

// downstream is a client's connection.
type downstream struct {
	front     *Front
	conn      *netio.Conn
	request   *proxy.Request
	idleTimer *netio.Timer
	idleEntry *list.Element // in front.idleClients; nil once it has a request
	admitted  bool          // the core counts it
	accepted  bool          // a host has accepted its request
	pinged    bool          // it has sent PING
}

var _ proxy.Downstream = (*downstream)(nil)

// Data takes what the client sent.
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

// endForClientFault ends a request that has no answer yet for a fault of its client's.
func (d *downstream) endForClientFault(cause error) {
	d.failInvalid(cause)
	d.request.EndedByProxy()
	d.request.DownstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.EndedLocally, Detail: cause})
}

// readRequestLine reads lines up to the one that opens a request; false: that has not come, or the connection ends.
func (d *downstream) readRequestLine() bool {
	for !d.conn.Ended() {
		line, err := CutLine(d.conn.Input())
		if err != nil {
			d.failInvalid(err)
			return false
		}
		if line == nil {
			return false
		}
		if string(trimLineEnd(line)) == "PING" {
			d.conn.Consume(len(line))
			d.pinged = true
			// No PONG from a process that shuts down: the front must send no clients here.
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
			d.Reject(d.front.core.RetryAdvice())
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

// failInvalid answers what is not a request with a failure (ERR).
func (d *downstream) failInvalid(err error) {
	d.front.core.ReportInvalidRequest(err)
	d.Fail()
}

// RelayPending relays the client's lines, as far as the host takes them.
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

// Writable says that the client takes bytes again.
func (d *downstream) Writable(c *netio.Conn) {
	if d.request != nil {
		d.request.DownstreamReady()
	}
}

// FinalMessage is the last line to a client whose connection ends for a fault of this side's: its request has failed, or it is to open its
// connection again.
func (d *downstream) FinalMessage() []byte {
	if d.request != nil {
		d.request.EndedByProxy()
	}
	if d.accepted {
		return migrateLine
	}
	return errLine
}

// Closed says that the client's connection is over.
func (d *downstream) Closed(c *netio.Conn, err *netio.Error) {
	d.idleTimer.Stop()
	if d.request != nil {
		d.request.DownstreamEnded(err)
	}
}

// descriptorFreed gives back the capacity of a connection that holds no descriptor any more.
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

// idleEndReason is why a connection without a request ends, as the log names it.
type idleEndReason string

const (
	idleTooLong    idleEndReason = "idle"
	evictedForNext idleEndReason = "evicted"
)

// logIdleEnd logs why a connection without a request ends.
func (d *downstream) logIdleEnd(reason idleEndReason) {
	if logging.DebugEnabled() {
		slog.Debug("idle_client_closed", "reason", reason, "bytes", len(d.conn.Input()), "pinged", d.pinged)
	}
}

// firstLineTimedOut ends a connection whose first line is not complete in time; one that has begun gets an answer.
func (d *downstream) firstLineTimedOut() {
	if len(d.conn.Input()) > 0 {
		d.failInvalid(errFirstLineLate)
		return
	}
	d.endIdle()
}

// endIdle ends a connection on which nothing has come. A request may be on its way in this very moment, so the client is rejected: a close
// alone would leave that request without an answer.
func (d *downstream) endIdle() {
	d.logIdleEnd(idleTooLong)
	if d.pinged {
		d.finish() // the front's own connection
		return
	}
	d.Reject(d.front.core.RetryAdvice())
}

// evict ends a connection without a request at once, to free its place for the next.
func (d *downstream) evict() {
	d.idleTimer.Stop()
	d.logIdleEnd(evictedForNext)
	switch {
	case d.conn.Ended():
	case len(d.conn.Input()) > 0:
		d.conn.Write(errLine)
	case !d.pinged:
		d.conn.Write(busyLine(d.front.core.RetryAdvice())) // a request may be on its way in this very moment
	}
	d.conn.CloseNow()
	d.descriptorFreed()
}

// finish ends the connection after what has been written.
func (d *downstream) finish() {
	d.idleTimer.Stop()
	d.conn.Finish()
}

// Accept relays the host's acceptance.
func (d *downstream) Accept(acceptance proxy.Message) {
	d.conn.Write(acceptance.Text)
	d.accepted = true
	// What the client sent along with its first line waits in the buffer.
	d.front.loop.Post(d.RelayPending)
}

// Relay relays a line of the host's; false: not now.
func (d *downstream) Relay(m proxy.Message) bool { return d.conn.Write(m.Text) }

// Reject answers that the client may retry, and when.
func (d *downstream) Reject(after time.Duration) { d.finishWith(busyLine(after)) }

// Fail answers that the request has failed.
func (d *downstream) Fail() { d.finishWith(errLine) }

// Migrate has the client open its connection again.
func (d *downstream) Migrate() { d.finishWith(migrateLine) }

// MigrationLine is the line that Migrate sends.
func (d *downstream) MigrationLine() []byte { return migrateLine }

// Release gives the client's connection away without ending it.
func (d *downstream) Release(done func(netio.ReleasedConn)) {
	d.idleTimer.Stop()
	d.conn.Release(done)
}

// finishWith ends the connection after a last line.
func (d *downstream) finishWith(p []byte) {
	d.idleTimer.Stop()
	d.conn.FinishWith(p)
}

// End ends the client's connection as the host's ended.
func (d *downstream) End(cause netio.Cause) {
	d.idleTimer.Stop()
	if cause == netio.Broken {
		d.conn.Abort()
		return
	}
	d.conn.Finish()
}
