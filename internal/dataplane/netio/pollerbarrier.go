package netio

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// pollerBarrier makes the event loop wait until netpoll's poller, the goroutine that reads sockets, has
// finished the events that it is handling, and parks the poller meanwhile.
//
// Pausing and resuming a connection require that. netpoll reads a socket for as long as it watches it,
// so reading is stopped by detaching the socket, and what the poller reads at the same time would be
// lost with netpoll's buffer. netpoll calls Accept of a listener on the poller, between two sockets. When
// it calls Accept of a listener on an eventfd, it has handled all events that it found before the
// eventfd was written.
type pollerBarrier struct {
	eventFD int
	reached chan struct{} // receives a value when the poller has reached the barrier
	release chan struct{} // a value lets the poller continue
}

var _ netpoll.Listener = (*pollerBarrier)(nil)

// newPollerBarrier creates the eventfd of a barrier and starts the goroutine that makes netpoll watch it.
func newPollerBarrier() (*pollerBarrier, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, err
	}
	b := &pollerBarrier{eventFD: fd, reached: make(chan struct{}), release: make(chan struct{})}
	go b.serve()
	return b, nil
}

// barrierRetryPause is the pause before netpoll is made to watch the barrier again after a failure. The loop
// may be blocked in runWhileParked meanwhile.
const barrierRetryPause = 5 * time.Millisecond

// serve makes netpoll watch the barrier, and never returns. It retries if the kernel has no memory for
// another watch: without the barrier the loop would wait forever when it next waits for the poller.
func (b *pollerBarrier) serve() {
	for {
		slog.Error("poller_barrier_failed", "reason", fmt.Sprint(watchListener(b)))
		time.Sleep(barrierRetryPause)
	}
}

// runWhileParked waits until the poller has reached the barrier, calls f, and lets the poller continue.
// The gate must be open, so that the poller waits for nothing else and reaches the barrier within
// microseconds.
func (b *pollerBarrier) runWhileParked(f func()) {
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	for {
		_, err := unix.Write(b.eventFD, one[:])
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			panic(fmt.Sprint("eventfd: ", err)) // impossible: the counter is at most 1 and the eventfd stays open
		}
		break
	}
	<-b.reached
	defer func() { b.release <- struct{}{} }()
	f()
}

// Accept parks the poller until it is released, if the eventfd was written. netpoll calls it on the
// poller. It returns no connection.
func (b *pollerBarrier) Accept() (net.Conn, error) {
	var count [8]byte
	if n, err := unix.Read(b.eventFD, count[:]); err == nil && n == len(count) {
		b.reached <- struct{}{}
		<-b.release
	}
	return nil, nil
}

// Fd returns the eventfd that netpoll watches.
func (b *pollerBarrier) Fd() int { return b.eventFD }

// Addr returns a name for the barrier. It is required by net.Listener.
func (b *pollerBarrier) Addr() net.Addr { return &net.UnixAddr{Name: "poller barrier", Net: "unix"} }

// Close does nothing. It is required by net.Listener, and a barrier is never closed.
func (b *pollerBarrier) Close() error { return nil }
