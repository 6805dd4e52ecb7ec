package fake

import (
	"bytes"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"
)

// BadServer is an upstream host that injects one TLS fault into every connection.
type BadServer struct {
	tcpServer
	Fault        Fault
	Connections  atomic.Int64 // accepted so far
	RequestBytes atomic.Int64 // request bytes read so far, sent encrypted or in plain text

	config *tls.Config // nil if the fault needs none
}

// NewBadServer returns a server that listens on a loopback address and injects f.
func NewBadServer(f Fault, p *PKI) (*BadServer, error) {
	b := &BadServer{Fault: f}
	if f.Config != nil {
		var err error
		if b.config, err = f.Config(p); err != nil {
			return nil, err
		}
	}
	return b, b.listen(b.serve)
}

// serve injects the fault into one connection.
func (b *BadServer) serve(c net.Conn) {
	b.Connections.Add(1)
	b.trackConn(c, false)
	defer b.closeConn(c)
	counting := &countingConn{Conn: c, server: b}
	if b.Fault.Serve != nil {
		if b.Fault.CompletesHandshake {
			b.Fault.Serve(c, b.config)
			time.Sleep(200 * time.Millisecond)
			return
		}
		b.Fault.Serve(counting, b.config)
		return
	}
	t := tls.Server(counting, b.config)
	t.SetDeadline(time.Now().Add(2 * time.Second))
	// A proxy that completes the handshake in spite of the fault sends its request.
	buf := make([]byte, 4096)
	for {
		n, err := t.Read(buf)
		b.RequestBytes.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// countingConn adds what it reads to the server's RequestBytes if it contains a request in plain
// text.
type countingConn struct {
	net.Conn
	server *BadServer
}

// Read reads from the connection and counts the bytes if they contain a request line.
func (p *countingConn) Read(buf []byte) (int, error) {
	n, err := p.Conn.Read(buf)
	if bytes.Contains(buf[:n], []byte("OPEN ")) {
		p.server.RequestBytes.Add(int64(n))
	}
	return n, err
}

// SetLinger lets Reset reset the connection, which it does only if this method exists.
func (p *countingConn) SetLinger(seconds int) error { return p.Conn.(*net.TCPConn).SetLinger(seconds) }
