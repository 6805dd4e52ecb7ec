package upstreamtls

import (
	"errors"
	"time"

	"croftlock/internal/dataplane/handshake"
	"croftlock/internal/dataplane/netio"
)

// dial is one connection being opened.
type dial struct {
	link     *Link
	id       uint64
	host     Host
	limit    int
	deadline int64
	handler  netio.Handler
	done     func(*netio.Conn, *netio.Error)
	expiry   *netio.Timer
	job      *job // once it is out
	over     bool
}

// Dial opens a connection to t within the time given, the wait for the handshake's turn included, and calls done on the
// loop, once, unless drop comes first. h handles the connection; limit bounds its input.
func (k *Link) Dial(t Host, within time.Duration, limit int, h netio.Handler, done func(*netio.Conn, *netio.Error)) (drop func()) {
	k.next++
	d := &dial{link: k, id: k.next, host: t, limit: limit, deadline: k.loop.Now() + int64(within), handler: h, done: done}
	p, f := k.peer(t)
	if f == nil {
		if r := k.budget.Ask(k.loop.Now(), d.id, t.ID, p.resumable(), d.deadline); r != handshake.None {
			f = noBudget(r)
		}
	}
	if f != nil {
		k.loop.Post(func() { d.fail(f) })
		return d.drop
	}
	k.dials[d.id] = d
	d.expiry = k.loop.After(within, d.late)
	k.kick()
	return d.drop
}

// noBudget is what the budget's refusal means to whoever dials.
func noBudget(r handshake.Refusal) *Failure {
	return &Failure{Reason: NoBudget, Step: "queue", Err: errors.New(r.String())}
}

// late is the end of the time.
func (d *dial) late() {
	if d.job == nil {
		d.link.budget.Drop(d.id)
		d.fail(noBudget(handshake.NoTime))
		return
	}
	d.job.abort()
	d.fail(&Failure{Reason: TimedOut, Step: "finish"})
}

// drop gives the dial up; done is not called any more.
func (d *dial) drop() {
	if !d.settle() {
		return
	}
	if d.job == nil {
		d.link.budget.Drop(d.id)
		return
	}
	d.job.abort()
}

// settle makes sure that a dial ends once, and tells whether this was the time.
func (d *dial) settle() bool {
	was := d.over
	d.over = true
	d.expiry.Stop()
	delete(d.link.dials, d.id)
	return !was
}

func (d *dial) fail(f *Failure) {
	if !d.settle() {
		return
	}
	d.link.note(d.host.ID, f)
	cause := netio.Refused
	if f.Reason == TimedOut || f.Reason == NoBudget {
		cause = netio.Expired
	}
	d.done(nil, &netio.Error{Stage: netio.Connecting, Cause: cause, Detail: f})
}
