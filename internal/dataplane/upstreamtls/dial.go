package upstreamtls

import (
	"errors"
	"time"

	"croftlock/internal/dataplane/handshake"
	"croftlock/internal/dataplane/netio"
)

// pendingDial is a connection that is being opened. It belongs to the loop.
type pendingDial struct {
	dialer     *Dialer
	requestID  uint64 // identifies the dial in the handshake budget
	host       Host
	inputLimit int   // bytes of buffered input at which reading pauses
	deadline   int64 // on the loop's clock, in nanoseconds
	handler    netio.Handler
	done       func(*netio.Conn, *netio.Error)
	timer      *netio.Timer  // fires at the deadline; nil if the dial was rejected at once
	job        *handshakeJob // nil while the dial is queued
	ended      bool          // failed, cancelled or established
}

// Dial opens a connection to host and calls done once on the loop, with either the connection or an
// error, unless cancel is called first. timeout includes the wait in the queue of the handshake budget.
// handler handles the connection, and inputLimit bounds its buffered input in bytes.
func (d *Dialer) Dial(host Host, timeout time.Duration, inputLimit int, handler netio.Handler, done func(*netio.Conn, *netio.Error)) (cancel func()) {
	d.lastID++
	dial := &pendingDial{dialer: d, requestID: d.lastID, host: host, inputLimit: inputLimit, deadline: d.loop.Now() + int64(timeout), handler: handler, done: done}
	p, f := d.peerFor(host)
	if f == nil {
		if r := d.budget.Enqueue(d.loop.Now(), dial.requestID, host.ID, p.resumable(), dial.deadline); r != handshake.NotRejected {
			f = budgetFailure(r)
		}
	}
	if f != nil {
		d.loop.Post(func() { dial.fail(f) })
		return dial.cancel
	}
	d.dials[dial.requestID] = dial
	dial.timer = d.loop.After(timeout, dial.timedOut)
	d.startAllowed()
	return dial.cancel
}

// budgetFailure returns the failure of a dial that the handshake budget rejects.
func budgetFailure(r handshake.RejectReason) *Failure {
	return &Failure{Reason: NoBudget, Step: "queue", Err: errors.New(r.String())}
}

// timedOut fails the dial when its timeout has passed. A dial that is still queued fails because the
// handshake budget did not allow it in time.
func (d *pendingDial) timedOut() {
	if d.job == nil {
		d.dialer.budget.Drop(d.requestID)
		d.fail(budgetFailure(handshake.DeadlineTooSoon))
		return
	}
	d.job.abort()
	d.fail(&Failure{Reason: TimedOut, Step: "finish"})
}

// cancel ends the dial without calling done. It does nothing if the dial has ended.
func (d *pendingDial) cancel() {
	if !d.markEnded() {
		return
	}
	if d.job == nil {
		d.dialer.budget.Drop(d.requestID)
		return
	}
	d.job.abort()
}

// markEnded marks the dial as ended, stops its timer and removes it from its Dialer. It reports whether the
// dial had not ended before.
func (d *pendingDial) markEnded() bool {
	endedBefore := d.ended
	d.ended = true
	d.timer.Stop()
	delete(d.dialer.dials, d.requestID)
	return !endedBefore
}

// fail ends the dial, logs the failure and passes it to done. It does nothing if the dial has ended.
func (d *pendingDial) fail(f *Failure) {
	if !d.markEnded() {
		return
	}
	d.dialer.logFailure(d.host.ID, f)
	cause := netio.Refused
	if f.Reason == TimedOut || f.Reason == NoBudget {
		cause = netio.TimedOut
	}
	d.done(nil, &netio.Error{Stage: netio.Connecting, Cause: cause, Detail: f})
}
