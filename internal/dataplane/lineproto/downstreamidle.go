package lineproto

import (
	"log/slog"

	"croftlock/internal/operations/logging"
)

// boundPartialLine gives a line of which a part has come after PING the time of a first line, which is
// shorter than that of an idle connection.
func (d *downstream) boundPartialLine() {
	if !d.pinged || d.partial || len(d.conn.Input()) == 0 {
		return
	}
	d.partial = true
	d.idleTimer.Stop()
	d.idleTimer = d.front.loop.After(firstLineTimeout, d.firstLineTimedOut)
}

// idleEndReason is the reason in the log why a connection without a request ends.
type idleEndReason string

const (
	idleTooLong         idleEndReason = "idle"
	evictedForNewClient idleEndReason = "evicted"
)

// logIdleEnd logs why a connection without a request ends.
func (d *downstream) logIdleEnd(reason idleEndReason) {
	if logging.DebugEnabled() {
		slog.Debug("idle_client_closed", "reason", reason, "bytes", len(d.conn.Input()), "pinged", d.pinged)
	}
}

// firstLineTimedOut ends a connection whose first line is late. A partial line is answered with a failure.
func (d *downstream) firstLineTimedOut() {
	if len(d.conn.Input()) > 0 {
		d.failInvalid(errFirstLineLate)
		return
	}
	d.endIdle()
}

// endIdle ends a connection without a complete request line. It rejects a client that has not sent PING,
// since its request may be in flight and a close alone would leave that without an answer.
func (d *downstream) endIdle() {
	d.logIdleEnd(idleTooLong)
	if d.pinged {
		d.finish() // a connection of the platform's front, which sends no request on it
		return
	}
	d.Reject(d.front.core.DefaultRetryAfter())
}

// evict ends a connection at once, after an answer to a request that may be in flight, to free its capacity.
func (d *downstream) evict() {
	d.idleTimer.Stop()
	d.logIdleEnd(evictedForNewClient)
	switch {
	case d.conn.Ended(): // no line can be sent
	case len(d.conn.Input()) > 0:
		d.conn.Write(errLine)
	case !d.pinged:
		d.conn.Write(busyLine(d.front.core.DefaultRetryAfter())) // a request may be in flight
	}
	d.conn.CloseNow()
	d.descriptorFreed()
}
