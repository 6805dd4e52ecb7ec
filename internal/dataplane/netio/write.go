package netio

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The backoff before the rest of a line is written again.
const (
	minWriteRetryPause = 2 * time.Millisecond
	maxWriteRetryPause = 64 * time.Millisecond
)

// writeStallTimeout is how long a peer may take nothing before its connection is ended: it costs memory, and a descriptor on the other side of
// the proxy too.
const writeStallTimeout = 10 * time.Second

// Write writes one line to the kernel. False: it accepts nothing while the rest of an earlier line waits; Handler.Writable follows.
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

// writeThroughLayer sends bytes, by way of the layer where there is one; they go behind the rest of what the peer has not taken yet.
func (c *Conn) writeThroughLayer(p []byte) {
	if c.layer == nil {
		c.writeToSocket(p)
	} else if err := c.layer.Seal(p); err != nil {
		c.loop.Post(func() { c.fail(layerError(err)) })
	}
}

// writeToSocket writes bytes to the kernel and buffers what it does not take.
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

// Blocked reports whether the rest of a line waits for the peer.
func (c *Conn) Blocked() bool { return len(c.output.unsent) > 0 }

// retryUnsent writes the rest of a line again, by a timer with a backoff: netpoll's own Flush would block the loop until a slow reader has taken
// everything, and its poller watches for writing only inside that call.
func (c *Conn) retryUnsent() {
	n, err := c.send(c.output.unsent)
	c.output.unsent = c.output.unsent[:copy(c.output.unsent, c.output.unsent[n:])]
	switch {
	case err != nil:
		c.writeFailed(err)
	case len(c.output.unsent) > 0 && !c.ended && c.loop.Now() > c.output.stallDeadline:
		c.output.unsent = nil
		c.fail(&Error{Stage: Up, Cause: EndedLocally, Detail: errors.New("the peer reads nothing")})
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

// sendmsg is the system call.
func sendmsg(fd int, p []byte) (int, error) {
	return unix.SendmsgN(fd, p, nil, nil, unix.MSG_NOSIGNAL|unix.MSG_DONTWAIT)
}

// send writes what the kernel takes right now, and gives how much that was. A kernel that is short of memory or of buffers takes nothing for the
// moment. Any other error means that the connection is broken. A connection whose socket is closed takes everything: its handler is about to be
// notified of its end.
func (c *Conn) send(p []byte) (done int, err error) {
	c.socket.mu.Lock()
	defer c.socket.mu.Unlock()
	if c.socket.fd < 0 {
		return len(p), nil
	}
	return sendSome(c.loop.sendmsg, c.socket.fd, p)
}

// sendSome writes what the kernel takes right now. It gives no error where the kernel takes no more for the moment.
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

// writeFailed ends a connection on which a write has failed. Until its handler is notified the line counts as not completely written. netpoll may
// not notice: the error that a write returns is cleared on the socket.
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

// FinishWith writes a last line and ends the connection as Finish does. The line also goes out where the rest of an earlier
// one still waits for the peer: Write would take nothing then.
func (c *Conn) FinishWith(last []byte) {
	if c.ended {
		return
	}
	c.writeThroughLayer(last)
	c.Finish()
}
