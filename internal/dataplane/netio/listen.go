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

// Listener is a listening socket, which may be another process's too: both then accept from one queue, which outlives either.
type Listener struct {
	netpoll.Listener
	addr net.Addr

	mu       sync.Mutex
	stopped  bool
	detached bool          // netpoll has been stopped
	ended    chan struct{} // closed once netpoll has stopped; nil before the first Serve
	onAccept func(fd int)  // takes over the descriptor of a connection, on the poller
}

// errStopped ends netpoll's accepting. netpoll looks for "closed" in its text; the socket stays open.
var errStopped = errors.New("accepting is closed")

// acceptRetryPause is the pause after an accept for which the kernel had no descriptor or no memory: netpoll would retry without one.
const acceptRetryPause = 5 * time.Millisecond

// Accept accepts one connection, unless accepting has been stopped, and gives netpoll none: a connection that netpoll registers itself it closes
// without notice where the kernel has no memory for that. Nor does netpoll get errors: where descriptors run out it would stop watching the
// queue, and resume late or never.
func (n *Listener) Accept() (net.Conn, error) {
	n.mu.Lock()
	if n.stopped {
		n.detached = true
		n.mu.Unlock()
		return nil, errStopped
	}
	c, err := n.Listener.Accept()
	take := n.onAccept
	n.mu.Unlock() // the loop may wait for it, and is waited for below
	if err != nil {
		slog.Warn("accept_failed", "addr", n.addr, "reason", err)
		if isResourceShortage(err) {
			time.Sleep(acceptRetryPause)
		}
		return nil, nil
	}
	if c != nil {
		take(c.(netpoll.Conn).Fd())
	}
	return nil, nil
}

// isResourceShortage reports whether an error means that this machine is out of some resource.
func isResourceShortage(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
		syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Stop ends accepting; connections wait for whoever else has the socket.
func (n *Listener) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
}

// Addr is the address listened on.
func (n *Listener) Addr() net.Addr { return n.addr }

// Bind listens on addr and accepts nothing yet. Where it is shared, another process of the same user may listen there as well.
func Bind(addr string, shared bool) (*Listener, error) {
	// Accepted sockets inherit the size; set later it would not change the window that the client has been offered.
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

// Inherit takes a listening socket that another process has handed over. The descriptor is the listener's from here on.
func Inherit(fd int) (*Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	return newListener(ln)
}

func newListener(ln net.Listener) (*Listener, error) {
	np, err := netpoll.ConvertListener(ln)
	if err != nil {
		ln.Close()
		return nil, err
	}
	return &Listener{Listener: np, addr: ln.Addr()}, nil
}

// Listen accepts connections on addr, as Serve does.
func Listen(l *Loop, addr string, limit int, accept func(c *Conn) Handler) (net.Addr, error) {
	n, err := Bind(addr, false)
	if err != nil {
		return nil, err
	}
	return n.Addr(), Serve(l, n, limit, accept)
}

// How often, and how soon, accepting is begun again that netpoll could not begin.
const (
	maxListenerFailures = 50
	listenerRetryPause  = 100 * time.Millisecond
)

// Serve accepts connections and gives each one, on the loop, to accept, which names its handler. limit bounds each
// connection's input. Running out of descriptors does not end it. After Stop, Serve may be called again.
func Serve(l *Loop, n *Listener, limit int, accept func(c *Conn) Handler) error {
	n.mu.Lock()
	n.stopped = false
	// Accepting waits for the loop, which may have to evict another connection first.
	n.onAccept = func(fd int) { environment.gate.runOnLoop(l, func() { startAccepted(l, fd, limit, accept) }) }
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
			<-previousEnded // netpoll watches a socket once
		}
		n.serve()
		close(ended)
	}()
	return nil
}

// serve has netpoll watch the queue until accepting is stopped. It ends the process where that fails for good: a proxy that accepts nobody must
// not go on.
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

// watchListener has netpoll watch a listener until that ends, and gives the reason.
func watchListener(l netpoll.Listener) error {
	events, err := netpoll.NewEventLoop(nil)
	if err != nil {
		return err
	}
	return events.Serve(l)
}

// startAccepted begins a connection that was startAccepted, on the loop.
func startAccepted(l *Loop, fd, limit int, accept func(c *Conn) Handler) {
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

// discardingHandler is the handler of a connection that has no other.
type discardingHandler struct{}

// Data does nothing.
func (discardingHandler) Data(*Conn) {}

// Writable does nothing.
func (discardingHandler) Writable(*Conn) {}

// Closed does nothing.
func (discardingHandler) Closed(*Conn, *Error) {}
