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

// Listener is a listening socket, which may be another process's too: both then take from one queue, and what waits in it
// outlives either.
type Listener struct {
	netpoll.Listener
	addr net.Addr

	mu       sync.Mutex // Accept is called on the poller, and beside it where descriptors ran out
	stopped  bool
	short    bool          // the last accept found no descriptor; netpoll tries again beside the poller
	detached bool          // netpoll has been told to let go
	ended    chan struct{} // closed once it has; nil before the first Serve
}

// errStopped ends netpoll's accepting. netpoll looks for the word "closed"; the socket stays open.
var errStopped = errors.New("accepting is closed here, by order")

// Accept takes one connection from the queue, unless accepting has been stopped.
func (n *Listener) Accept() (net.Conn, error) {
	for {
		c, again, err := n.take()
		if !again {
			return c, err
		}
		// netpoll's own pauses grow to a second, in which clients wait in the queue though there is room again. This call is not on its
		// poller.
		time.Sleep(acceptAgain)
	}
}

// acceptAgain is the pause before the queue is looked at again when there was no descriptor.
const acceptAgain = 10 * time.Millisecond

// take takes one connection from the queue. again says that there was no descriptor for it once more, and that the caller may wait.
func (n *Listener) take() (c net.Conn, again bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.stopped && n.short:
		n.short = false // netpoll's own retries end with an empty queue; the next call tells
		return nil, false, nil
	case n.stopped:
		n.detached = true
		return nil, false, errStopped
	}
	c, err = n.Listener.Accept()
	short := err == syscall.EMFILE || err == syscall.ENFILE
	again = short && n.short // netpoll has let go of the socket, and this is its retry beside the poller
	n.short = short
	if err != nil {
		slog.Warn("accept_failed", "addr", n.addr, "reason", err)
	}
	if err != nil && !short {
		// The client has gone again, or the kernel is short of memory: the next one is no worse for that. What netpoll does not know it would
		// log and forget, or take for the listener's end.
		return nil, false, nil
	}
	return c, again, err
}

// Stop leaves what comes from now on to whoever else holds the socket.
func (n *Listener) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
}

// Addr is the address listened on.
func (n *Listener) Addr() net.Addr { return n.addr }

// Bind listens on addr and accepts nothing yet. Where it is shared, another process of the same user may listen there as well.
func Bind(addr string, shared bool) (*Listener, error) {
	// Accepted sockets take the size over; set later, what the kernel has offered the client by then stays.
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
	return listener(ln)
}

// Inherit takes a listening socket that another process has handed over. The descriptor is the listener's from here on.
func Inherit(fd int) (*Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	return listener(ln)
}

func listener(ln net.Listener) (*Listener, error) {
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

// Serve accepts connections and gives each one, on the loop, to accept, which names its handler. limit bounds each
// connection's input. Running out of descriptors does not end it: netpoll sets the listener aside for a while and takes it up
// again. After Stop, Serve may be called again.
func Serve(l *Loop, n *Listener, limit int, accept func(c *Conn) Handler) error {
	n.mu.Lock()
	n.stopped = false
	serving, before := n.ended != nil && !n.detached, n.ended
	if !serving {
		n.detached, n.ended = false, make(chan struct{})
	}
	ended := n.ended
	n.mu.Unlock()
	if serving {
		return nil // netpoll has not come to let go
	}
	// Accepting waits for the loop, so that it can make room for each.
	events, err := netpoll.NewEventLoop(nil, netpoll.WithOnPrepare(func(np netpoll.Connection) context.Context {
		current.gate.pass(l, func() {
			c := newConn(l, np, limit)
			c.handler = nobody{}
			c.guard(func() {
				if h := accept(c); !c.Over() {
					c.start(h)
				}
			})
		})
		return nil
	}))
	if err != nil {
		return err
	}
	go func() {
		// Serve ends only with the listener, which lives as long as the process, or where it has been stopped.
		if before != nil {
			<-before // netpoll watches a socket once
		}
		if err := events.Serve(n); errors.Is(err, errStopped) {
			close(ended)
		} else {
			slog.Error("listener_lost", "addr", n.addr.String(), "reason", fmt.Sprint(err))
			os.Exit(1)
		}
	}()
	return nil
}

// nobody is the handler of a connection that was not taken.
type nobody struct{}

func (nobody) Data(*Conn)           {}
func (nobody) Writable(*Conn)       {}
func (nobody) Closed(*Conn, *Error) {}
