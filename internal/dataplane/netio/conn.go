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

// Handler takes what happens on a connection. All calls come on the loop.
type Handler interface {
	// Data says that Input has grown.
	Data(c *Conn)
	// Writable says that a peer which had stopped taking bytes takes them again.
	Writable(c *Conn)
	// Closed says that the connection is over for a reason that did not come from this side. It is the last call.
	// It comes after a panic of the handler's own as well.
	Closed(c *Conn, err *Error)
}

// inputOvershoot is how much netpoll may have read beyond a connection's limit before it is stopped: what one read brings, and what comes
// while it releases the socket.
const inputOvershoot = 8 * kernelBuffer

// kernelBuffer is the size requested from the kernel for a connection's buffer in each direction; it takes that twice. Lines are short, and
// the megabytes that it would buffer by itself count against the machine's memory. It also bounds what netpoll reads at once, and so the
// size of netpoll's own buffer for the connection.
const kernelBuffer = 16 << 10

// Conn is one connection. It has one buffer, for what has come in; what goes out is written to the kernel at once, and of a line that the
// kernel takes only in part the rest is buffered until it takes that too. Until then Write accepts nothing, so the source leaves its bytes in
// its own input, and a connection whose input nobody consumes is not read any further: that is the back-pressure.
type Conn struct {
	loop            *Loop
	handler         Handler
	transport       netpoll.Connection
	input           Buffer
	layer           Layer // between the socket and the input; nil: none
	layerHasMore    bool  // the layer may hold more than fitted into the input
	inputLimit      int   // bytes of input at which reading pauses
	paused          bool  // netpoll does not watch it
	refillScheduled bool
	watchFailures   int // times in a row that the poller could not take it
	output          unsentOutput
	ended           bool // Closed was called, or this side closed
	ending          endingState
	// onDescriptorFree is called once the descriptor is free.
	onDescriptorFree func()
	// onReleased gets the parts of a connection that is released; nil: it is not.
	onReleased func(ReleasedConn)
	socket     socketState
}

// unsentOutput is the rest of the one line that the kernel took only in part.
type unsentOutput struct {
	unsent        []byte
	retryTimer    *Timer
	retryPause    time.Duration
	stallDeadline int64 // when a peer that takes nothing is dropped
}

// endingState is how a connection ends that this side has closed.
type endingState struct {
	unsentDeadline int64 // until when the rest of a partly written line may still go out
	abort          bool  // Abort was called
	finishing      bool  // Finish was called
	discardedBytes int   // what came in after that
	lingerTimer    *Timer
}

// socketState is the descriptor. netpoll may close it on a goroutine of its own, after which its number can belong to another connection: whoever
// uses the number holds mu.
type socketState struct {
	mu        sync.Mutex
	fd        int
	detaching bool // netpoll's close callback means a pause, not the end
	closing   bool // this side has closed the connection
}

// newConn wraps an established connection of netpoll's. Reading pauses while its input is at the limit.
func newConn(l *Loop, np netpoll.Connection, limit int) *Conn {
	c := &Conn{loop: l, transport: np, input: NewBuffer(limit + inputOvershoot), inputLimit: limit, socket: socketState{fd: -1}}
	if d, ok := np.(netpoll.Conn); ok {
		c.socket.fd = d.Fd()
		c.sizeBuffers()
	}
	return c
}

// newPausedConn wraps an established socket that netpoll does not watch yet; resume has it watched.
func newPausedConn(l *Loop, fd, limit int, h Handler) *Conn {
	return &Conn{loop: l, input: NewBuffer(limit + inputOvershoot), inputLimit: limit, socket: socketState{fd: fd}, paused: true, handler: h}
}

// sizeBuffers bounds what the kernel buffers for the connection.
func (c *Conn) sizeBuffers() {
	unix.SetsockoptInt(c.socket.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, kernelBuffer)
	unix.SetsockoptInt(c.socket.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, kernelBuffer)
}

// start begins delivery to h. It is called on the loop.
func (c *Conn) start(h Handler) {
	c.handler = h
	environment.whilePollerParked(c.watch)
	if c.layer != nil && !c.ended {
		c.readLayer(c.inputLimit) // the layer may have read ahead
	}
}

// watch has netpoll deliver what comes on the connection. The poller must be parked: what it has read by now is delivered
// from here, and it adds callbacks of its own without a lock.
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

// SetHandler gives the connection another handler, on the loop.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// Input is what has come in and was not consumed. It is valid during the call of the handler, up to Consume.
func (c *Conn) Input() []byte { return c.input.Bytes() }

// Consume drops the first n bytes of the input.
func (c *Conn) Consume(n int) {
	c.input.Consume(n)
	if c.paused && !c.ended && c.input.Len() < c.inputLimit/2 {
		c.refill()
	}
}

// Ended reports whether the connection has ended, from either side.
func (c *Conn) Ended() bool { return c.ended }

// guard confines a panic to the connection that it came from, and ends that, so that a request waiting on it still gets its answer.
func (c *Conn) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "connection", "reason", p, "stack", string(debug.Stack()))
			c.fail(&Error{Stage: Up, Cause: EndedLocally, Detail: errors.New("panic")})
		}
	}()
	f()
}
