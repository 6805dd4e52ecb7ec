package netio

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Handler handles the events of a connection. Its methods are called on the loop.
type Handler interface {
	// Data is called when Input has grown.
	Data(c *Conn)
	// Writable is called when the unsent rest of a line has been written, so that Write accepts
	// lines again.
	Writable(c *Conn)
	// Closed is called when the connection ends and the handler did not end it, also after a panic of
	// the handler or at a limit that this side enforces. No other call follows.
	Closed(c *Conn, err *Error)
}

// inputOvershoot is how many bytes netpoll may read beyond a connection's input limit before it stops: those
// of one read, and those that arrive while it releases the socket.
const inputOvershoot = 8 * kernelBuffer

// kernelBuffer is the size, in bytes, requested for a connection's kernel buffer in each direction.
// The kernel reserves twice that. Lines are short, and the megabytes of the kernel's default count
// against the machine's memory. The size also bounds what netpoll reads at once, and so its own
// buffer for the connection.
const kernelBuffer = 16 << 10

// Conn is one connection. It buffers unread input. Output goes to the kernel at once; if the kernel
// accepts only part of a line, the rest is buffered and Write accepts no further line until it is
// sent. A handler that relays lines to the connection then leaves them in the input of the connection
// from which they came, and reading pauses on a connection whose input is not consumed. That is the
// back-pressure.
type Conn struct {
	loop            *Loop
	handler         Handler
	transport       netpoll.Connection // nil until netpoll first watches the socket
	input           Buffer
	layer           Layer        // nil if there is none
	layerHasMore    bool         // the layer may hold more than fitted into the input
	inputLimit      int          // bytes of input at which reading pauses
	paused          bool         // netpoll does not watch the socket
	refillScheduled bool         // a task that reads from the layer is queued
	watchFailures   int          // consecutive failures to register the socket with the poller
	output          unsentOutput // the bytes that the kernel has not accepted yet
	ended           bool         // Closed was called, or this side closed
	ending          endingState
	// onDescriptorFree is called once the connection holds no descriptor. It may be nil.
	onDescriptorFree func()
	// onReleased is called with the released connection. It is nil unless a release is in progress.
	onReleased func(ReleasedConn)
	socket     socketState
}

// unsentOutput is the output that the kernel has not accepted yet: the rest of a line, and what a
// layer or FinishWith added after it.
type unsentOutput struct {
	unsent        []byte
	retryTimer    *Timer
	retryPause    time.Duration // pause before the kernel is offered the bytes again
	stallDeadline int64         // Unix time in ns at which the connection ends if bytes are still unsent
}

// endingState is the state of a connection that this side is closing.
type endingState struct {
	unsentDeadline int64 // Unix time in ns until which unsent bytes may still go out
	abort          bool  // Abort was called
	finishing      bool  // Finish was called, and the socket is still open
	discardedBytes int   // bytes of input that arrived after this side's end and were discarded
	lingerTimer    *Timer
}

// socketState holds the descriptor. netpoll may close it on a goroutine of its own, after which
// another connection may get its number. Code that uses the number must hold mu.
type socketState struct {
	mu        sync.Mutex
	fd        int  // negative if the connection has no descriptor
	detaching bool // netpoll is detaching the socket, so its close callback means a pause, not the end
	closing   bool // this side has closed the connection
	unsettled bool // of environment.unsettled, because netpoll has not closed it yet
}

// newConn wraps an established netpoll connection. Reading pauses when the input holds limit bytes.
func newConn(l *Loop, np netpoll.Connection, limit int) *Conn {
	c := &Conn{loop: l, transport: np, input: NewBuffer(limit + inputOvershoot), inputLimit: limit, socket: socketState{fd: -1}}
	if d, ok := np.(netpoll.Conn); ok {
		c.socket.fd = d.Fd()
		c.sizeBuffers()
	}
	return c
}

// newPausedConn wraps an established socket that netpoll does not watch until resume is called.
func newPausedConn(l *Loop, fd, limit int, h Handler) *Conn {
	return &Conn{loop: l, input: NewBuffer(limit + inputOvershoot), inputLimit: limit, socket: socketState{fd: fd}, paused: true, handler: h}
}

// sizeBuffers limits the kernel's buffers for the connection.
func (c *Conn) sizeBuffers() {
	unix.SetsockoptInt(c.socket.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, kernelBuffer)
	unix.SetsockoptInt(c.socket.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, kernelBuffer)
}

// start starts delivery to h. It must be called on the loop.
func (c *Conn) start(h Handler) {
	c.handler = h
	environment.whilePollerParked(c.watch)
	if c.layer != nil && !c.ended {
		c.readLayer(c.inputLimit) // the layer may have read ahead
	}
}

// watch registers the callbacks through which netpoll delivers input. The poller must be parked:
// setting the callbacks delivers what it has read so far, and netpoll adds its own without a lock.
func (c *Conn) watch() {
	c.transport.AddCloseCallback(c.transportClosed)
	c.transport.SetOnRequest(func(context.Context, netpoll.Connection) error {
		c.read()
		return nil
	})
	if !c.transport.IsActive() {
		// The peer had disconnected before the callbacks were in place; closing makes netpoll call the one above.
		c.transport.Close()
	}
}

// SetHandler replaces the connection's handler. It must be called on the loop.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// Input returns the input that has not been consumed. The slice is valid until the next call of
// Consume, and at most until the handler returns.
func (c *Conn) Input() []byte { return c.input.Bytes() }

// Consume discards the first n bytes of the input. It resumes reading from a paused connection once the
// input is below half of its limit.
func (c *Conn) Consume(n int) {
	c.input.Consume(n)
	if c.paused && !c.ended && c.input.Len() < c.inputLimit/2 {
		c.refill()
	}
}

// Ended reports whether the connection has ended, from either side.
func (c *Conn) Ended() bool { return c.ended }

// guard calls f. If f panics, guard ends this connection and no other, so that a request waiting on the
// connection still gets its answer.
func (c *Conn) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "connection", "reason", p, "stack", string(debug.Stack()))
			c.fail(&Error{Stage: Up, Cause: EndedLocally, Detail: errors.New("panic")})
		}
	}()
	f()
}
