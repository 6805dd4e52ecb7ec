package netio

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The bounds of the pause before unsent bytes are written again. The pause doubles each time.
const (
	minWriteRetryPause = 2 * time.Millisecond
	maxWriteRetryPause = 64 * time.Millisecond
)

// writeStallTimeout is how long bytes may stay unsent before the connection is ended. A connection that
// waits for its peer costs memory, and a descriptor on the other side of the proxy as well.
const writeStallTimeout = 10 * time.Second

// errPeerStalled is the reason for ending a connection at its stallDeadline.
var errPeerStalled = fmt.Errorf("the peer has not accepted all bytes within %v", writeStallTimeout)

// Write writes one line to the kernel and buffers what the kernel does not accept. It returns false and
// writes nothing while the rest of an earlier line is unsent; Handler.Writable is called once it is sent.
// On a connection that has ended it discards p and returns true.
func (c *Conn) Write(p []byte) bool {
	if c.ended {
		return true // the handler has ended it, or is about to be notified of its end
	}
	if len(c.output.unsent) > 0 {
		return false
	}
	c.writeThroughLayer(p)
	return true
}

// writeThroughLayer sends p after the bytes that are still unsent, through the layer if there is one.
func (c *Conn) writeThroughLayer(p []byte) {
	if c.layer == nil {
		c.writeToSocket(p)
	} else if err := c.layer.Seal(p); err != nil {
		c.loop.Post(func() { c.fail(layerError(err)) })
	}
}

// writeToSocket writes p to the kernel and buffers what the kernel does not accept. If earlier bytes are
// unsent, it appends p to them, and ends the connection instead if they exceed maxUnsentBytes.
func (c *Conn) writeToSocket(p []byte) {
	if len(c.output.unsent) > 0 {
		if len(c.output.unsent)+len(p) > maxUnsentBytes {
			c.loop.Post(func() { c.fail(&Error{Stage: Up, Cause: EndedLocally, Detail: errPeerNotReading}) })
			return
		}
		c.output.unsent = append(c.output.unsent, p...)
		return
	}
	n, err := c.send(p)
	if err != nil {
		c.writeFailed(err)
	}
	if n < len(p) {
		c.output.unsent = append(c.output.unsent, p[n:]...)
		c.output.retryPause, c.output.stallDeadline = minWriteRetryPause, c.loop.Now()+int64(writeStallTimeout)
		c.output.retryTimer = c.loop.After(c.output.retryPause, c.retryUnsent)
	}
}

// Blocked reports whether bytes are unsent because the peer or the kernel accepts no more.
func (c *Conn) Blocked() bool { return len(c.output.unsent) > 0 }

// retryUnsent writes unsent bytes again, by a timer with a backoff. netpoll's Flush would block the loop
// until a slow reader has accepted everything, and netpoll watches for writability only inside Flush.
func (c *Conn) retryUnsent() {
	n, err := c.send(c.output.unsent)
	c.output.unsent = c.output.unsent[:copy(c.output.unsent, c.output.unsent[n:])]
	switch {
	case err != nil:
		c.writeFailed(err)
	case len(c.output.unsent) > 0 && !c.ended && c.loop.Now() > c.output.stallDeadline:
		c.output.unsent = nil
		c.fail(&Error{Stage: Up, Cause: EndedLocally, Detail: errPeerStalled})
	case len(c.output.unsent) > 0 && !(c.ended && c.loop.Now() > c.ending.unsentDeadline):
		c.output.retryPause = min(2*c.output.retryPause, maxWriteRetryPause)
		c.output.retryTimer = c.loop.After(c.output.retryPause, c.retryUnsent)
	case c.ended && c.ending.finishing && len(c.output.unsent) == 0:
		c.halfClose()
	case c.ended:
		c.closeSocket()
	default:
		c.output.unsent = nil
		c.guard(func() { c.handler.Writable(c) })
	}
}

// sendmsg writes to a socket by the system call, without blocking and without SIGPIPE.
func sendmsg(fd int, p []byte) (int, error) {
	return unix.SendmsgN(fd, p, nil, nil, unix.MSG_NOSIGNAL|unix.MSG_DONTWAIT)
}

// send writes as much of p as the kernel accepts at once, and returns the number of bytes. An error means
// that the connection is broken. If the socket is closed, send discards p and returns its length, since
// the handler is about to be notified of the end.
func (c *Conn) send(p []byte) (done int, err error) {
	c.socket.mu.Lock()
	defer c.socket.mu.Unlock()
	if c.socket.fd < 0 {
		return len(p), nil
	}
	return sendSome(c.loop.sendmsg, c.socket.fd, p)
}

// sendSome writes as much of p as the kernel accepts at once. It returns no error if the kernel accepts no
// more for the moment, because the buffer is full or memory is short.
func sendSome(systemCall func(fd int, p []byte) (int, error), fd int, p []byte) (done int, err error) {
	for done < len(p) {
		n, err := systemCall(fd, p[done:])
		switch {
		case err == nil:
			done += n
		case err == syscall.EINTR:
		case err == syscall.EAGAIN, err == syscall.ENOBUFS, err == syscall.ENOMEM:
			return done, nil
		default:
			return done, err
		}
	}
	return len(p), nil
}

// writeFailed ends a connection on which a write has failed, because netpoll may not notice: the socket
// clears an error once a write has returned it. Until the handler is notified, the line counts as unsent.
func (c *Conn) writeFailed(err error) {
	c.loop.Post(func() {
		c.output.retryTimer.Stop()
		c.output.unsent = nil
		if c.ended {
			c.closeSocket()
			return
		}
		c.fail(&Error{Stage: Up, Cause: Broken, Detail: err})
	})
}

// FinishWith writes a last line and ends the connection as Finish does. Unlike Write, it accepts the line
// while the rest of an earlier one is unsent.
func (c *Conn) FinishWith(last []byte) {
	if c.ended {
		return
	}
	c.writeThroughLayer(last)
	c.Finish()
}
