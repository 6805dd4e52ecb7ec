package netio

import (
	"errors"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// lingering is how long a closed connection may still take to deliver its last line, and to hang up after that.
const lingering = time.Second

// lingeringInput is how much may come in meanwhile. Who sends more than that after its answer is not reading it.
const lingeringInput = 1 << 20

// closed is netpoll's word that the connection is closed. It may come on a goroutine of netpoll's.
func (c *Conn) closed(np netpoll.Connection) error {
	current.gate.free()
	cause := Ended
	c.mu.Lock()
	if c.detaching {
		c.mu.Unlock()
		c.detached(np)
		return nil
	}
	kept := c.fd >= 0 && c.keep()
	if c.fd >= 0 && !kept {
		cause = c.howEnded()
		c.fd = -1 // the number is another's from here on
	}
	c.mu.Unlock()
	var tail []byte
	if n := np.Reader().Len(); n > 0 {
		// Bytes that came right before the end, with no task of netpoll's left to bring them.
		tail = make([]byte, n)
		np.Read(tail)
	}
	if kept {
		c.loop.Post(func() { c.goOn(tail) })
		return nil
	}
	c.loop.Post(func() {
		if c.over {
			c.released()
			return
		}
		switch {
		case c.layer != nil:
			c.unseal(tail, c.limit+overshoot)
			if cause == Ended {
				// Whoever can end the socket can cut off what the peer said last; only the layer's end is the peer's.
				c.fail(&Error{Stage: Up, Cause: Broke, Detail: errCutShort})
			}
		case len(tail) > 0:
			c.in.Append(tail)
			c.deliver()
		}
		c.fail(&Error{Stage: Up, Cause: cause})
	})
	return nil
}

// errLetGo is why netpoll gave a connection up that stands: it says no more than that.
var errLetGo = errors.New("the poller could not take the socket, or not read from it")

// keep tells whether netpoll closes a connection that neither side has ended: the kernel had no memory for watching its socket, say. The socket
// then lives on under another number, which it notes. mu is held.
func (c *Conn) keep() bool {
	const tcpEstablished = 1
	if c.closing {
		return false
	}
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.State != tcpEstablished {
		return false
	}
	fd := secondNumber(c.fd)
	if fd < 0 {
		return false
	}
	c.fd = fd
	return true
}

// secondNumber gives a socket another descriptor; under 0: there is none to be had.
func secondNumber(fd int) int {
	second, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1
	}
	return second
}

// goOn has netpoll watch a socket again that it has let go of. tail came in before that.
func (c *Conn) goOn(tail []byte) {
	c.paused = true
	if c.over && !c.ending {
		c.shut()
		return
	}
	switch {
	case c.over:
		c.discarded(len(tail))
	case c.layer != nil:
		c.unseal(tail, c.limit+overshoot)
	default:
		c.in.Append(tail)
		c.deliver()
	}
	c.watchAgain(errLetGo)
}

// shut closes the socket, whoever holds it.
func (c *Conn) shut() {
	c.linger.Stop()
	c.ending = false
	c.mu.Lock()
	c.closing = true
	if c.reset && c.fd >= 0 {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.mu.Unlock()
	if !c.paused {
		c.np.Close()
		c.released()
		return
	}
	c.mu.Lock()
	closed := !c.detaching && c.fd >= 0
	if closed {
		unix.Close(c.fd)
		c.fd = -1
	}
	c.mu.Unlock()
	if closed {
		c.released()
	}
}

// WhenGone has f called once the connection holds no descriptor any more, which may be some time after its end.
func (c *Conn) WhenGone(f func()) { c.gone = f }

func (c *Conn) released() {
	c.linger.Stop()
	if f := c.gone; f != nil {
		c.gone = nil
		f()
	}
}

// howEnded asks the kernel whether the peer ended in order: netpoll reports a reset as an end. mu is held.
func (c *Conn) howEnded() Cause {
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	const tcpClose = 7
	if err != nil || info.State == tcpClose {
		return Broke
	}
	return Ended
}

// LastWords is a handler whose peer is owed a word where this side ends the connection for a fault or a limit of its own.
type LastWords interface {
	// LastWords is called right before the end, on the loop; Closed follows.
	LastWords() []byte
}

// fail closes the connection and tells the handler why.
func (c *Conn) fail(err *Error) {
	if c.over {
		return
	}
	held := c.in
	if w, ok := c.handler.(LastWords); ok && err.Cause == Dropped {
		c.FinishWith(w.LastWords())
	} else {
		c.Close()
	}
	c.in = held // the handler may still want what came before the end
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "close", "reason", p, "stack", string(debug.Stack()))
		}
	}()
	c.handler.Closed(c, err)
}

// Close ends the connection in order: what was written goes out, then the end.
func (c *Conn) Close() {
	if c.over {
		return
	}
	c.unrelease()
	c.sayEnd()
	c.over, c.in = true, Buffer{}
	if len(c.rest) > 0 {
		c.until = c.loop.Now() + int64(lingering)
		return // flush closes: a line must not end in its middle because its reader is slow
	}
	c.shut()
}

// Finish ends the connection after its last line. Close would reset it wherever the peer has sent what nobody has read,
// and a reset can take the line with it. So only this side ends; what still comes is thrown away until the peer has hung
// up, or has had its time.
func (c *Conn) Finish() {
	if c.over {
		return
	}
	c.unrelease()
	c.sayEnd()
	c.over, c.ending, c.in = true, true, Buffer{}
	c.until = c.loop.Now() + int64(lingering)
	c.linger = c.loop.After(lingering, c.shut)
	if len(c.rest) == 0 {
		c.halfClose()
	}
}

func (c *Conn) halfClose() {
	c.mu.Lock()
	if c.fd >= 0 {
		unix.Shutdown(c.fd, unix.SHUT_WR)
	}
	c.mu.Unlock()
	if c.paused {
		c.resume()
	}
}

// Drop frees the descriptor at once, also of a connection that was finished.
func (c *Conn) Drop() {
	c.Close()
	c.retry.Stop()
	c.rest = nil
	c.shut()
}

// Abort ends it with a reset, after the rest of a line that the peer has not taken yet: that may be the answer to its request.
func (c *Conn) Abort() {
	if c.over {
		return
	}
	c.layer, c.reset = nil, true // a layer has nothing to say at a reset
	c.Close()
}
