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

	mu              sync.Mutex
	ready           *sync.Cond
	waiting         []*Dial
	dialsPerAddress map[string]int
	maxPerAddress   int // dials at a time to one address: a vanished one must not use them all

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
	ended    bool // guarded by the dialer's mu
	expiry   *Timer
}

// NewDialer starts n dialers.
func NewDialer(l *Loop, n int) *Dialer {
	d := &Dialer{loop: l, dialsPerAddress: map[string]int{}, maxPerAddress: max(1, n/4), dial: netpoll.DialConnection}
	d.ready = sync.NewCond(&d.mu)
	for range n {
		go d.runDials()
	}
	return d
}

// Dial opens a connection to addr within the time given, waiting for a dialer included, and calls done on the loop,
// once, unless Drop comes first. h handles the connection; limit bounds its input.
func (d *Dialer) Dial(addr string, timeout time.Duration, limit int, h Handler, done func(*Conn, *Error)) *Dial {
	q := &Dial{dialer: d, addr: addr, limit: limit, deadline: d.loop.Now() + int64(timeout), handler: h, done: done}
	// The limit holds on the loop's own clock too: a dial still queued when it passes is over.
	q.expiry = d.loop.After(timeout, func() {
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
		q.markEnded()
	}
}

// markEnded ends a dial; false: it had ended already.
func (q *Dial) markEnded() bool {
	q.expiry.Stop()
	q.dialer.mu.Lock()
	defer q.dialer.mu.Unlock()
	alreadyEnded := q.ended
	q.ended = true
	return !alreadyEnded
}

func (q *Dial) finish(np netpoll.Connection, err *Error) {
	if !q.markEnded() {
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

// nextDial is the oldest dial that may begin; those dropped while they waited are never begun.
func (d *Dialer) nextDial() *Dial {
	d.mu.Lock()
	defer d.mu.Unlock()
	for {
		remaining := d.waiting[:0]
		var found *Dial
		for _, q := range d.waiting {
			switch {
			case q.ended:
			case found == nil && d.dialsPerAddress[q.addr] < d.maxPerAddress:
				found = q
			default:
				remaining = append(remaining, q)
			}
		}
		clear(d.waiting[len(remaining):])
		d.waiting = remaining
		if found != nil {
			d.dialsPerAddress[found.addr]++
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
		timeLeft := time.Duration(q.deadline - d.loop.Now())
		d.mu.Lock()
		ended := timeLeft <= 0 || q.ended
		d.mu.Unlock()
		if ended {
			return nil, err
		}
		if np, err = d.dial("tcp", q.addr, timeLeft); err == nil || !isResourceShortage(err) {
			return np, err
		}
		time.Sleep(dialRetryPause)
	}
}

func (d *Dialer) runDials() {
	for {
		q := d.nextDial()
		np, err := d.connect(q)
		d.mu.Lock()
		if d.dialsPerAddress[q.addr]--; d.dialsPerAddress[q.addr] == 0 {
			delete(d.dialsPerAddress, q.addr)
		}
		d.mu.Unlock()
		d.ready.Signal()
		d.loop.Post(func() {
			if err != nil {
				// netpoll's errors do not distinguish a refusal from a time-out; the clock does.
				cause := Refused
				if d.loop.Now() >= q.deadline {
					cause = TimedOut
				}
				q.finish(nil, &Error{Stage: Connecting, Cause: cause, Detail: err})
				return
			}
			q.finish(np, nil)
		})
	}
}
