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
	// maxWaiting bounds the number of datagrams that wait for the loop. Those that wait for long
	// are out of date and must not delay later ones.
	maxWaiting = 64
	// readRetryDelay is the pause after a failed read, since the kernel may remain short of memory.
	readRetryDelay = time.Millisecond
)

// handler handles a datagram on the loop.
type handler func(data []byte)

// read posts each datagram to the loop with the handler that handlerFor returns for its sender. It
// drops the datagram if handlerFor reports that the sender is unknown. It returns once the link is
// closed or StopReceiving was called.
func (l *Link) read(loop *netio.Loop, handlerFor func(from netip.AddrPort) (handler, bool)) {
	var waiting atomic.Int32
	buffer := make([]byte, MaxDatagramBytes+1) // one byte more, to detect a datagram that is too long
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			// ECONNREFUSED means that an earlier datagram from this process reached a closed port.
			// The next read may succeed at once.
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
