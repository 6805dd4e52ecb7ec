package netio

import (
	"errors"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
)

// Dialer opens connections. netpoll's dial blocks its caller until the peer answers or time runs out, so a fixed set of goroutines waits for
// them. No address may use more than a quarter of these: a host that has vanished takes all of its time limit for each dial, and must not
// delay the dials to others.
type Dialer struct {
	loop *Loop

	mu            sync.Mutex
	ready         *sync.Cond
	waiting       []*Dial
	busy          map[string]int
	maxPerAddress int // dials at a time to one address: a vanished one must not use them all

	dial func(network, addr string, timeout time.Duration) (netpoll.Connection, error) // netpoll's; tests replace it
}

// dialRetryPause is the pause before a connect is retried for which this machine had no resources.
const dialRetryPause = 5 * time.Millisecond

// Dial is one connection being opened.
type Dial struct {
	dialer   *Dialer
	addr     string
	limit    int
	deadline int64
	handler  Handler
	done     func(*Conn, *Error)
	dropped  bool // guarded by the dialer's mu
	expiry   *Timer
}

// NewDialer starts n dialers.
func NewDialer(l *Loop, n int) *Dialer {
	d := &Dialer{loop: l, busy: map[string]int{}, maxPerAddress: max(1, n/4), dial: netpoll.DialConnection}
	d.ready = sync.NewCond(&d.mu)
	for range n {
		go d.work()
	}
	return d
}

// Dial opens a connection to addr within the time given, waiting for a dialer included, and calls done on the loop,
// once, unless Drop comes first. h handles the connection; limit bounds its input.
func (d *Dialer) Dial(addr string, within time.Duration, limit int, h Handler, done func(*Conn, *Error)) *Dial {
	q := &Dial{dialer: d, addr: addr, limit: limit, deadline: d.loop.Now() + int64(within), handler: h, done: done}
	// The limit holds on the loop's own clock too: a dial still queued when it passes is over.
	q.expiry = d.loop.After(within, func() {
		q.finish(nil, &Error{Stage: Connecting, Cause: TimedOut})
	})
	d.mu.Lock()
	d.waiting = append(d.waiting, q)
	d.mu.Unlock()
	d.ready.Signal()
	return q
}

// Cancel ends the dial; done is not called any more. A nil Dial is none.
func (q *Dial) Cancel() {
	if q != nil {
		q.settle()
	}
}

// settle ends a dial; false: it had ended already.
func (q *Dial) settle() bool {
	q.expiry.Stop()
	q.dialer.mu.Lock()
	defer q.dialer.mu.Unlock()
	was := q.dropped
	q.dropped = true
	return !was
}

func (q *Dial) finish(np netpoll.Connection, err *Error) {
	if !q.settle() {
		if np != nil {
			np.Close()
		}
		return
	}
	if err != nil {
		q.done(nil, err)
		return
	}
	c := newConn(q.dialer.loop, np, q.limit)
	c.handler = q.handler
	c.guard(func() { q.done(c, nil) })
	if !c.Ended() {
		c.start(q.handler)
	}
}

// next is the oldest dial that may begin; those dropped while they waited are never begun.
func (d *Dialer) next() *Dial {
	d.mu.Lock()
	defer d.mu.Unlock()
	for {
		left := d.waiting[:0]
		var found *Dial
		for _, q := range d.waiting {
			switch {
			case q.dropped:
			case found == nil && d.busy[q.addr] < d.maxPerAddress:
				found = q
			default:
				left = append(left, q)
			}
		}
		clear(d.waiting[len(left):])
		d.waiting = left
		if found != nil {
			d.busy[found.addr]++
			return found
		}
		d.ready.Wait()
	}
}

// connect makes the connection within the dial's time. A connect for which this machine has no descriptor, port or memory is no fault of the
// host, which must not be ejected for it, and is retried.
func (d *Dialer) connect(q *Dial) (np netpoll.Connection, err error) {
	err = errors.New("no time left")
	for {
		left := time.Duration(q.deadline - d.loop.Now())
		d.mu.Lock()
		over := left <= 0 || q.dropped
		d.mu.Unlock()
		if over {
			return nil, err
		}
		if np, err = d.dial("tcp", q.addr, left); err == nil || !isResourceShortage(err) {
			return np, err
		}
		time.Sleep(dialRetryPause)
	}
}

func (d *Dialer) work() {
	for {
		q := d.next()
		np, fault := d.connect(q)
		d.mu.Lock()
		if d.busy[q.addr]--; d.busy[q.addr] == 0 {
			delete(d.busy, q.addr)
		}
		d.mu.Unlock()
		d.ready.Signal()
		d.loop.Post(func() {
			if fault != nil {
				// netpoll's errors do not distinguish a refusal from a time-out; the clock does.
				cause := Refused
				if d.loop.Now() >= q.deadline {
					cause = TimedOut
				}
				q.finish(nil, &Error{Stage: Connecting, Cause: cause, Detail: fault})
				return
			}
			q.finish(np, nil)
		})
	}
}
