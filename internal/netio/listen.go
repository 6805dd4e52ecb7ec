package netio

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Listen accepts connections on addr and gives each one, on the loop, to accept, which names its handler. It gives the address listened on. limit bounds each connection's input. Running out of descriptors does not end it: netpoll sets the listener aside
// for a while and takes it up again.
func Listen(l *Loop, addr string, limit int, accept func(c *Conn) Handler) (net.Addr, error) {
	// Accepted sockets take the size over; set later, what the kernel has offered the client by then stays.
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, kernelBuffer)
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
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
		return nil, err
	}
	go func() {
		// Serve ends only with the listener, and that lives as long as the process.
		slog.Error("listener_lost", "addr", addr, "reason", fmt.Sprint(events.Serve(ln)))
		os.Exit(1)
	}()
	return ln.Addr(), nil
}

// nobody is the handler of a connection that was not taken.
type nobody struct{}

func (nobody) Data(*Conn)           {}
func (nobody) Writable(*Conn)       {}
func (nobody) Closed(*Conn, *Error) {}
