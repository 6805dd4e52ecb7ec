package netio

import (
	"errors"
	"io"
)

// Layer stands between a socket and the handler of its connection: it opens what the peer has sealed and seals what goes
// out. It is driven on the loop, never blocks and holds a bounded number of bytes.
type Layer interface {
	// Attach names what the layer sends by. From here on the connection drives it.
	Attach(send func(p []byte))
	// Take gives it bytes of the socket's; p is the caller's again afterwards. False: more than it holds.
	Take(p []byte) bool
	// Open writes what can be read into p. 0 without an error: more bytes must come first. io.EOF: the peer ended in
	// order. An error that NeverStood means that the peer refused the connection before it took anything from it.
	Open(p []byte) (int, error)
	// Seal sends p.
	Seal(p []byte) error
	// End tells the peer that nothing more comes.
	End()
	// Holds is how many bytes it holds.
	Holds() int
}

// neverStood is what an error of a layer's may tell.
type neverStood interface{ NeverStood() bool }

const (
	// layerReadSize is how much of the buffer is set aside for what a layer opens at once. It leaves an idle connection's
	// buffer at its smallest.
	layerReadSize = minBufferSize / 2
	// maxUnsent is how much may wait for the peer of what a layer has to say by itself. A peer that makes it talk and
	// does not listen is given up.
	maxUnsent = 64 << 10
)

var (
	errTruncated      = errors.New("the connection ended without the layer's own end")
	errPeerNotReading = errors.New("the peer makes the layer talk and does not listen")
)

// Socket is one that stands, for Adopt.
type Socket struct {
	FD         int // the connection's from here on
	Layer      Layer
	InputLimit int // bytes of input at which reading pauses
}

// Adopt makes a connection of a socket that stands, behind its layer, and gives it to done and then to h. It is called on the
// loop. Should the socket be of no use, h hears of its end.
//
// It begins as a connection whose reading is paused: netpoll reads from the moment it has the socket, as fast as the peer
// sends, and what came before the callbacks were in place ended connections for more input than the limit.
func Adopt(l *Loop, s Socket, h Handler, done func(*Conn)) {
	c := newPausedConn(l, s.FD, s.InputLimit, h)
	c.layer = s.Layer
	c.sizeBuffers()
	s.Layer.Attach(c.writeToSocket)
	c.guard(func() { done(c) })
	if !c.over {
		c.resume()
	}
	if c.layer != nil && !c.over {
		c.readLayer(c.inputLimit) // the layer may have read ahead
	}
}

// Layer is what stands between the socket and the handler; nil: nothing, or no longer.
func (c *Conn) Layer() Layer { return c.layer }

// readSealed gives the layer what came, and the handler what it makes of it.
func (c *Conn) readSealed(p []byte, most int) {
	if !c.layer.Take(p) {
		c.fail(&Error{Stage: Up, Cause: Dropped, Detail: errInputLimit})
		return
	}
	c.readLayer(most)
}

// readLayer has the layer fill the input up to most, and the handler look at it.
func (c *Conn) readLayer(most int) {
	c.guard(func() {
		for !c.over {
			fresh, err := c.readLayerOnce(most)
			c.layerHasMore = err == nil && c.input.Len() >= most
			if fresh {
				c.handler.Data(c)
			}
			if err != nil {
				c.fail(layerError(err))
			}
			if !c.layerHasMore || c.input.Len() >= most {
				return
			}
		}
	})
}

func (c *Conn) readLayerOnce(most int) (fresh bool, err error) {
	for c.input.Len() < most {
		n, err := c.layer.Open(c.input.Reserve(layerReadSize))
		c.input.Extend(n)
		fresh = fresh || n > 0
		if err != nil || n == 0 {
			return fresh, err
		}
	}
	return fresh, nil
}

func layerError(err error) *Error {
	var never neverStood
	switch {
	case errors.Is(err, io.EOF):
		return &Error{Stage: Up, Cause: Ended}
	case errors.As(err, &never) && never.NeverStood():
		return &Error{Stage: Connecting, Cause: Refused, Detail: err}
	}
	return &Error{Stage: Up, Cause: Broke, Detail: err}
}

// refill brings more input to a connection that is paused and has room again: first what its layer holds.
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
		if c.over {
			return
		}
		c.readLayer(c.inputLimit)
		if c.paused && !c.over && c.input.Len() < c.inputLimit/2 {
			c.refill()
		}
	})
}

// endLayer has the layer tell the peer of the end, and lets go of it.
func (c *Conn) endLayer() {
	if l := c.layer; l != nil {
		c.guard(l.End)
		c.layer = nil
	}
}
