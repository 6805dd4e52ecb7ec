package netio

import (
	"errors"
	"io"
)

// Layer is between a socket and the handler of its connection: it decrypts what comes in and encrypts what goes out. It is driven on the
// loop, never blocks and buffers a bounded number of bytes.
type Layer interface {
	// Attach gives the layer its way to send. From here on the connection drives it.
	Attach(send func(p []byte))
	// Receive gives it bytes of the socket's; p is the caller's again afterwards. False: more than it buffers.
	Receive(p []byte) bool
	// Open writes what can be read into p. 0 without an error: more bytes must come first. io.EOF: the peer ended in
	// order. An error whose RefusedBeforeRead is true means that
	// the peer refused the connection before it read anything of it.
	Open(p []byte) (int, error)
	// Seal sends p.
	Seal(p []byte) error
	// End sends the peer the layer's own end.
	End()
	// Buffered is how many bytes it buffers.
	Buffered() int
}

// refusedBeforeRead is implemented by errors that may mean that the peer refused the connection before it read anything.
type refusedBeforeRead interface{ RefusedBeforeRead() bool }

const (
	// layerReadSize is how much a layer may give at once: less than the smallest buffer, which an idle connection keeps.
	layerReadSize = minBufferSize / 2
	// maxUnsentBytes is how many bytes that a layer sends by itself may wait for the peer. A connection whose peer causes more without
	// reading is ended.
	maxUnsentBytes = 64 << 10
)

var (
	errTruncated      = errors.New("the connection ended without the layer's own end")
	errPeerNotReading = errors.New("the peer causes output of the layer and does not read it")
)

// Socket is an established connection's, for Adopt.
type Socket struct {
	FD         int // the connection's from here on
	Layer      Layer
	InputLimit int // bytes of input at which reading pauses
}

// Adopt makes a connection of an established socket, behind its layer, and gives it to done and then to h. It is called on
// the loop. If the socket can't be used, h is notified that the connection ended.
//
// Reading is paused at first: netpoll reads from the moment it has the socket, as fast as the peer sends, and more than the limit could come
// before the callbacks are in place.
func Adopt(l *Loop, s Socket, h Handler, done func(*Conn)) {
	c := newPausedConn(l, s.FD, s.InputLimit, h)
	c.layer = s.Layer
	c.sizeBuffers()
	s.Layer.Attach(c.writeToSocket)
	c.guard(func() { done(c) })
	if !c.ended {
		c.resume()
	}
	if c.layer != nil && !c.ended {
		c.readLayer(c.inputLimit) // the layer may have read ahead
	}
}

// Layer is what is between the socket and the handler; nil: nothing, or no longer.
func (c *Conn) Layer() Layer { return c.layer }

// readThroughLayer gives the layer what came, and the handler what the layer has decrypted.
func (c *Conn) readThroughLayer(p []byte, limit int) {
	if !c.layer.Receive(p) {
		c.fail(&Error{Stage: Up, Cause: EndedLocally, Detail: errInputLimit})
		return
	}
	c.readLayer(limit)
}

// readLayer has the layer fill the input up to most bytes, and the handler read it.
func (c *Conn) readLayer(limit int) {
	c.guard(func() {
		for !c.ended {
			fresh, err := c.readLayerOnce(limit)
			c.layerHasMore = err == nil && c.input.Len() >= limit
			if fresh {
				c.handler.Data(c)
			}
			if err != nil {
				c.fail(layerError(err))
			}
			if !c.layerHasMore || c.input.Len() >= limit {
				return
			}
		}
	})
}

// readLayerOnce has the layer fill the input up to most bytes; fresh: some have come.
func (c *Conn) readLayerOnce(limit int) (fresh bool, err error) {
	for c.input.Len() < limit {
		n, err := c.layer.Open(c.input.Reserve(layerReadSize))
		c.input.Extend(n)
		fresh = fresh || n > 0
		if err != nil || n == 0 {
			return fresh, err
		}
	}
	return fresh, nil
}

// layerError is the end of a connection whose layer gives an error.
func layerError(err error) *Error {
	var unread refusedBeforeRead
	switch {
	case errors.Is(err, io.EOF):
		return &Error{Stage: Up, Cause: Ended}
	case errors.As(err, &unread) && unread.RefusedBeforeRead():
		return &Error{Stage: Connecting, Cause: Refused, Detail: err}
	}
	return &Error{Stage: Up, Cause: Broken, Detail: err}
}

// refill brings more input to a paused connection whose input has been consumed: first what its layer buffers.
func (c *Conn) refill() {
	if c.layer == nil || !c.layerHasMore {
		c.resume()
		return
	}
	if c.refillScheduled {
		return
	}
	// Not from inside the handler, which has just consumed and would be entered again.
	c.refillScheduled = true
	c.loop.Post(func() {
		c.refillScheduled = false
		if c.ended {
			return
		}
		c.readLayer(c.inputLimit)
		if c.paused && !c.ended && c.input.Len() < c.inputLimit/2 {
			c.refill()
		}
	})
}

// endLayer has the layer send its own end, and drops it.
func (c *Conn) endLayer() {
	if l := c.layer; l != nil {
		c.guard(l.End)
		c.layer = nil
	}
}
