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

// Link is what becomes of datagrams on their way from one process to another.
type Link struct {
	Cut         bool
	Loss, Twice float64
	Garbage     float64 // part that has a byte changed
	Delay       time.Duration
	Jitter      time.Duration // up to so much more: what is sent later may come sooner
}

// Mesh carries datagrams between processes, with a socket for every ordered pair: each process is given addresses of its own for
// the others, so that whatever is between any two of them can be broken in one direction. It needs no privileges.
type Mesh struct {
	mu    sync.Mutex
	own   []netip.AddrPort
	socks [][]*net.UDPConn // by sender and receiver
	links [][]Link
	rng   *rand.Rand
	wg    sync.WaitGroup
}

// meshes counts those of this process.
var meshes atomic.Uint32

// NewMesh makes one for n processes.
func NewMesh(n int, seed uint64) (*Mesh, error) {
	m := &Mesh{own: make([]netip.AddrPort, n), socks: make([][]*net.UDPConn, n), links: make([][]Link, n), rng: rand.New(rand.NewPCG(seed, 3))}
	loopback := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0"))
	// The processes' own addresses are a loopback address of this mesh's alone: a port that is found free and let go again would be given to
	// another mesh's socket before its process has it.
	k := meshes.Add(1)
	ip := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(k / 250), byte(1 + k%250)})
	for i := range n {
		var err error
		m.own[i] = netip.AddrPortFrom(ip, uint16(20000+os.Getpid()/250%400*100+i))
		m.socks[i], m.links[i] = make([]*net.UDPConn, n), make([]Link, n)
		for j := range n {
			if i == j {
				continue
			}
			if m.socks[i][j], err = net.ListenUDP("udp4", loopback); err != nil {
				m.Close()
				return nil, err
			}
		}
	}
	for i := range n {
		for j := range n {
			if i != j {
				m.wg.Add(1)
				go m.carry(i, j)
			}
		}
	}
	return m, nil
}

// Own is the address at which a process is to listen, and Peers all addresses as it is to use them.
func (m *Mesh) Own(i int) string { return m.own[i].String() }

// Peers is every process's address as seen from one.
func (m *Mesh) Peers(i int) []string {
	out := make([]string, len(m.own))
	for j := range out {
		if out[j] = m.Own(i); i != j {
			out[j] = m.socks[i][j].LocalAddr().String()
		}
	}
	return out
}

// Set changes the link from one process to another.
func (m *Mesh) Set(from, to int, change func(l *Link)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.links[from][to])
}

// carry takes what one process sends to another, and sends it on from the address by which the other knows the one.
func (m *Mesh) carry(i, j int) {
	defer m.wg.Done()
	in, out, buf := m.socks[i][j], m.socks[j][i], make([]byte, 2048)
	to := net.UDPAddrFromAddrPort(m.own[j])
	for {
		n, err := in.Read(buf)
		if err != nil {
			if _, ok := err.(*net.OpError); ok && m.closed(in) {
				return
			}
			continue
		}
		m.mu.Lock()
		l, times := m.links[i][j], 1
		if m.rng.Float64() < l.Twice {
			times = 2
		}
		for range times {
			if l.Cut || m.rng.Float64() < l.Loss {
				continue
			}
			data := append([]byte(nil), buf[:n]...)
			if n > 0 && m.rng.Float64() < l.Garbage {
				data[m.rng.IntN(n)] ^= byte(1 + m.rng.IntN(255))
			}
			wait := l.Delay
			if l.Jitter > 0 {
				wait += time.Duration(m.rng.Int64N(int64(l.Jitter)))
			}
			if wait == 0 {
				out.WriteToUDP(data, to)
			} else {
				time.AfterFunc(wait, func() { out.WriteToUDP(data, to) })
			}
		}
		m.mu.Unlock()
	}
}

func (m *Mesh) closed(c *net.UDPConn) bool {
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
	_, err := m.socks[to][from].WriteToUDP(data, net.UDPAddrFromAddrPort(m.own[to]))
	return err
}

// Close ends it.
func (m *Mesh) Close() {
	for _, row := range m.socks {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
	m.wg.Wait()
}
