// Package peers carries short messages between the proxies of a tier as UDP datagrams: the decision module's, and membership's. It owns the
// socket and decides whose datagrams are received; what they mean is their reader's business. A peer is another proxy, known by its number in
// the configured list.
//
// Datagrams do not run on netpoll, which serves streams only: one goroutine reads them and posts them to the event loop.
package peers

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"croftlock/internal/dataplane/netio"
)

// MaxDatagramBytes is the longest datagram that the platform allows, in bytes.
const MaxDatagramBytes = 256

// Addresses are where the proxies of the tier are reached from here.
type Addresses struct {
	Listen    string   // own
	Peers     []string // by number, the own included
	Broadcast string   // reaches every proxy of the tier; "": there is none
}

// invalidReason is why a message is not sent, as the log has it.
type invalidReason string

const (
	reasonUnknownPeer invalidReason = "unknown_peer"
	reasonLength      invalidReason = "length" // empty, or over MaxDatagram
)

// Link sends and receives datagrams. Sending belongs to the event loop.
type Link struct {
	conn       *net.UDPConn
	peers      []netip.AddrPort // by number
	broadcast  netip.AddrPort   // reaches all; invalid: there is none
	ownNumber  int              // among the peers; -1: not numbered
	readLoop   func()
	dropped    atomic.Int64
	sendFailed bool // and that was logged
}

// Open listens, or uses the socket fd that another process has handed over where that is not below 0. receive is called on the loop with
// each datagram of a known peer and that peer's number, once StartReceiving was called.
func Open(loop *netio.Loop, a Addresses, ownNumber, fd int, receive func(from int, data []byte)) (*Link, error) {
	l := &Link{ownNumber: ownNumber}
	numbers := map[netip.AddrPort]int{}
	for i, text := range a.Peers {
		peer, err := parseAddress(fmt.Sprintf("peer %d", i), text)
		if err != nil {
			return nil, err
		}
		l.peers = append(l.peers, peer)
		numbers[peer] = i
	}
	own, err := parseAddress("peer_listen", a.Listen)
	if err == nil && a.Broadcast != "" {
		l.broadcast, err = parseAddress("peers_all", a.Broadcast)
	}
	if err != nil {
		return nil, err
	}
	if l.conn, err = bind(own, fd); err != nil {
		return nil, err
	}
	l.readLoop = func() {
		l.read(loop, func(from netip.AddrPort) (handler, bool) {
			number, known := numbers[from]
			return func(data []byte) { receive(number, data) }, known && number != l.ownNumber
		})
	}
	return l, nil
}

// OpenForAnySender listens for datagrams from anywhere, where members come and go: receive decides whose it accepts.
func OpenForAnySender(loop *netio.Loop, listen string, receive func(from netip.AddrPort, data []byte)) (*Link, error) {
	own, err := parseAddress("listen", listen)
	if err != nil {
		return nil, err
	}
	l := &Link{ownNumber: -1}
	if l.conn, err = bind(own, -1); err != nil {
		return nil, err
	}
	l.readLoop = func() {
		l.read(loop, func(from netip.AddrPort) (handler, bool) {
			return func(data []byte) { receive(from, data) }, true
		})
	}
	return l, nil
}

func parseAddress(name, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, fmt.Errorf("%s: %q is no address with a port", name, text)
	}
	return address, nil
}

// bind opens a socket, or uses fd, handed over in a hot restart, where that is not below 0.
func bind(own netip.AddrPort, fd int) (*net.UDPConn, error) {
	if fd < 0 {
		return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(own))
	}
	file := os.NewFile(uintptr(fd), "peers")
	defer file.Close()
	packetConn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, err
	}
	conn, ok := packetConn.(*net.UDPConn)
	if !ok {
		packetConn.Close()
		return nil, fmt.Errorf("the socket handed over is %T", packetConn)
	}
	return conn, nil
}

// StartReceiving begins to receive. Datagrams can be sent in any case.
func (l *Link) StartReceiving() {
	l.conn.SetReadDeadline(time.Time{})
	go l.readLoop()
}

// StopReceiving leaves what arrives to the other process that holds the socket, during a hot restart.
func (l *Link) StopReceiving() { l.conn.SetReadDeadline(time.Unix(1, 0)) }

// Fd is the socket's descriptor, to be handed to another process; the link keeps it. Below 0: the socket is closed.
func (l *Link) Fd() int {
	fd := -1
	if raw, err := l.conn.SyscallConn(); err == nil {
		raw.Control(func(p uintptr) { fd = int(p) })
	}
	return fd
}

// SendToPeer sends a datagram to a peer by its number, or to all others with a number below 0. It may be lost without notice.
func (l *Link) SendToPeer(peer int, data []byte) {
	if !validLength(data) {
		return
	}
	switch {
	case peer >= 0 && peer < len(l.peers):
		l.send(l.peers[peer], data)
	case peer >= 0:
		slog.Error("peer_message_invalid", "reason", reasonUnknownPeer, "peer", peer, "peer_count", len(l.peers))
	case l.broadcast.IsValid():
		l.send(l.broadcast, data)
	default:
		for i, to := range l.peers {
			if i != l.ownNumber {
				l.send(to, data)
			}
		}
	}
}

// SendTo sends a datagram to an address. It may be lost without notice.
func (l *Link) SendTo(to netip.AddrPort, data []byte) {
	if validLength(data) {
		l.send(to, data)
	}
}

// validLength logs a datagram that the platform does not allow: that is a fault of the caller.
func validLength(data []byte) bool {
	if len(data) > 0 && len(data) <= MaxDatagramBytes {
		return true
	}
	slog.Error("peer_message_invalid", "reason", reasonLength, "bytes", len(data), "max_bytes", MaxDatagramBytes)
	return false
}

// send logs the first error only: one that lasts would be logged with each datagram.
func (l *Link) send(to netip.AddrPort, data []byte) {
	if _, err := l.conn.WriteToUDPAddrPort(data, to); err != nil && !l.sendFailed {
		l.sendFailed = true
		slog.Warn("peer_failed", "address", to.String(), "reason", err)
	}
}

// Dropped counts the datagrams that were received and not handled: of an unknown sender, too long, or while too many waited for the loop.
func (l *Link) Dropped() int64 { return l.dropped.Load() }

// Close closes the socket.
func (l *Link) Close() { l.conn.Close() }
