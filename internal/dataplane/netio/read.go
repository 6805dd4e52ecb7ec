package netio

import (
	"errors"
	"log/slog"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// read takes what netpoll has read. netpoll calls it on the loop.
func (c *Conn) read() {
	for c.transport.Reader().Len() > 0 {
		n := c.transport.Reader().Len()
		if c.ended {
			c.transport.Reader().Skip(n)
			c.countDiscarded(n)
			continue
		}
		if !c.readSome(n) {
			break
		}
		if !c.ended && c.input.Len() >= c.inputLimit && c.pauseReading() {
			return // detached lets the poller go on
		}
	}
	c.transport.Reader().Release()
}

// readSome takes up to n bytes; false: netpoll has none after all.
func (c *Conn) readSome(n int) bool {
	if c.layer != nil {
		p, err := c.transport.Reader().Next(n)
		if err == nil {
			c.readThroughLayer(p, c.inputLimit)
		}
		return err == nil
	}
	space := c.input.Reserve(n)
	if len(space) == 0 {
		c.transport.Reader().Skip(n)
		c.fail(&Error{Stage: Up, Cause: EndedLocally, Detail: errInputLimit})
		return true
	}
	got, err := c.transport.Read(space)
	if err == nil {
		c.input.Extend(got)
		c.deliver()
	}
	return err == nil
}

// countDiscarded counts what comes in after the last line went out.
func (c *Conn) countDiscarded(n int) {
	if c.ending.discardedBytes += n; c.ending.finishing && c.ending.discardedBytes > maxLingerInput {
		c.closeSocket()
	}
}

// pauseReading takes the socket away from netpoll; what comes from here on stays in the kernel's buffer, and then at the sender. It is called from inside a callback of netpoll's, which completes the detaching when it returns.
func (c *Conn) pauseReading() bool {
	d, ok := c.transport.(interface{ Detach() error })
	if !ok {
		return false
	}
	c.socket.mu.Lock()
	c.socket.detaching = c.socket.fd >= 0
	detach := c.socket.detaching
	c.socket.mu.Unlock()
	if detach {
		c.paused = true
		d.Detach()
	}
	return detach
}

// resume gives the socket back.
func (c *Conn) resume() {
	c.socket.mu.Lock()
	fd, ready := c.socket.fd, !c.socket.detaching
	c.socket.mu.Unlock()
	if !ready || fd < 0 || c.onReleased != nil {
		return // netpoll has not released it yet, and closed calls this again; or the connection is being released
	}
	c.paused = false
	if err := c.registerWithPoller(fd); err != nil {
		c.paused = true
		c.retryWatch(err)
		return
	}
	c.watchFailures = 0
}

// registerWithPoller has netpoll watch the socket. netpoll closes a socket that it can't watch, so this one has a second descriptor meanwhile, where
// there is one.
func (c *Conn) registerWithPoller(fd int) (err error) {
	spare := duplicateDescriptor(fd)
	environment.whilePollerParked(func() {
		var np netpoll.Connection
		if np, err = netpoll.NewFDConnection(fd); err == nil {
			c.transport = np
			c.watch()
		}
	})
	if err == nil {
		if spare >= 0 {
			unix.Close(spare)
		}
		return nil
	}
	c.socket.mu.Lock()
	c.socket.fd = spare
	c.socket.mu.Unlock()
	return err
}

// How often, and how soon, a socket is offered to the poller again that it could not take: the kernel may be short of memory for a moment.
const (
	maxWatchAttempts = 20
	watchRetryPause  = 25 * time.Millisecond
)

// retryWatch has netpoll watch the socket after a pause; too many failures end the connection.
func (c *Conn) retryWatch(err error) {
	c.watchFailures++
	slog.Warn("watch_failed", "times", c.watchFailures, "reason", err)
	c.socket.mu.Lock()
	noDescriptor := c.socket.fd < 0
	c.socket.mu.Unlock()
	if c.watchFailures >= maxWatchAttempts || noDescriptor {
		c.loop.Post(func() { c.fail(&Error{Stage: Up, Cause: EndedLocally, Detail: err}) })
		return
	}
	c.loop.After(watchRetryPause, func() {
		if c.paused && (!c.ended || c.ending.finishing) {
			c.resume()
		}
	})
}

// deliver has the handler read the input.
func (c *Conn) deliver() {
	if !c.ended && c.onReleased == nil {
		c.guard(func() { c.handler.Data(c) })
	}
}

// finishPause is netpoll's callback once a pause has begun. It comes on the loop, where the pause was requested.
func (c *Conn) finishPause(np netpoll.Connection) {
	environment.whilePollerParked(func() {})
	for n := np.Reader().Len(); n > 0; n = np.Reader().Len() {
		if c.layer != nil {
			p, _ := np.Reader().Next(n)
			if !c.layer.Receive(p) {
				c.loop.Post(func() { c.fail(&Error{Stage: Up, Cause: EndedLocally, Detail: errInputLimit}) })
				break
			}
			continue
		}
		space := c.input.Reserve(n)
		if len(space) == 0 {
			c.loop.Post(func() { c.fail(&Error{Stage: Up, Cause: EndedLocally, Detail: errInputLimit}) })
			break
		}
		got, _ := np.Read(space)
		c.input.Extend(got)
	}
	// netpoll releases the socket only after this callback, so all that follows waits for the loop's next turn.
	c.loop.Post(func() {
		c.socket.mu.Lock()
		c.socket.detaching = false
		c.socket.mu.Unlock()
		if c.ended && !c.ending.finishing {
			c.closeSocket()
			return
		}
		if c.onReleased != nil && !c.ended {
			c.completeRelease()
			return
		}
		if c.layer != nil {
			c.readLayer(c.inputLimit)
		} else {
			c.deliver()
		}
		if c.ending.finishing {
			c.resume()
		}
		if c.paused && !c.ended && c.input.Len() < c.inputLimit/2 {
			c.refill()
		}
	})
}

var errInputLimit = errors.New("more input than the limit")
