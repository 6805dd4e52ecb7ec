package upstreamtls

import (
	"errors"
	"time"

	"croftlock/internal/dataplane/handshake"
	"croftlock/internal/dataplane/netio"
)

// pendingDial is one connection being opened.
type pendingDial struct {
	link       *Dialer
	requestID  uint64
	host       Host
	inputLimit int
	deadline   int64
	handler    netio.Handler
	done       func(*netio.Conn, *netio.Error)
	expiry     *netio.Timer
	job        *handshakeJob // once it is in flight; nil: it is queued
	ended      bool
}

// Dial opens a connection to t within the time given, the wait for the handshake's turn included, and calls done on the
// loop, once, unless drop comes first. h handles the connection; limit bounds its input.
func (k *Dialer) Dial(t Host, within time.Duration, limit int, h netio.Handler, done func(*netio.Conn, *netio.Error)) (drop func()) {
	k.lastID++
	d := &pendingDial{link: k, requestID: k.lastID, host: t, inputLimit: limit, deadline: k.loop.Now() + int64(within), handler: h, done: done}
	p, f := k.peer(t)
	if f == nil {
		if r := k.budget.Enqueue(k.loop.Now(), d.requestID, t.ID, p.resumable(), d.deadline); r != handshake.NotRejected {
			f = budgetFailure(r)
		}
	}
	if f != nil {
		k.loop.Post(func() { d.fail(f) })
		return d.drop
	}
	k.dials[d.requestID] = d
	d.expiry = k.loop.After(within, d.timedOut)
	k.beginAllowed()
	return d.drop
}

// budgetFailure is the failure of a dial that the handshake budget rejects.
func budgetFailure(r handshake.RejectReason) *Failure {
	return &Failure{Reason: NoBudget, Step: "queue", Err: errors.New(r.String())}
}

// timedOut ends a dial that has taken too long.
func (d *pendingDial) timedOut() {
	if d.job == nil {
		d.link.budget.Drop(d.requestID)
		d.fail(budgetFailure(handshake.DeadlineTooSoon))
		return
	}
	d.job.abort()
	d.fail(&Failure{Reason: TimedOut, Step: "finish"})
}

// drop ends the dial; done is not called any more.
func (d *pendingDial) drop() {
	if !d.end() {
		return
	}
	if d.job == nil {
		d.link.budget.Drop(d.requestID)
		return
	}
	d.job.abort()
}

// end ends a dial; false: it had ended already.
func (d *pendingDial) end() bool {
	was := d.ended
	d.ended = true
	d.expiry.Stop()
	delete(d.link.dials, d.requestID)
	return !was
}

// fail ends a dial with a failure.
func (d *pendingDial) fail(f *Failure) {
	if !d.end() {
		return
	}
	d.link.logFailure(d.host.ID, f)
	cause := netio.Refused
	if f.Reason == TimedOut || f.Reason == NoBudget {
		cause = netio.TimedOut
	}
	d.done(nil, &netio.Error{Stage: netio.Connecting, Cause: cause, Detail: f})
}
