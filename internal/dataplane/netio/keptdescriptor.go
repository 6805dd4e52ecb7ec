package netio

import (
	"errors"

	"golang.org/x/sys/unix"
)

// errPollerDropped means that netpoll has dropped an established connection. netpoll reports no reason.
var errPollerDropped = errors.New("the poller could not watch the socket or read from it")

// keepDescriptor duplicates the descriptor of a socket that netpoll closes although neither side ended it,
// for example for lack of kernel memory. It reports whether it did. The caller must hold socket.mu.
func (c *Conn) keepDescriptor() bool {
	const tcpEstablished = 1
	if c.socket.closing {
		return false
	}
	info, err := unix.GetsockoptTCPInfo(c.socket.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.State != tcpEstablished {
		return false
	}
	fd := duplicateDescriptor(c.socket.fd)
	if fd < 0 {
		return false
	}
	c.socket.fd = fd
	return true
}

// duplicateDescriptor returns another descriptor of a socket, or -1 if the kernel has none.
func duplicateDescriptor(fd int) int {
	duplicate, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1
	}
	return duplicate
}

// watchKeptDescriptor makes netpoll watch a socket that it has dropped. tail is the input from before that.
func (c *Conn) watchKeptDescriptor(tail []byte) {
	c.paused = true
	if c.ended && !c.ending.finishing {
		c.closeSocket()
		return
	}
	switch {
	case c.ended:
		c.countDiscarded(len(tail))
	case c.layer != nil:
		c.readThroughLayer(tail, c.inputLimit+inputOvershoot)
	default:
		c.input.Append(tail)
		c.deliver()
	}
	c.retryWatch(errPollerDropped)
}
