package netio

import (
	"errors"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// lingerTimeout is how long after its end a connection may take to deliver its last line, and its peer to hang up.
const lingerTimeout = time.Second

// maxLingerInput is how much, in bytes, may come in meanwhile: a peer that sends more is not reading.
const maxLingerInput = 1 << 20

// transportClosed is netpoll's callback for a transportClosed connection. It may come on a goroutine of netpoll's.
func (c *Conn) transportClosed(np netpoll.Connection) error {
	environment.gate.releasePoller()
	cause := Ended
	c.socket.mu.Lock()
	if c.socket.detaching {
		c.socket.mu.Unlock()
		c.finishPause(np)
		return nil
	}
	kept := c.socket.fd >= 0 && c.keepDescriptor()
	if c.socket.fd >= 0 && !kept {
		cause = c.endCause()
		c.socket.fd = -1 // the number is another's from here on
	}
	c.socket.mu.Unlock()
	var tail []byte
	if n := np.Reader().Len(); n > 0 {
		// Bytes that came right before the end, with no task of netpoll's left to bring them.
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
				// Anybody can end the socket; only the layer's own end comes from the peer.
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

// errPollerDropped is the reason for a connection that netpoll dropped although it is established: netpoll gives no other.
var errPollerDropped = errors.New("the poller could not take the socket, or not read from it")

// keepDescriptor reports whether netpoll closes a connection that neither side has ended, such as where the kernel had no memory for
// watching its socket. It then keeps the socket open under another descriptor. The caller holds socket.mu.
func (c *Conn) keepDescriptor() bool {
	const tcpEstablished = 1
	if c.socket.closing {
		return false
	}
	info, err := unix.GetsockoptTCPInfo(c.socket.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.State != tcpEstablished {
		return false
	}
	fd := duplicateDescriptor(c.socket.fd)
	if fd < 0 {
		return false
	}
	c.socket.fd = fd
	return true
}

// duplicateDescriptor gives a socket another descriptor; under 0: there is none to be had.
func duplicateDescriptor(fd int) int {
	duplicate, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1
	}
	return duplicate
}

// watchKeptDescriptor has netpoll watch a socket again that it has dropped. tail came in before that.
func (c *Conn) watchKeptDescriptor(tail []byte) {
	c.paused = true
	if c.ended && !c.ending.finishing {
		c.closeSocket()
		return
	}
	switch {
	case c.ended:
		c.countDiscarded(len(tail))
	case c.layer != nil:
		c.readThroughLayer(tail, c.inputLimit+inputOvershoot)
	default:
		c.input.Append(tail)
		c.deliver()
	}
	c.retryWatch(errPollerDropped)
}

// closeSocket closes the socket, whether netpoll watches it or not.
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
		c.transport.Close()
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

// OnDescriptorFree has f called once the connection holds no descriptor any more, which may be some time after its end.
func (c *Conn) OnDescriptorFree(f func()) { c.onDescriptorFree = f }

// descriptorFreed calls what OnDescriptorFree has set, once.
func (c *Conn) descriptorFreed() {
	c.ending.lingerTimer.Stop()
	if f := c.onDescriptorFree; f != nil {
		c.onDescriptorFree = nil
		f()
	}
}

// endCause queries the kernel for whether the peer ended in order: netpoll reports a reset as an end. The caller holds socket.mu.
func (c *Conn) endCause() Cause {
	info, err := unix.GetsockoptTCPInfo(c.socket.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	const tcpClose = 7
	if err != nil || info.State == tcpClose {
		return Broken
	}
	return Ended
}

// FinalMessager is a Handler that sends its peer a last message where this side ends the connection for a fault or a limit of its own.
type FinalMessager interface {
	// FinalMessage is called right before the end, on the loop; Closed follows.
	FinalMessage() []byte
}

// fail closes the connection and notifies the handler.
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
	c.input = input // the handler may still read what came before the end
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "close", "reason", p, "stack", string(debug.Stack()))
		}
	}()
	c.handler.Closed(c, err)
}

// Close ends the connection in order: what was written goes out, then the end.
func (c *Conn) Close() {
	if c.ended {
		return
	}
	c.releaseFailed()
	c.endLayer()
	c.ended, c.input = true, Buffer{}
	if len(c.output.unsent) > 0 {
		c.ending.unsentDeadline = c.loop.Now() + int64(lingerTimeout)
		return // retryUnsent closes: a line must not be cut off because its reader is slow
	}
	c.closeSocket()
}

// Finish ends the connection after its last line. Close would reset it wherever the peer has sent what nobody has read, and a reset can
// overtake the line. So only this side ends; what still comes is discarded until the peer hangs up, or for lingerTimeout.
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

// halfClose ends this side alone.
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

// CloseNow frees the descriptor at once, also of a connection that was finished.
func (c *Conn) CloseNow() {
	c.Close()
	c.output.retryTimer.Stop()
	c.output.unsent = nil
	c.closeSocket()
}

// Abort ends it with a reset, after the rest of a line that the peer has not taken yet: that may be the answer to its request.
func (c *Conn) Abort() {
	if c.ended {
		return
	}
	c.layer, c.ending.abort = nil, true // a layer sends nothing at a reset
	c.Close()
}
