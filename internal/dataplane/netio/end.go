package netio

import (
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// lingerTimeout bounds how long an ended connection waits until its last line is sent and its peer hangs up.
const lingerTimeout = time.Second

// maxLingerInput bounds the input, in bytes, discarded after Finish. A peer that sends more is not reading.
const maxLingerInput = 1 << 20

// transportClosed is netpoll's callback for a closed or detached socket. It may run on a goroutine of netpoll.
func (c *Conn) transportClosed(np netpoll.Connection) error {
	environment.gate.releasePoller()
	cause := Ended
	c.socket.mu.Lock()
	if c.socket.detaching {
		c.socket.mu.Unlock()
		c.finishPause(np)
		return nil
	}
	kept := c.socket.fd >= 0 && c.keepDescriptor() // true if netpoll closed it, but neither side ended it
	if c.socket.fd >= 0 && !kept {
		cause = c.endCause()
		c.socket.fd = -1 // another connection may get the number from here on
		if c.socket.unsettled {
			c.socket.unsettled = false
			environment.unsettled.remove()
		}
	}
	c.socket.mu.Unlock()
	var tail []byte
	if n := np.Reader().Len(); n > 0 {
		// Bytes that arrived right before the end: netpoll does not call read for them any more.
		tail = make([]byte, n)
		np.Read(tail)
	}
	if kept {
		c.loop.Post(func() { c.watchKeptDescriptor(tail) })
		return nil
	}
	c.loop.Post(func() {
		if c.ended {
			c.descriptorFreed()
			return
		}
		switch {
		case c.layer != nil:
			c.readThroughLayer(tail, c.inputLimit+inputOvershoot)
			if cause == Ended {
				// Anybody on the path can close the socket; only the peer can send the layer's closing message.
				c.fail(&Error{Stage: Up, Cause: Broken, Detail: errTruncated})
			}
		case len(tail) > 0:
			c.input.Append(tail)
			c.deliver()
		}
		c.fail(&Error{Stage: Up, Cause: cause})
	})
	return nil
}

// closeSocket closes the socket, with a reset after Abort. While netpoll is detaching the socket, it leaves
// the closing to finishPause.
func (c *Conn) closeSocket() {
	c.ending.lingerTimer.Stop()
	c.ending.finishing = false
	c.socket.mu.Lock()
	c.socket.closing = true
	if c.ending.abort && c.socket.fd >= 0 {
		unix.SetsockoptLinger(c.socket.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.socket.mu.Unlock()
	if !c.paused {
		c.closeTransport()
		c.descriptorFreed()
		return
	}
	c.socket.mu.Lock()
	closed := !c.socket.detaching && c.socket.fd >= 0
	if closed {
		unix.Close(c.socket.fd)
		c.socket.fd = -1
	}
	c.socket.mu.Unlock()
	if closed {
		c.descriptorFreed()
	}
}

// closeTransport makes netpoll close the socket. If the loop has not run all tasks of the connection yet,
// netpoll does so only then, and the descriptor is unsettled until then.
func (c *Conn) closeTransport() {
	c.socket.mu.Lock()
	if c.socket.fd >= 0 && !c.socket.unsettled {
		c.socket.unsettled = true
		environment.unsettled.add()
	}
	c.socket.mu.Unlock()
	c.transport.Close()
}

// OnDescriptorFree sets f, which is called on the loop when the descriptor is freed: at or after the end.
func (c *Conn) OnDescriptorFree(f func()) { c.onDescriptorFree = f }

// descriptorFreed calls the function set by OnDescriptorFree, once.
func (c *Conn) descriptorFreed() {
	c.ending.lingerTimer.Stop()
	if f := c.onDescriptorFree; f != nil {
		c.onDescriptorFree = nil
		f()
	}
}

// endCause asks the kernel for the cause: netpoll reports a reset as an end. The caller must hold socket.mu.
func (c *Conn) endCause() Cause {
	info, err := unix.GetsockoptTCPInfo(c.socket.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	const tcpClose = 7
	if err != nil || info.State == tcpClose {
		return Broken
	}
	return Ended
}

// FinalMessager is a Handler that sends a last message if this side ends the connection (EndedLocally).
type FinalMessager interface {
	// FinalMessage returns the message. It is called on the loop, right before the end and Closed.
	FinalMessage() []byte
}

// fail ends the connection and calls the handler's Closed. It does nothing if the connection has ended.
func (c *Conn) fail(err *Error) {
	if c.ended {
		return
	}
	input := c.input
	if messager, ok := c.handler.(FinalMessager); ok && err.Cause == EndedLocally {
		c.FinishWith(messager.FinalMessage())
	} else {
		c.Close()
	}
	c.input = input // the handler may still read input from before the end
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "close", "reason", p, "stack", string(debug.Stack()))
		}
	}()
	c.handler.Closed(c, err)
}

// Close ends the connection in order, after its unsent bytes have been sent or lingerTimeout has passed.
func (c *Conn) Close() {
	if c.ended {
		return
	}
	c.releaseFailed()
	c.endLayer()
	c.ended, c.input = true, Buffer{}
	if len(c.output.unsent) > 0 {
		c.ending.unsentDeadline = c.loop.Now() + int64(lingerTimeout)
		return // retryUnsent closes the socket: a line must not be cut off because its reader is slow
	}
	c.closeSocket()
}

// Finish closes the direction to the peer after the last line, and discards input until the peer hangs up
// or lingerTimeout passes. If input is unread, Close would send a reset, which can overtake the last line.
func (c *Conn) Finish() {
	if c.ended {
		return
	}
	c.releaseFailed()
	c.endLayer()
	c.ended, c.ending.finishing, c.input = true, true, Buffer{}
	c.ending.unsentDeadline = c.loop.Now() + int64(lingerTimeout)
	c.ending.lingerTimer = c.loop.After(lingerTimeout, c.closeSocket)
	if len(c.output.unsent) == 0 {
		c.halfClose()
	}
}

// halfClose closes the direction to the peer.
func (c *Conn) halfClose() {
	c.socket.mu.Lock()
	if c.socket.fd >= 0 {
		unix.Shutdown(c.socket.fd, unix.SHUT_WR)
	}
	c.socket.mu.Unlock()
	if c.paused {
		c.resume()
	}
}

// CloseNow ends the connection and closes its socket at once, also after Finish. It discards unsent bytes.
func (c *Conn) CloseNow() {
	c.Close()
	c.output.retryTimer.Stop()
	c.output.unsent = nil
	c.closeSocket()
}

// Abort ends the connection with a reset, after its unsent bytes: they may be the answer to the peer's request.
func (c *Conn) Abort() {
	if c.ended {
		return
	}
	c.layer, c.ending.abort = nil, true // the layer must not send its closing message before a reset
	c.Close()
}
