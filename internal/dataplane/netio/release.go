package netio

import (
	"bytes"
	"errors"
	"log/slog"

	"golang.org/x/sys/unix"
)

// Parts are what is left of a connection that is let go of without being ended, for another process to go on with.
type Parts struct {
	FD     int    `json:"FD"`   // the receiver's to close; under 0: the connection could not be let go of
	Input  []byte `json:"In"`   // came in and was not consumed
	Unsent []byte `json:"Rest"` // of the line that is partly written
}

// Release lets go of a connection that stands, without ending it, and gives its parts to done, on the loop, later. From here
// on its handler hears nothing of it. A connection with a layer can't be released: what the layer knows stays here.
func (c *Conn) Release(done func(Parts)) {
	if c.over || c.layer != nil || c.onReleased != nil {
		c.loop.Post(func() { done(Parts{FD: -1}) })
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
		c.loop.Post(c.giveParts) // else it comes once netpoll has let go
	}
}

// releaseFailed tells that a connection has ended before it could be let go of.
func (c *Conn) releaseFailed() {
	if done := c.onReleased; done != nil {
		c.onReleased = nil
		c.loop.Post(func() { done(Parts{FD: -1}) })
	}
}

// giveParts gives the parts away.
func (c *Conn) giveParts() {
	done := c.onReleased
	if done == nil {
		return
	}
	c.socket.mu.Lock()
	fd := c.socket.fd
	c.socket.fd = -1
	c.socket.mu.Unlock()
	if c.over || fd < 0 {
		c.releaseFailed()
		return
	}
	c.onReleased = nil
	p := Parts{FD: fd, Input: bytes.Clone(c.input.Bytes()), Unsent: c.output.unsent}
	c.over, c.input, c.output.unsent = true, Buffer{}, nil
	c.output.retry.Stop()
	c.descriptorFreed()
	done(p)
}

// Resume makes a connection of what another one was let go of as, and gives it to done and then to h. It is called on the
// loop. The socket is the connection's from here on, also where there is an error. It begins as one whose reading is paused:
// netpoll would read as fast as the peer sends until the callbacks are in place, and a connection whose input nobody has taken
// must not grow with each process it comes to.
func Resume(l *Loop, p Parts, limit int, h Handler, done func(*Conn)) error {
	c := newPausedConn(l, p.FD, limit, h)
	if c.input.Append(p.Input) < len(p.Input) || len(p.Unsent) > maxUnsent {
		unix.Close(p.FD)
		return errors.New("more left over than a connection may have")
	}
	c.guard(func() { done(c) })
	if !c.over && len(p.Unsent) > 0 {
		c.writeToSocket(p.Unsent)
	}
	if !c.over && c.input.Len() < limit/2 {
		c.resume()
	}
	return nil
}

// Discard gives this process's hold on the socket up. Where nobody else goes on with it there is a last line to say: the rest of a
// line that is partly written and the last one go out, as far as the kernel takes them at once.
func (p Parts) Discard(last []byte) {
	if p.FD < 0 {
		return
	}
	if len(last) > 0 {
		words := append(bytes.Clone(p.Unsent), last...)
		if n, err := sendSome(sendmsg, p.FD, words); n < len(words) {
			slog.Warn("migration_line_lost", "bytes", len(words)-n, "reason", err)
		}
	}
	unix.Close(p.FD)
}
