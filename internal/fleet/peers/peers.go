// Package peers carries the decision module's short messages between the proxies of a tier, as datagrams. It owns the
// socket and who may speak on it; what a message says is the module's.
//
// Datagrams are the one thing here that does not run on netpoll, which serves streams only: one goroutine reads them and
// posts them to the loop.
package peers

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"croftlock/internal/dataplane/netio"
)

const (
	// Longest is the longest datagram that the platform allows; a longer one would void the run.
	Longest = 256
	// backlog bounds what is read but not taken yet: messages are news, and those that a busy loop is late for are old.
	backlog = 64
)

// Addresses are where the proxies of the tier are reached from here.
type Addresses struct {
	Listen string   // own
	Peers  []string // by number, the own included
	All    string   // reaches every proxy of the tier; "" where there is none
}

// Link sends and takes messages. Tell belongs to the loop.
type Link struct {
	conn    *net.UDPConn
	to      []netip.AddrPort
	all     netip.AddrPort
	me      int
	dropped atomic.Int64
	failed  bool
	hear    func()
}

// Open listens, or takes the socket fd that another process has handed over where that is not under 0, and has take called on the loop with each message that comes from a known peer and the sender's number.
func Open(l *netio.Loop, a Addresses, me, fd int, take func(from int, data []byte)) (*Link, error) {
	k := &Link{me: me}
	from := map[netip.AddrPort]int{}
	for i, s := range a.Peers {
		p, err := address(fmt.Sprintf("peer %d", i), s)
		if err != nil {
			return nil, err
		}
		k.to = append(k.to, p)
		from[p] = i
	}
	own, err := address("peer_listen", a.Listen)
	if err == nil && a.All != "" {
		k.all, err = address("peers_all", a.All)
	}
	if err != nil {
		return nil, err
	}
	if k.conn, err = bind(own, fd); err != nil {
		return nil, err
	}
	k.hear = func() { go k.read(l, from, take) }
	return k, nil
}

// OpenAny listens for datagrams from anywhere, where members come and go: who may speak is for take to tell.
func OpenAny(l *netio.Loop, listen string, take func(from netip.AddrPort, data []byte)) (*Link, error) {
	own, err := address("listen", listen)
	if err != nil {
		return nil, err
	}
	k := &Link{me: -1}
	if k.conn, err = bind(own, -1); err != nil {
		return nil, err
	}
	k.hear = func() {
		go k.receive(l, func(a netip.AddrPort) (func([]byte), bool) { return func(data []byte) { take(a, data) }, true })
	}
	return k, nil
}

// TellTo sends a datagram to an address.
func (k *Link) TellTo(to netip.AddrPort, data []byte) {
	if len(data) == 0 || len(data) > Longest {
		slog.Error("peer_message_invalid", "bytes", len(data), "most", Longest)
		return
	}
	k.send(to, data)
}

func bind(own netip.AddrPort, fd int) (*net.UDPConn, error) {
	if fd < 0 {
		return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(own))
	}
	f := os.NewFile(uintptr(fd), "peers")
	defer f.Close()
	p, err := net.FilePacketConn(f)
	if err != nil {
		return nil, err
	}
	conn, ok := p.(*net.UDPConn)
	if !ok {
		p.Close()
		return nil, fmt.Errorf("the socket handed over is %T", p)
	}
	return conn, nil
}

// Hear begins to take messages, and Deafen leaves them to whoever else holds the socket. Messages go out in any case.
func (k *Link) Hear() {
	k.conn.SetReadDeadline(time.Time{})
	k.hear()
}

// Deafen ends what Hear began.
func (k *Link) Deafen() { k.conn.SetReadDeadline(time.Unix(1, 0)) }

// Fd is the socket, to be handed to another process; it stays the link's. Under 0: there is none any more.
func (k *Link) Fd() int {
	fd := -1
	if raw, err := k.conn.SyscallConn(); err == nil {
		raw.Control(func(p uintptr) { fd = int(p) })
	}
	return fd
}

func address(what, text string) (netip.AddrPort, error) {
	p, err := netip.ParseAddrPort(text)
	if err != nil {
		return p, fmt.Errorf("%s: %q is no address with a port", what, text)
	}
	return p, nil
}

// hearAgain is the pause after a read that failed.
const hearAgain = time.Millisecond

func (k *Link) read(l *netio.Loop, from map[netip.AddrPort]int, take func(int, []byte)) {
	k.receive(l, func(a netip.AddrPort) (func([]byte), bool) {
		sender, known := from[a]
		return func(data []byte) { take(sender, data) }, known && sender != k.me
	})
}

// receive posts what comes to the loop, for whoever who says takes it from there.
func (k *Link) receive(l *netio.Loop, who func(netip.AddrPort) (take func([]byte), known bool)) {
	var waiting atomic.Int32
	buf := make([]byte, Longest+1)
	for {
		n, addr, err := k.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			// An earlier datagram of ours met a closed port, which says nothing of the next one; or the kernel is short of memory, and may stay so.
			if !errors.Is(err, syscall.ECONNREFUSED) {
				time.Sleep(hearAgain)
			}
			continue
		}
		take, known := who(netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()))
		if !known || n > Longest || waiting.Load() >= backlog {
			k.dropped.Add(1)
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		waiting.Add(1)
		l.Post(func() {
			waiting.Add(-1)
			take(data)
		})
	}
}

// SendToPeer sends a message to a peer, or to all with a number under 0. It may be lost, and nobody hears of that.
func (k *Link) SendToPeer(peer int, data []byte) {
	if len(data) == 0 || len(data) > Longest {
		slog.Error("peer_message_invalid", "bytes", len(data), "most", Longest)
		return
	}
	switch {
	case peer >= 0 && peer < len(k.to):
		k.send(k.to[peer], data)
	case peer >= 0:
		slog.Error("peer_message_invalid", "peer", peer, "peers", len(k.to))
	case k.all.IsValid():
		k.send(k.all, data)
	default:
		for i, to := range k.to {
			if i != k.me {
				k.send(to, data)
			}
		}
	}
}

func (k *Link) send(to netip.AddrPort, data []byte) {
	if _, err := k.conn.WriteToUDPAddrPort(data, to); err != nil && !k.failed {
		k.failed = true
		slog.Warn("peer_failed", "to", to.String(), "reason", err)
	}
}

// Dropped is how many datagrams were not taken: from strangers, too long, or more than the loop kept up with.
func (k *Link) Dropped() int64 { return k.dropped.Load() }

// Close ends it.
func (k *Link) Close() { k.conn.Close() }
