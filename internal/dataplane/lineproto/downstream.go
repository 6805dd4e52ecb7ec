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
	front   *Front
	conn    *netio.Conn
	req     *proxy.Request
	idle    *netio.Timer
	place   *list.Element // among the newcomers; nil once it has a request
	counted bool          // the core has given it room
	served  bool
	pinged  bool // it has asked PING
}

var _ proxy.Downstream = (*downstream)(nil)

func (d *downstream) Data(c *netio.Conn) {
	if d.req == nil && !d.greet() {
		return
	}
	if !d.served && len(c.Input()) >= inputLimit {
		d.cutOff(errEarly)
		return
	}
	d.Pump()
}

// cutOff ends a request that has no answer yet for a fault of its client's.
func (d *downstream) cutOff(cause error) {
	d.reject(cause)
	d.req.EndedHere()
	d.req.DownstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.Dropped, Detail: cause})
}

// greet reads lines up to the one that opens a request, and tells whether it has come.
func (d *downstream) greet() bool {
	for !d.conn.Over() {
		line, err := Cut(d.conn.Input())
		if err != nil {
			d.reject(err)
			return false
		}
		if line == nil {
			return false
		}
		if string(text(line)) == "PING" {
			d.conn.Consume(len(line))
			d.pinged = true
			// A proxy that is on its way out must not be taken in by the front.
			d.idle.Stop()
			d.idle = d.front.loop.After(betweenPings, d.late)
			if !d.front.core.Ready() || !d.conn.Write(pong) {
				d.finish()
				return false
			}
			continue
		}
		o, err := ParseOpen(line)
		d.conn.Consume(len(line))
		if err != nil {
			d.reject(err)
			return false
		}
		d.idle.Stop()
		if !d.front.core.Admit(o.Class) {
			d.Reject(d.front.core.RetryAdvice())
			return false
		}
		d.counted = true
		d.front.newcomers.Remove(d.place)
		d.place = nil
		d.req = d.front.core.Open(d, &o.Opening, o)
		return d.req != nil
	}
	return false
}

// reject answers what is no request: a failure, nothing upstream.
func (d *downstream) reject(err error) {
	d.front.core.InvalidRequest(err)
	d.Fail()
}

// Pump hands the client's lines on, as far as the other side takes them.
func (d *downstream) Pump() {
	for d.served && !d.conn.Over() {
		line, err := Cut(d.conn.Input())
		if err != nil {
			d.finish()
			d.req.EndedHere()
			d.req.DownstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.Dropped, Detail: err})
			return
		}
		if line == nil || !d.req.FromDownstream(proxy.Message{Text: line}) {
			return
		}
		d.conn.Consume(len(line))
	}
}

func (d *downstream) Writable(c *netio.Conn) {
	if d.req != nil {
		d.req.DownstreamReady()
	}
}

// LastWords is what a client is told whose connection ends for a fault of this side's: its request has failed, or its connection is to be
// opened anew.
func (d *downstream) LastWords() []byte {
	if d.req != nil {
		d.req.EndedHere()
	}
	if d.served {
		return move
	}
	return fault
}

func (d *downstream) Closed(c *netio.Conn, err *netio.Error) {
	d.idle.Stop()
	if d.req != nil {
		d.req.DownstreamEnded(err)
	}
}

// gone gives back the room of a connection that holds no descriptor any more.
func (d *downstream) gone() {
	if d.counted {
		d.counted = false
		d.front.core.SessionEnded()
	}
	if d.place != nil {
		d.front.newcomers.Remove(d.place)
		d.place = nil
	}
}

// trace logs why a connection without a request ends.
func (d *downstream) trace(reason string) {
	if logging.DebugEnabled() {
		slog.Debug("idle_client_closed", "reason", reason, "bytes", len(d.conn.Input()), "pinged", d.pinged)
	}
}

// late ends a connection whose first line has not come in time: what began as a line gets an answer.
func (d *downstream) late() {
	if len(d.conn.Input()) > 0 {
		d.reject(errLate)
		return
	}
	d.dismiss()
}

// dismiss ends a connection on which nothing has been said. A request may be on its way in this very moment, so the client is
// told to come again: a close alone would leave that request without an answer.
func (d *downstream) dismiss() {
	d.trace("rested")
	if d.pinged {
		d.finish() // the front's own
		return
	}
	d.Reject(d.front.core.RetryAdvice())
}

// drop ends a newcomer for the sake of the next.
func (d *downstream) drop() {
	d.idle.Stop()
	d.trace("makes_room")
	switch {
	case d.conn.Over():
	case len(d.conn.Input()) > 0:
		d.conn.Write(fault)
	case !d.pinged:
		d.conn.Write(busy(d.front.core.RetryAdvice())) // a request may be on its way in this very moment
	}
	d.conn.Drop()
	d.gone()
}

func (d *downstream) finish() {
	d.idle.Stop()
	d.conn.Finish()
}

// Accept passes the host's own acceptance on.
func (d *downstream) Accept(receipt proxy.Message) {
	d.conn.Write(receipt.Text)
	d.served = true
	// What the client sent along with its first line waits in the buffer.
	d.front.loop.Post(d.Pump)
}

// Pass hands on a line of the host's; false: not now.
func (d *downstream) Pass(m proxy.Message) bool { return d.conn.Write(m.Text) }

func (d *downstream) Reject(after time.Duration) { d.last(busy(after)) }

func (d *downstream) Fail() { d.last(fault) }

func (d *downstream) Migrate() { d.last(move) }

// MigrationLine is what Move says.
func (d *downstream) MigrationLine() []byte { return move }

// Release lets go of the client's connection without ending it.
func (d *downstream) Release(done func(netio.Parts)) {
	d.idle.Stop()
	d.conn.Release(done)
}

func (d *downstream) last(p []byte) {
	d.idle.Stop()
	d.conn.FinishWith(p)
}

// End ends the client's connection as the host's ended.
func (d *downstream) End(cause netio.Cause) {
	d.idle.Stop()
	if cause == netio.Broke {
		d.conn.Abort()
		return
	}
	d.conn.Finish()
}
