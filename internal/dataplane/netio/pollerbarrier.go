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

// pollerBarrier makes the loop wait until netpoll's poller has finished what it is doing.
//
// Pausing a connection and resuming it needs that. netpoll reads a socket for as long as it watches it, so reading is stopped by taking the
// socket away from it; and what the poller reads at that very moment would be lost with netpoll's buffer. netpoll calls a listener's Accept on
// the poller, between two sockets, so a listener on an eventfd shows when the poller has reached it: by then it is done with all that it had
// found before the eventfd was written.
type pollerBarrier struct {
	eventFD int
	reached chan struct{}
	release chan struct{}
}

var _ netpoll.Listener = (*pollerBarrier)(nil)

func newPollerBarrier() (*pollerBarrier, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, err
	}
	b := &pollerBarrier{eventFD: fd, reached: make(chan struct{}), release: make(chan struct{})}
	go b.serve()
	return b, nil
}

// barrierRetryPause is the pause before the next attempt to have netpoll watch the barrier. The loop waits meanwhile.
const barrierRetryPause = 5 * time.Millisecond

// serve has netpoll watch the barrier, for good. Without it the loop would wait for ever as soon as it waits for the poller, so where the kernel has no
// memory for one more watch, that is retried.
func (b *pollerBarrier) serve() {
	for {
		slog.Error("poller_barrier_failed", "reason", fmt.Sprint(watchListener(b)))
		time.Sleep(barrierRetryPause)
	}
}

// runWhileParked runs do once the poller has come here, and lets it go on after that. The gate is open meanwhile, so the poller
// waits for nothing else and this takes microseconds.
func (b *pollerBarrier) runWhileParked(f func()) {
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	for {
		_, err := unix.Write(b.eventFD, one[:])
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			panic(fmt.Sprint("eventfd: ", err)) // it holds one at most, and is never closed
		}
		break
	}
	<-b.reached
	defer func() { b.release <- struct{}{} }()
	f()
}

// Accept is called on the poller. It accepts nothing.
func (b *pollerBarrier) Accept() (net.Conn, error) {
	var count [8]byte
	if n, err := unix.Read(b.eventFD, count[:]); err == nil && n == len(count) {
		b.reached <- struct{}{}
		<-b.release
	}
	return nil, nil
}

// Fd is the eventfd that netpoll watches.
func (b *pollerBarrier) Fd() int { return b.eventFD }

// Addr is part of being a listener.
func (b *pollerBarrier) Addr() net.Addr { return &net.UnixAddr{Name: "poller barrier", Net: "unix"} }

// Close is part of being a listener; a barrier is never closed.
func (b *pollerBarrier) Close() error { return nil }
