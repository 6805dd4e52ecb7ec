package netio

import (
	"bytes"
	"fmt"
	"log/slog"

	"golang.org/x/sys/unix"
)

// ReleasedConn holds what another process needs to resume a connection that was released.
type ReleasedConn struct {
	FD     int    `json:"FD"`   // owned by the receiver; negative if the connection could not be released
	Input  []byte `json:"In"`   // input that was not consumed
	Unsent []byte `json:"Rest"` // the unsent rest of a partly written line
}

// Release detaches an open connection from its handler and from the loop without ending it. It calls done
// on the loop, after Release has returned. Handler.Data is not called during the release, and no method of
// the handler once the connection is released. A connection that ends before that, or has a layer, whose
// state cannot be moved, is not released: done is then called with a negative FD.
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
		c.loop.Post(c.completeRelease) // otherwise finishPause calls it once netpoll has released the socket
	}
}

// releaseFailed reports to the caller of Release, if any, that the connection was not released.
func (c *Conn) releaseFailed() {
	if done := c.onReleased; done != nil {
		c.onReleased = nil
		c.loop.Post(func() { done(ReleasedConn{FD: -1}) })
	}
}

// completeRelease passes the connection to the caller of Release.
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

// Resume makes a connection of a released one, passes it to done, and then delivers new input to h. It does
// not call h.Data for p.Input, which Conn.Input returns. limit is the number of bytes of input at which
// reading pauses. Resume must be called on the loop. It takes ownership of p.FD, also if it returns an error.
//
// Reading is paused at first: netpoll would read as fast as the peer sends until the callbacks are in
// place, and a connection whose input is not consumed must not grow with each process that resumes it.
func Resume(l *Loop, p ReleasedConn, limit int, h Handler, done func(*Conn)) error {
	c := newPausedConn(l, p.FD, limit, h)
	if c.input.Append(p.Input) < len(p.Input) || len(p.Unsent) > maxUnsentBytes {
		unix.Close(p.FD)
		return fmt.Errorf("released connection with %d unread and %d unsent bytes: at most %d and %d are accepted",
			len(p.Input), len(p.Unsent), limit+inputOvershoot, maxUnsentBytes)
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

// Discard closes this process's descriptor of the socket. If no process resumes the connection, last is
// its last line, sent after the rest of a partly written one as far as the kernel accepts them at once.
// An empty last sends nothing. Discard does nothing if FD is negative.
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
