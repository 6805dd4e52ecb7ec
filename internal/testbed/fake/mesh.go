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

// Link is the state of the network from one process to another. The zero Link has no faults.
type Link struct {
	Cut        bool          // no datagram arrives
	Loss       float64       // fraction of datagrams that are lost, from 0 to 1
	Duplicates float64       // fraction that arrive twice
	Corruption float64       // fraction in which one byte is changed
	Delay      time.Duration // added to every datagram
	Jitter     time.Duration // upper bound of a random delay that is added to Delay and reorders datagrams
}

// Mesh forwards datagrams between processes. It has a socket for every ordered pair of processes:
// each process reaches the others at addresses of its own, so that each direction of a link has its
// own faults. It needs no privileges.
type Mesh struct {
	listenAddrs []netip.AddrPort
	sockets     [][]*net.UDPConn // by sender and receiver
	forwarders  sync.WaitGroup

	mu    sync.Mutex // protects links and rng
	links [][]Link   // by sender and receiver
	rng   *rand.Rand
}

// meshCount is the number of meshes made by this process. It gives each mesh a loopback address of
// its own.
var meshCount atomic.Uint32

// NewMesh returns a mesh for n processes. seed determines its random faults.
func NewMesh(n int, seed uint64) (*Mesh, error) {
	m := &Mesh{listenAddrs: newListenAddrs(n), sockets: make([][]*net.UDPConn, n), links: make([][]Link, n), rng: rand.New(rand.NewPCG(seed, 3))}
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

// newListenAddrs returns the addresses that the n processes listen on, at a loopback address that
// only this mesh uses. On 127.0.0.1 another socket could bind a port before its process listens
// there.
func newListenAddrs(n int) []netip.AddrPort {
	addrs := make([]netip.AddrPort, n)
	mesh := meshCount.Add(1)
	ip := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(mesh / 250), byte(1 + mesh%250)})
	for i := range addrs {
		addrs[i] = netip.AddrPortFrom(ip, uint16(20000+os.Getpid()/250%400*100+i))
	}
	return addrs
}

// ListenAddr returns the address that process i must listen on.
func (m *Mesh) ListenAddr(i int) string { return m.listenAddrs[i].String() }

// PeerAddrs returns the addresses at which process i reaches each process, by number. Its own entry
// is its ListenAddr.
func (m *Mesh) PeerAddrs(i int) []string {
	out := make([]string, len(m.listenAddrs))
	for j := range out {
		if out[j] = m.ListenAddr(i); i != j {
			out[j] = m.sockets[i][j].LocalAddr().String()
		}
	}
	return out
}

// UpdateLink calls change on the link from one process to another. change must not call methods of
// the mesh.
func (m *Mesh) UpdateLink(from, to int, change func(l *Link)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.links[from][to])
}

// maxDatagram is a size in bytes that exceeds every datagram of the processes.
const maxDatagram = 2048

// forward forwards datagrams from one process to another until the socket is closed. They leave
// from the address at which the receiver knows the sender.
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

// send forwards a datagram and applies the link's faults to it.
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

// isClosed reports whether a socket of the mesh is closed.
func (m *Mesh) isClosed(c *net.UDPConn) bool {
	_, err := c.SyscallConn()
	if err != nil {
		return true
	}
	return c.SetReadDeadline(time.Time{}) != nil
}

// Inject sends a datagram to process to from the address at which it knows process from. The link's
// faults do not apply.
func (m *Mesh) Inject(from, to int, data []byte) error {
	if from == to {
		return fmt.Errorf("process %d has no link to itself", from)
	}
	_, err := m.sockets[to][from].WriteToUDP(data, net.UDPAddrFromAddrPort(m.listenAddrs[to]))
	return err
}

// Close closes the mesh's sockets and waits until forwarding has ended.
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
