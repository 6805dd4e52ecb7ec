package netio

import (
	"bytes"
	"errors"
	"log/slog"

	"golang.org/x/sys/unix"
)

// ReleasedConn are what another process needs to resume a connection that was released.
type ReleasedConn struct {
	FD     int    `json:"FD"`   // the receiver's to close; under 0: the connection could not be released
	Input  []byte `json:"In"`   // came in and was not consumed
	Unsent []byte `json:"Rest"` // of the line that is partly written
}

// Release gives an open connection away without ending it; done gets its parts, on the loop, later. From here on its handler is not notified of
// anything. A connection with a layer can't be released, since the layer's state stays here.
func (c *Conn) Release(done func(ReleasedConn)) {
	if c.ended || c.layer != nil || c.onReleased != nil {
		c.loop.Post(func() { done(ReleasedConn{FD: -1}) })
		return
	}
	c.onReleased = done
	if !c.paused && !c.pauseReading() {
		c.releaseFailed()
		return
	}
	c.socket.mu.Lock()
	ready := !c.socket.detaching
	c.socket.mu.Unlock()
	if ready {
		c.loop.Post(c.completeRelease) // else detached does it, once netpoll has released the socket
	}
}

// releaseFailed gives no parts for a connection that has ended before it was released.
func (c *Conn) releaseFailed() {
	if done := c.onReleased; done != nil {
		c.onReleased = nil
		c.loop.Post(func() { done(ReleasedConn{FD: -1}) })
	}
}

// completeRelease calls what waits for the parts.
func (c *Conn) completeRelease() {
	done := c.onReleased
	if done == nil {
		return
	}
	c.socket.mu.Lock()
	fd := c.socket.fd
	c.socket.fd = -1
	c.socket.mu.Unlock()
	if c.ended || fd < 0 {
		c.releaseFailed()
		return
	}
	c.onReleased = nil
	p := ReleasedConn{FD: fd, Input: bytes.Clone(c.input.Bytes()), Unsent: c.output.unsent}
	c.ended, c.input, c.output.unsent = true, Buffer{}, nil
	c.output.retryTimer.Stop()
	c.descriptorFreed()
	done(p)
}

// Resume makes a connection of the parts of a released one, and gives it to done and then to h. It is called on the loop. The socket is the
// connection's from here on, also where there is an error. Reading is paused at first: netpoll would read as fast as the peer sends until the
// callbacks are in place, and a connection whose input nobody consumes must not grow with each process that resumes it.
func Resume(l *Loop, p ReleasedConn, limit int, h Handler, done func(*Conn)) error {
	c := newPausedConn(l, p.FD, limit, h)
	if c.input.Append(p.Input) < len(p.Input) || len(p.Unsent) > maxUnsentBytes {
		unix.Close(p.FD)
		return errors.New("more unread or unsent than a connection may have")
	}
	c.guard(func() { done(c) })
	if !c.ended && len(p.Unsent) > 0 {
		c.writeToSocket(p.Unsent)
	}
	if !c.ended && c.input.Len() < limit/2 {
		c.resume()
	}
	return nil
}

// Discard closes this process's descriptor of the socket. Where nobody resumes the connection, last is its last line: it goes out behind the
// rest of a partly written one, as far as the kernel takes them at once.
func (p ReleasedConn) Discard(last []byte) {
	if p.FD < 0 {
		return
	}
	if len(last) > 0 {
		lines := append(bytes.Clone(p.Unsent), last...)
		if n, err := sendSome(sendmsg, p.FD, lines); n < len(lines) {
			slog.Warn("migration_line_lost", "bytes", len(lines)-n, "reason", err)
		}
	}
	unix.Close(p.FD)
}
