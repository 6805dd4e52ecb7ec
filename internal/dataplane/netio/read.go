package netio

import (
	"errors"
	"log/slog"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// read takes over what netpoll holds. netpoll calls it on the loop.
func (c *Conn) read() {
	for c.np.Reader().Len() > 0 {
		n := c.np.Reader().Len()
		if c.over {
			c.np.Reader().Skip(n)
			c.discarded(n)
			continue
		}
		if !c.readSome(n) {
			break
		}
		if !c.over && c.in.Len() >= c.limit && c.pauseReading() {
			return // detached lets the poller go on
		}
	}
	c.np.Reader().Release()
}

// readSome takes over up to n bytes; false: netpoll has none after all.
func (c *Conn) readSome(n int) bool {
	if c.layer != nil {
		p, err := c.np.Reader().Next(n)
		if err == nil {
			c.unseal(p, c.limit)
		}
		return err == nil
	}
	space := c.in.Reserve(n)
	if len(space) == 0 {
		c.np.Reader().Skip(n)
		c.fail(&Error{Stage: Up, Cause: Dropped, Detail: errFlood})
		return true
	}
	got, err := c.np.Read(space)
	if err == nil {
		c.in.Extend(got)
		c.deliver()
	}
	return err == nil
}

// discarded counts what comes in after the last line went out.
func (c *Conn) discarded(n int) {
	if c.surplus += n; c.ending && c.surplus > lingeringInput {
		c.shut()
	}
}

// pauseReading takes the socket away from netpoll; what comes from here on stays in the kernel, and in the end with
// the sender. It is called from inside a callback of netpoll's, which completes the detaching when it returns.
func (c *Conn) pauseReading() bool {
	d, ok := c.np.(interface{ Detach() error })
	if !ok {
		return false
	}
	c.mu.Lock()
	c.detaching = c.fd >= 0
	detach := c.detaching
	c.mu.Unlock()
	if detach {
		c.paused = true
		d.Detach()
	}
	return detach
}

// resume gives the socket back.
func (c *Conn) resume() {
	c.mu.Lock()
	fd, ready := c.fd, !c.detaching
	c.mu.Unlock()
	if !ready || fd < 0 || c.release != nil {
		return // netpoll has not let go yet, and closed comes here again; or somebody else takes the socket
	}
	c.paused = false
	if err := c.handToPoller(fd); err != nil {
		c.paused = true
		c.watchAgain(err)
		return
	}
	c.refused = 0
}

// handToPoller has netpoll watch the socket. netpoll closes what it can't take, so the socket has another number meanwhile, where there is one
// to be had.
func (c *Conn) handToPoller(fd int) (err error) {
	spare := secondNumber(fd)
	current.park(func() {
		var np netpoll.Connection
		if np, err = netpoll.NewFDConnection(fd); err == nil {
			c.np = np
			c.watch()
		}
	})
	if err == nil {
		if spare >= 0 {
			unix.Close(spare)
		}
		return nil
	}
	c.mu.Lock()
	c.fd = spare
	c.mu.Unlock()
	return err
}

// How often, and how soon, a socket is offered to the poller again that it could not take: the kernel may be short of memory for a moment.
const (
	mostWatches = 20
	watchAgain  = 25 * time.Millisecond
)

func (c *Conn) watchAgain(err error) {
	c.refused++
	slog.Warn("watch_failed", "times", c.refused, "reason", err)
	c.mu.Lock()
	none := c.fd < 0
	c.mu.Unlock()
	if c.refused >= mostWatches || none {
		c.loop.Post(func() { c.fail(&Error{Stage: Up, Cause: Dropped, Detail: err}) })
		return
	}
	c.loop.After(watchAgain, func() {
		if c.paused && (!c.over || c.ending) {
			c.resume()
		}
	})
}

func (c *Conn) deliver() {
	if !c.over && c.release == nil {
		c.guard(func() { c.handler.Data(c) })
	}
}

// detached is netpoll's word that a pause has begun. It comes on the loop, where the pause was asked for.
func (c *Conn) detached(np netpoll.Connection) {
	current.park(func() {})
	for n := np.Reader().Len(); n > 0; n = np.Reader().Len() {
		if c.layer != nil {
			p, _ := np.Reader().Next(n)
			if !c.layer.Take(p) {
				c.loop.Post(func() { c.fail(&Error{Stage: Up, Cause: Dropped, Detail: errFlood}) })
				break
			}
			continue
		}
		space := c.in.Reserve(n)
		if len(space) == 0 {
			c.loop.Post(func() { c.fail(&Error{Stage: Up, Cause: Dropped, Detail: errFlood}) })
			break
		}
		got, _ := np.Read(space)
		c.in.Extend(got)
	}
	// netpoll lets go of the socket only after this callback, so all that follows waits for the loop's next turn.
	c.loop.Post(func() {
		c.mu.Lock()
		c.detaching = false
		c.mu.Unlock()
		if c.over && !c.ending {
			c.shut()
			return
		}
		if c.release != nil && !c.over {
			c.yield()
			return
		}
		if c.layer != nil {
			c.open(c.limit)
		} else {
			c.deliver()
		}
		if c.ending {
			c.resume()
		}
		if c.paused && !c.over && c.in.Len() < c.limit/2 {
			c.refill()
		}
	})
}

var errFlood = errors.New("more input than the limit")
