package fake

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Link is the state of the network from one process to another.
type Link struct {
	Cut        bool
	Loss       float64 // part of the datagrams that is lost
	Duplicates float64 // part that arrives twice
	Corruption float64 // part that has a byte changed
	Delay      time.Duration
	Jitter     time.Duration // random delay of up to this, by which datagrams change their order
}

// Mesh forwards datagrams between processes, with a socket for every ordered pair: each process has its own addresses for the others, so
// that each link has its own faults in each direction. It needs no privileges.
type Mesh struct {
	listenAddrs []netip.AddrPort
	sockets     [][]*net.UDPConn // by sender and receiver
	forwarders  sync.WaitGroup

	mu    sync.Mutex // protects links and rng
	links [][]Link   // by sender and receiver
	rng   *rand.Rand
}

// meshCount counts this process's meshes.
var meshCount atomic.Uint32

// NewMesh makes a mesh for n processes; seed is that of its random faults.
func NewMesh(n int, seed uint64) (*Mesh, error) {
	m := &Mesh{listenAddrs: ownAddrs(n), sockets: make([][]*net.UDPConn, n), links: make([][]Link, n), rng: rand.New(rand.NewPCG(seed, 3))}
	loopback := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0"))
	for i := range n {
		m.sockets[i], m.links[i] = make([]*net.UDPConn, n), make([]Link, n)
		for j := range n {
			if i == j {
				continue
			}
			var err error
			if m.sockets[i][j], err = net.ListenUDP("udp4", loopback); err != nil {
				m.Close()
				return nil, err
			}
		}
	}
	for i := range n {
		for j := range n {
			if i != j {
				m.forwarders.Add(1)
				go m.forward(i, j)
			}
		}
	}
	return m, nil
}

// ownAddrs are the addresses that the processes listen on, at a loopback address that only this mesh uses: another socket could take a
// port of 127.0.0.1 before its process listens there.
func ownAddrs(n int) []netip.AddrPort {
	addrs := make([]netip.AddrPort, n)
	k := meshCount.Add(1)
	ip := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(k / 250), byte(1 + k%250)})
	for i := range addrs {
		addrs[i] = netip.AddrPortFrom(ip, uint16(20000+os.Getpid()/250%400*100+i))
	}
	return addrs
}

// ListenAddr is the address that a process listens on.
func (m *Mesh) ListenAddr(i int) string { return m.listenAddrs[i].String() }

// PeerAddrs are the addresses by which a process reaches each process, itself included.
func (m *Mesh) PeerAddrs(i int) []string {
	out := make([]string, len(m.listenAddrs))
	for j := range out {
		if out[j] = m.ListenAddr(i); i != j {
			out[j] = m.sockets[i][j].LocalAddr().String()
		}
	}
	return out
}

// UpdateLink changes the link from one process to another.
func (m *Mesh) UpdateLink(from, to int, change func(l *Link)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.links[from][to])
}

// maxDatagram exceeds every datagram of the processes, in bytes.
const maxDatagram = 2048

// forward forwards datagrams from one process to another, with the source address by which the receiver knows the sender.
func (m *Mesh) forward(from, to int) {
	defer m.forwarders.Done()
	in, buf := m.sockets[from][to], make([]byte, maxDatagram)
	for {
		n, err := in.Read(buf)
		if err == nil {
			m.send(from, to, buf[:n])
			continue
		}
		if _, ok := err.(*net.OpError); ok && m.isClosed(in) {
			return
		}
	}
}

// send forwards a datagram with the link's faults.
func (m *Mesh) send(from, to int, datagram []byte) {
	out, addr := m.sockets[to][from], net.UDPAddrFromAddrPort(m.listenAddrs[to])
	m.mu.Lock()
	defer m.mu.Unlock()
	l, times := m.links[from][to], 1
	if m.rng.Float64() < l.Duplicates {
		times = 2
	}
	for range times {
		if l.Cut || m.rng.Float64() < l.Loss {
			continue
		}
		data := append([]byte(nil), datagram...)
		if len(data) > 0 && m.rng.Float64() < l.Corruption {
			data[m.rng.IntN(len(data))] ^= byte(1 + m.rng.IntN(255))
		}
		wait := l.Delay
		if l.Jitter > 0 {
			wait += time.Duration(m.rng.Int64N(int64(l.Jitter)))
		}
		if wait == 0 {
			out.WriteToUDP(data, addr)
		} else {
			time.AfterFunc(wait, func() { out.WriteToUDP(data, addr) })
		}
	}
}

// isClosed returns whether a socket is isClosed.
func (m *Mesh) isClosed(c *net.UDPConn) bool {
	_, err := c.SyscallConn()
	if err != nil {
		return true
	}
	return c.SetReadDeadline(time.Time{}) != nil
}

// Inject sends a datagram to a process as if another had sent it.
func (m *Mesh) Inject(from, to int, data []byte) error {
	if from == to {
		return fmt.Errorf("no link from %d to itself", from)
	}
	_, err := m.sockets[to][from].WriteToUDP(data, net.UDPAddrFromAddrPort(m.listenAddrs[to]))
	return err
}

// Close ends the forwarding.
func (m *Mesh) Close() {
	for _, row := range m.sockets {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
	m.forwarders.Wait()
}
