package fake

import (
	"bytes"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"
)

// BadServer is an upstream host with a fault in its TLS.
type BadServer struct {
	tcpServer
	Fault        Fault
	Connections  atomic.Int64 // connections that were accepted
	RequestBytes atomic.Int64 // bytes of requests that it could read, encrypted or not

	config *tls.Config // nil where the fault needs none
}

// NewBadServer serves on a loopback address.
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

// serve plays the fault on one connection.
func (b *BadServer) serve(c net.Conn) {
	b.Connections.Add(1)
	b.trackConn(c, false)
	defer b.closeConn(c)
	spy := &countingConn{Conn: c, server: b}
	if b.Fault.Serve != nil {
		if b.Fault.CompletesHandshake {
			b.Fault.Serve(c, b.config)
			time.Sleep(200 * time.Millisecond)
			return
		}
		b.Fault.Serve(spy, b.config)
		return
	}
	t := tls.Server(spy, b.config)
	t.SetDeadline(time.Now().Add(2 * time.Second))
	// If the proxy completes the handshake, its request follows.
	buf := make([]byte, 4096)
	for {
		n, err := t.Read(buf)
		b.RequestBytes.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// countingConn counts requests that are sent in plain text.
type countingConn struct {
	net.Conn
	server *BadServer
}

// Read reads, and counts bytes that hold a request.
func (p *countingConn) Read(buf []byte) (int, error) {
	n, err := p.Conn.Read(buf)
	if bytes.Contains(buf[:n], []byte("OPEN ")) {
		p.server.RequestBytes.Add(int64(n))
	}
	return n, err
}

// SetLinger has Reset work on it.
func (p *countingConn) SetLinger(seconds int) error { return p.Conn.(*net.TCPConn).SetLinger(seconds) }
