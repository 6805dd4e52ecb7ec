// Package peers sends short messages between the proxies of a tier (those that serve the same
// clients) as UDP datagrams, for the decision module and for membership. It owns the socket and
// decides from which senders datagrams are accepted; it does not interpret them. A peer is another
// proxy, identified by its index in the configured list, which is called its number.
//
// Datagrams do not use netpoll, which serves streams only: one goroutine reads them and posts them
// to the event loop.
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

// MaxDatagramBytes is the length of the longest datagram that the platform allows.
const MaxDatagramBytes = 256

// Addresses holds the addresses of the proxies of the tier, each an IP address and a port.
type Addresses struct {
	Listen    string   // address to listen on
	Peers     []string // addresses of all proxies, including this one, by their number
	Broadcast string   // address that reaches every proxy of the tier; empty if there is none
}

// invalidReason is the reason, as logged, why a datagram is not sent.
type invalidReason string

const (
	reasonUnknownPeer invalidReason = "unknown_peer"
	reasonLength      invalidReason = "length" // empty or longer than MaxDatagramBytes
)

// Link sends and receives datagrams. Its methods that send must be called on the event loop.
type Link struct {
	conn       *net.UDPConn
	peers      []netip.AddrPort // by number
	broadcast  netip.AddrPort   // reaches every proxy; invalid if there is no such address
	ownNumber  int              // number of this proxy among the peers; -1 if the link has no numbered peers
	readLoop   func()           // reads datagrams until Close or StopReceiving is called
	dropped    atomic.Int64     // see Dropped
	sendFailed bool             // whether a failure to send was logged
}

// Open returns a Link that exchanges datagrams with the peers in a, among which this proxy has the
// number ownNumber. It listens on a.Listen, or, if fd is not negative, uses the socket with the
// descriptor fd that another process handed over in a hot restart. After StartReceiving, receive is
// called on the loop for each datagram from a known peer, with the number of that peer.
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

// OpenForAnySender returns a Link that accepts datagrams from any address, for a fleet whose
// members change. After StartReceiving, receive is called on the loop, and must itself decide which
// senders it accepts. SendToPeer reaches nobody on this Link; use SendTo.
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

// parseAddress parses an IP address with a port. name identifies the address in the error.
func parseAddress(name, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, fmt.Errorf("%s: %q is not an IP address with a port", name, text)
	}
	return address, nil
}

// bind opens a socket on the address listen, or, if fd is not negative, uses the socket fd that
// another process handed over in a hot restart.
func bind(listen netip.AddrPort, fd int) (*net.UDPConn, error) {
	if fd < 0 {
		return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
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
		return nil, fmt.Errorf("the socket handed over is a %T, want a %T", packetConn, conn)
	}
	return conn, nil
}

// StartReceiving starts to receive datagrams. Datagrams can be sent before that.
func (l *Link) StartReceiving() {
	l.conn.SetReadDeadline(time.Time{})
	go l.readLoop()
}

// StopReceiving stops receiving during a hot restart, so that datagrams go to the other process
// that holds the socket.
func (l *Link) StopReceiving() { l.conn.SetReadDeadline(time.Unix(1, 0)) }

// Fd returns the descriptor of the socket, to be handed to another process. The link still owns it.
// Fd returns -1 if the socket is closed.
func (l *Link) Fd() int {
	fd := -1
	if raw, err := l.conn.SyscallConn(); err == nil {
		raw.Control(func(p uintptr) { fd = int(p) })
	}
	return fd
}

// SendToPeer sends a datagram to the peer with a number, or to all other proxies if the number is
// negative. The datagram may be lost without notice.
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

// SendTo sends a datagram to an address. The datagram may be lost without notice.
func (l *Link) SendTo(to netip.AddrPort, data []byte) {
	if validLength(data) {
		l.send(to, data)
	}
}

// validLength reports whether the platform allows a datagram of this length. It logs one that it
// does not allow, since that is an error of the caller.
func validLength(data []byte) bool {
	if len(data) > 0 && len(data) <= MaxDatagramBytes {
		return true
	}
	slog.Error("peer_message_invalid", "reason", reasonLength, "bytes", len(data), "max_bytes", MaxDatagramBytes)
	return false
}

// send sends a datagram. It logs only the first error, since a persistent one would be logged with
// each datagram.
func (l *Link) send(to netip.AddrPort, data []byte) {
	if _, err := l.conn.WriteToUDPAddrPort(data, to); err != nil && !l.sendFailed {
		l.sendFailed = true
		slog.Warn("peer_failed", "address", to.String(), "reason", err)
	}
}

// Dropped returns the number of datagrams that were received but not handled: from an unknown
// sender, too long, or while too many waited for the loop.
func (l *Link) Dropped() int64 { return l.dropped.Load() }

// Close closes the socket.
func (l *Link) Close() { l.conn.Close() }
