package fake

import (
	"bytes"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// BadServer is a server with a fault.
type BadServer struct {
	Fault        Fault
	Connections  atomic.Int64 // that came
	RequestBytes atomic.Int64 // bytes of requests that it could read, sealed or not

	listener net.Listener
	config   *tls.Config // nil where the fault needs none
	mu       sync.Mutex  // protects conns
	conns    map[net.Conn]bool
}

// NewBadServer serves on a loopback address.
func NewBadServer(f Fault, p *Pki) (*BadServer, error) {
	b := &BadServer{Fault: f, conns: map[net.Conn]bool{}}
	var err error
	if f.Config != nil {
		if b.config, err = f.Config(p); err != nil {
			return nil, err
		}
	}
	if b.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go b.accept()
	return b, nil
}

func (b *BadServer) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.Connections.Add(1)
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

// Addr is where it listens.
func (b *BadServer) Addr() string { return b.listener.Addr().String() }

// Close ends it.
func (b *BadServer) Close() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}

// serve plays the fault on one connection.
func (b *BadServer) serve(c net.Conn) {
	spy := &plaintextSpy{Conn: c, server: b}
	defer c.Close()
	if b.Fault.Raw != nil {
		if b.Fault.SoundHandshake {
			b.Fault.Raw(c, b.config)
			time.Sleep(200 * time.Millisecond)
			return
		}
		b.Fault.Raw(spy, b.config)
		return
	}
	t := tls.Server(spy, b.config)
	t.SetDeadline(time.Now().Add(2 * time.Second))
	// A handshake that comes to an end is followed by whatever the proxy says to a server it takes for sound.
	buf := make([]byte, 4096)
	for {
		n, err := t.Read(buf)
		b.RequestBytes.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// plaintextSpy looks for a request in plain text.
type plaintextSpy struct {
	net.Conn
	server *BadServer
}

// Read reads, and counts what holds a request.
func (l *plaintextSpy) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if bytes.Contains(p[:n], []byte("OPEN ")) {
		l.server.RequestBytes.Add(int64(n))
	}
	return n, err
}

// SetLinger lets Reset work through it.
func (l *plaintextSpy) SetLinger(s int) error { return l.Conn.(*net.TCPConn).SetLinger(s) }
