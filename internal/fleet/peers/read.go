package peers

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"croftlock/internal/dataplane/netio"
)

const (
	// maxWaiting bounds the datagrams that wait for the loop: what waits for long is out of date, and must not delay what comes after.
	maxWaiting = 64
	// readRetryDelay is the pause after a read that failed, as the kernel may stay short of memory.
	readRetryDelay = time.Millisecond
)

// handler handles a datagram on the loop.
type handler func(data []byte)

// read posts datagrams to the loop, each for the handler that handlerOf gives for its sender; false: the sender is unknown. It returns once
// the link is closed or StopReceiving was called.
func (l *Link) read(loop *netio.Loop, handlerFor func(from netip.AddrPort) (handler, bool)) {
	var waiting atomic.Int32
	buffer := make([]byte, MaxDatagramBytes+1) // one more, so that a datagram that is too long shows
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			// ECONNREFUSED reports that an earlier datagram of this process met a closed port: the next read may succeed at once.
			if !errors.Is(err, syscall.ECONNREFUSED) {
				time.Sleep(readRetryDelay)
			}
			continue
		}
		handle, known := handlerFor(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if !known || n > MaxDatagramBytes || waiting.Load() >= maxWaiting {
			l.dropped.Add(1)
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		waiting.Add(1)
		loop.Post(func() {
			waiting.Add(-1)
			handle(data)
		})
	}
}
