package netio

import (
	"errors"
	"fmt"
	"io"
)

// Layer sits between a socket and the handler of its connection. It decrypts input and encrypts
// output. Its methods are called on the loop, never block and buffer a bounded number of bytes.
type Layer interface {
	// Attach sets the function with which the layer sends to the socket. The connection calls it
	// once, before all other methods.
	Attach(send func(p []byte))
	// Receive buffers bytes read from the socket. It does not retain p. It returns false if p
	// exceeds what the layer buffers.
	Receive(p []byte) bool
	// Open decrypts into p and returns the number of bytes written. It returns 0 and no error if
	// more input is needed, and io.EOF if the peer closed the layer in order. An error whose
	// RefusedBeforeRead method returns true means that the peer refused the connection before it
	// read anything from it.
	Open(p []byte) (int, error)
	// Seal encrypts and sends p.
	Seal(p []byte) error
	// End sends the layer's closing message to the peer.
	End()
	// Buffered returns the number of bytes that the layer buffers.
	Buffered() int
}

// refusedBeforeRead is implemented by errors that report whether the peer refused the connection
// before it read anything.
type refusedBeforeRead interface{ RefusedBeforeRead() bool }

const (
	// layerReadSize is the space, in bytes, offered to each call of Layer.Open. It is below
	// minBufferSize, so that an idle connection keeps its smallest buffer.
	layerReadSize = minBufferSize / 2
	// maxUnsentBytes bounds the unsent bytes of a connection. A layer sends messages of its own, so
	// a peer that causes them without reading could otherwise fill the memory.
	maxUnsentBytes = 64 << 10
)

var (
	errTruncated      = errors.New("the socket closed without the closing message of the layer")
	errPeerNotReading = fmt.Errorf("the peer is not reading: more than %d bytes are unsent", maxUnsentBytes)
)

// Socket describes the socket of an established connection, for Adopt.
type Socket struct {
	FD         int // owned by the connection once Adopt is called
	Layer      Layer
	InputLimit int // bytes of input at which reading pauses
}

// Adopt makes a connection of an established socket and its layer, passes it to done, and then
// delivers its input to h. It must be called on the loop. If the socket cannot be used, h.Closed
// is called.
//
// Reading is paused at first: netpoll reads as soon as it has the socket, as fast as the peer sends,
// so more than the limit could arrive before the callbacks are in place.
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

// Layer returns the connection's layer. It returns nil if there is none or the connection has ended.
func (c *Conn) Layer() Layer { return c.layer }

// readThroughLayer passes received bytes to the layer, and decrypted input to the handler until the
// input holds limit bytes.
func (c *Conn) readThroughLayer(p []byte, limit int) {
	if !c.layer.Receive(p) {
		c.fail(&Error{Stage: Up, Cause: EndedLocally, Detail: errInputLimit})
		return
	}
	c.readLayer(limit)
}

// readLayer fills the input from the layer up to limit bytes and calls the handler if bytes were added. It
// repeats that while the handler makes room and the layer has more. An error or the end of the layer ends
// the connection.
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

// readLayerOnce fills the input from the layer up to limit bytes. fresh reports whether it added any.
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

// layerError returns the end of a connection whose layer returned err.
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

// refill gets more input for a paused connection whose input has been consumed: first from its layer,
// and once that has no more, from the socket.
func (c *Conn) refill() {
	if c.layer == nil || !c.layerHasMore {
		c.resume()
		return
	}
	if c.refillScheduled {
		return
	}
	// The read is posted, because the caller may be the handler, which must not be entered again.
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

// endLayer sends the layer's closing message and detaches the layer.
func (c *Conn) endLayer() {
	if l := c.layer; l != nil {
		c.guard(l.End)
		c.layer = nil
	}
}
