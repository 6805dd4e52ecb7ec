package netio

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Listener is a listening socket. Another process may hold it as well: both then accept from one
// queue, which exists until both have closed the socket.
type Listener struct {
	netpoll.Listener
	addr net.Addr

	mu       sync.Mutex
	stopped  bool          // Stop was called after the last Serve
	detached bool          // netpoll has been told to stop, and ended will be closed
	ended    chan struct{} // closed once netpoll has stopped; nil before the first Serve
	onAccept func(fd int)  // takes ownership of an accepted descriptor; called on the poller
	// awaitLoop returns once the loop has run the tasks that are queued, or waits for the poller; called on
	// the poller.
	awaitLoop func()
}

// errStopped makes netpoll stop accepting: netpoll looks for "closed" in the text. The socket stays open.
var errStopped = errors.New("accepting is closed")

// acceptRetryPause is the pause after an accept for which the kernel had no descriptor or no memory.
// netpoll itself would retry without a pause.
const acceptRetryPause = 5 * time.Millisecond

// Accept accepts one connection and passes its descriptor to onAccept. netpoll calls it on the poller.
// It returns no connection to netpoll, which would close one without notice if the kernel has no memory
// for registering it. It returns no error to netpoll except after Stop: if descriptors ran out, netpoll
// would stop watching the queue and resume late or never.
func (n *Listener) Accept() (net.Conn, error) {
	n.mu.Lock()
	if n.stopped {
		n.detached = true
		n.mu.Unlock()
		return nil, errStopped
	}
	if environment.unsettled.full() {
		awaitLoop := n.awaitLoop
		n.mu.Unlock()
		awaitLoop()
		return nil, nil
	}
	c, err := n.Listener.Accept()
	onAccept := n.onAccept
	n.mu.Unlock() // the loop may wait for mu, and onAccept waits for the loop
	if err != nil {
		slog.Warn("accept_failed", "addr", n.addr, "reason", err)
		if isResourceShortage(err) {
			time.Sleep(acceptRetryPause)
		}
		return nil, nil
	}
	if c != nil {
		onAccept(c.(netpoll.Conn).Fd())
	}
	return nil, nil
}

// isResourceShortage reports whether err is temporary and caused by this machine, such as a lack of
// descriptors, ports or memory.
func isResourceShortage(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
		syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Stop stops accepting. New connections wait in the queue for another process that holds the socket,
// or for the next Serve.
func (n *Listener) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
}

// Addr returns the address of the listener.
func (n *Listener) Addr() net.Addr { return n.addr }

// Bind listens on addr; Serve accepts the connections. If shared is true, other processes of the same
// user may listen on addr as well.
func Bind(addr string, shared bool) (*Listener, error) {
	// Accepted sockets inherit the size. Setting it on them would not change the window that the client
	// has been offered.
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, kernelBuffer)
			if shared {
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newListener(ln)
}

// Inherit returns a listener for the listening socket fd, which another process has handed over. It
// takes ownership of fd, also if it returns an error.
func Inherit(fd int) (*Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	return newListener(ln)
}

// newListener makes a Listener of ln, which it closes if it returns an error.
func newListener(ln net.Listener) (*Listener, error) {
	np, err := netpoll.ConvertListener(ln)
	if err != nil {
		ln.Close()
		return nil, err
	}
	return &Listener{Listener: np, addr: ln.Addr()}, nil
}

// Listen binds addr, accepts connections as Serve does, and returns the bound address.
func Listen(l *Loop, addr string, limit int, accept func(c *Conn) Handler) (net.Addr, error) {
	n, err := Bind(addr, false)
	if err != nil {
		return nil, err
	}
	return n.Addr(), Serve(l, n, limit, accept)
}

// maxListenerFailures is how many times after one Serve netpoll's accept loop may fail until the process
// exits, with listenerRetryPause after each failure.
const (
	maxListenerFailures = 50
	listenerRetryPause  = 100 * time.Millisecond
)

// Serve accepts connections in the background. It calls accept on the loop for each connection, and
// delivers its input to the handler that accept returns. limit is the number of bytes of input at
// which reading pauses. Running out of descriptors does not end accepting. Serve may be called again
// after Stop. It always returns nil.
func Serve(l *Loop, n *Listener, limit int, accept func(c *Conn) Handler) error {
	n.mu.Lock()
	n.stopped = false
	// The poller waits until the loop has handled a connection, which may require evicting another.
	n.onAccept = func(fd int) {
		environment.unsettled.add()
		environment.gate.runOnLoop(l, func() { startAccepted(l, fd, limit, accept) })
	}
	n.awaitLoop = func() { environment.gate.runOnLoop(l, func() {}) }
	serving, previousEnded := n.ended != nil && !n.detached, n.ended
	if !serving {
		n.detached, n.ended = false, make(chan struct{})
	}
	ended := n.ended
	n.mu.Unlock()
	if serving {
		return nil // netpoll has not stopped yet
	}
	go func() {
		if previousEnded != nil {
			<-previousEnded // netpoll must not watch one socket twice
		}
		n.serve()
		close(ended)
	}()
	return nil
}

// serve makes netpoll watch the queue until Stop. It exits the process after maxListenerFailures: a
// proxy that accepts no clients must not keep running.
func (n *Listener) serve() {
	for range maxListenerFailures {
		err := watchListener(n)
		if errors.Is(err, errStopped) {
			return
		}
		slog.Error("listener_failed", "addr", n.addr.String(), "reason", fmt.Sprint(err))
		time.Sleep(listenerRetryPause)
	}
	slog.Error("listener_lost", "addr", n.addr.String())
	os.Exit(1)
}

// watchListener makes netpoll watch a listener until that fails or is stopped, and returns the reason.
func watchListener(l netpoll.Listener) error {
	events, err := netpoll.NewEventLoop(nil)
	if err != nil {
		return err
	}
	return events.Serve(l)
}

// startAccepted makes a connection of an accepted descriptor, on the loop. It starts reading unless
// accept has ended the connection.
func startAccepted(l *Loop, fd, limit int, accept func(c *Conn) Handler) {
	environment.unsettled.remove()
	unix.SetNonblock(fd, true)
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := newPausedConn(l, fd, limit, discardingHandler{})
	c.sizeBuffers()
	c.guard(func() {
		if h := accept(c); !c.Ended() {
			c.handler = h
			c.resume()
		}
	})
}

// discardingHandler ignores all events. A connection has it until accept returns its handler.
type discardingHandler struct{}

// Data does nothing.
func (discardingHandler) Data(*Conn) {}

// Writable does nothing.
func (discardingHandler) Writable(*Conn) {}

// Closed does nothing.
func (discardingHandler) Closed(*Conn, *Error) {}
