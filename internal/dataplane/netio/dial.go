package netio

import (
	"errors"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
)

// Dialer opens connections. netpoll's dial blocks until the peer answers or the timeout expires, so a
// fixed number of goroutines make the dials. One address may use at most a quarter of them: a dial to a
// host that has vanished takes its whole timeout, and must not delay the dials to others.
type Dialer struct {
	loop *Loop

	mu              sync.Mutex
	ready           *sync.Cond     // signalled when a dial may be able to start
	waiting         []*Dial        // the oldest first
	dialsPerAddress map[string]int // dials in progress
	maxPerAddress   int            // dials in progress to one address

	// dial is netpoll.DialConnection. Tests replace it.
	dial func(network, addr string, timeout time.Duration) (netpoll.Connection, error)
}

// dialRetryPause is the pause before a connect that failed for lack of local resources is retried.
const dialRetryPause = 5 * time.Millisecond

// Dial is a connection that is being opened.
type Dial struct {
	dialer   *Dialer
	addr     string
	limit    int   // bytes of input at which reading pauses
	deadline int64 // Unix time in nanoseconds
	handler  Handler
	done     func(*Conn, *Error)
	ended    bool   // done or Cancel was called; guarded by the dialer's mu
	expiry   *Timer // ends the dial at its deadline
}

// NewDialer returns a dialer that makes up to n dials at a time, on n goroutines, which it starts and
// which run as long as the process. The handlers of the connections run on l.
func NewDialer(l *Loop, n int) *Dialer {
	d := &Dialer{loop: l, dialsPerAddress: map[string]int{}, maxPerAddress: max(1, n/4), dial: netpoll.DialConnection}
	d.ready = sync.NewCond(&d.mu)
	for range n {
		go d.runDials()
	}
	return d
}

// Dial opens a connection to addr. It calls done once, on the loop, with either the connection or
// the error and nil for the other argument, unless Cancel is called first. The timeout includes the wait
// for a free goroutine. h handles the connection; limit is the number of bytes of input at which reading
// pauses. Dial must be called on the loop.
func (d *Dialer) Dial(addr string, timeout time.Duration, limit int, h Handler, done func(*Conn, *Error)) *Dial {
	q := &Dial{dialer: d, addr: addr, limit: limit, deadline: d.loop.Now() + int64(timeout), handler: h, done: done}
	// The timer keeps the deadline by the loop's clock, in addition to netpoll's own timeout. It also
	// ends a dial that is still queued at its deadline.
	q.expiry = d.loop.After(timeout, func() {
		q.finish(nil, &Error{Stage: Connecting, Cause: TimedOut})
	})
	d.mu.Lock()
	d.waiting = append(d.waiting, q)
	d.mu.Unlock()
	d.ready.Signal()
	return q
}

// Cancel ends the dial without calling done. It does nothing on a nil Dial or one that has ended.
func (q *Dial) Cancel() {
	if q != nil {
		q.markEnded()
	}
}

// markEnded ends the dial. It returns false if the dial had already ended.
func (q *Dial) markEnded() bool {
	q.expiry.Stop()
	q.dialer.mu.Lock()
	defer q.dialer.mu.Unlock()
	alreadyEnded := q.ended
	q.ended = true
	return !alreadyEnded
}

// finish ends the dial and calls done with the connection made from np, or with the error. If the dial has
// already ended, finish only closes np.
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

// nextDial waits for and returns the oldest dial that may start. It removes dials that have ended while
// they waited.
func (d *Dialer) nextDial() *Dial {
	d.mu.Lock()
	defer d.mu.Unlock()
	for {
		remaining := d.waiting[:0]
		var found *Dial
		for _, q := range d.waiting {
			switch {
			case q.ended: // dropped from the queue
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

// connect opens the connection before the dial's deadline. It retries an attempt that fails because this
// machine has no descriptor, port or memory left. Otherwise the host would be ejected (get no requests)
// for a shortage on this machine.
func (d *Dialer) connect(q *Dial) (np netpoll.Connection, err error) {
	err = errors.New("the dial ended before a connection was attempted")
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

// runDials makes one dial after the other, for as long as the process runs.
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
				// netpoll's errors do not distinguish a refusal from a timeout, so the deadline decides.
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
