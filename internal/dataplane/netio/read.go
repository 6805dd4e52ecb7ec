package netio

import (
	"errors"
	"log/slog"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// read moves what netpoll has read to the layer or the input, and calls the handler. netpoll calls it
// on the loop.
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
			return // netpoll now calls transportClosed, which releases the poller and calls finishPause for the rest
		}
	}
	c.transport.Reader().Release()
}

// readSome reads up to n bytes and delivers them. It returns false if netpoll returns an error.
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

// countDiscarded counts n bytes of input that arrive after this side has ended the connection. After Finish,
// it closes the socket once more than maxLingerInput bytes have been discarded.
func (c *Conn) countDiscarded(n int) {
	if c.ending.discardedBytes += n; c.ending.finishing && c.ending.discardedBytes > maxLingerInput {
		c.closeSocket()
	}
}

// pauseReading detaches the socket from netpoll, so that further input stays in the kernel's buffer and
// then at the sender. It reports whether the socket is being detached; finishPause is called once it
// is. If it is called inside a netpoll callback, netpoll detaches the socket when that returns.
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

// resume makes netpoll watch the socket again. It does nothing if the connection has no descriptor or is
// being released, or if the socket is still being detached.
func (c *Conn) resume() {
	c.socket.mu.Lock()
	fd, ready := c.socket.fd, !c.socket.detaching
	c.socket.mu.Unlock()
	if !ready || fd < 0 || c.onReleased != nil {
		return // if netpoll is still detaching the socket, finishPause resumes it if required
	}
	c.paused = false
	if err := c.registerWithPoller(fd); err != nil {
		c.paused = true
		c.retryWatch(err)
		return
	}
	c.watchFailures = 0
}

// registerWithPoller makes netpoll watch the socket. netpoll closes a socket that it cannot watch, so
// the connection keeps a duplicate descriptor, if the kernel has one, until that has succeeded.
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

// maxWatchAttempts is how many consecutive times registering a socket with the poller may fail until the
// connection ends, with watchRetryPause after each failure: the kernel may be short of memory for a moment.
const (
	maxWatchAttempts = 20
	watchRetryPause  = 25 * time.Millisecond
)

// retryWatch makes netpoll watch the socket after watchRetryPause. It ends the connection after
// maxWatchAttempts consecutive failures, or if no descriptor is left. err is the last failure.
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

// deliver calls the handler to read the input, unless the connection has ended or is being released.
func (c *Conn) deliver() {
	if !c.ended && c.onReleased == nil {
		c.guard(func() { c.handler.Data(c) })
	}
}

// finishPause reads what netpoll has buffered of a socket that is being detached, and completes the
// pause. netpoll calls it on the loop, on which the pause was requested.
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
	// netpoll releases the socket only after this callback, so the rest is posted to the loop.
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

// errInputLimit is the reason for ending a connection whose input does not fit into its buffer.
var errInputLimit = errors.New("unread input exceeds the limit of the connection")
