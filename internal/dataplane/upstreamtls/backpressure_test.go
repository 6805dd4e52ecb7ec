package upstreamtls

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
)

// floodingServer accepts one connection and sends data on it as fast as the connection accepts it.
type floodingServer struct {
	net.Listener
	data    []byte       // sent on the connection
	written atomic.Int64 // bytes of data written so far
}

// newFloodingServer starts a server that sends size random bytes.
func (e *env) newFloodingServer(size int) *floodingServer {
	e.t.Helper()
	config, _ := e.pki.Trusted.NewServerTLSConfig(hostName)
	l, err := tls.Listen("tcp", "127.0.0.1:0", config)
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { l.Close() })
	f := &floodingServer{Listener: l, data: make([]byte, size)}
	rand.New(rand.NewSource(1)).Read(f.data)
	go f.flood()
	return f
}

// flood sends the data in pieces of different sizes and closes the connection.
func (f *floodingServer) flood() {
	c, err := f.Accept()
	if err != nil {
		return
	}
	c.(*tls.Conn).NetConn().(*net.TCPConn).SetWriteBuffer(16 << 10) // otherwise the kernel buffers megabytes
	for p := f.data; len(p) > 0; {
		n := min(len(p), 1000+len(p)%20000)
		m, err := c.Write(p[:n])
		f.written.Add(int64(m))
		if err != nil {
			return
		}
		p = p[n:]
	}
	c.Close()
}

// waitUntilBlocked waits until no more bytes are written for 150 ms, and returns how many were written.
func (f *floodingServer) waitUntilBlocked() int64 {
	for last := int64(-1); ; time.Sleep(150 * time.Millisecond) {
		now := f.written.Load()
		if now == last {
			return now
		}
		last = now
	}
}

// TestBackPressureBehindTLS checks that data that the client does not read stays at the server, and is
// not buffered on this side, whether encrypted or decrypted.
func TestBackPressureBehindTLS(t *testing.T) {
	e := newEnv(t, nil)
	server := e.newFloodingServer(8 << 20)
	var got []byte
	reading := false
	maxBuffered := 0
	c := e.dialWith(server.Addr().String(), 5*time.Second, func(n *netio.Conn) {
		maxBuffered = max(maxBuffered, len(n.Input())+n.Layer().Buffered())
		if reading {
			k := min(3000, len(n.Input()))
			got = append(got, n.Input()[:k]...)
			n.Consume(k)
		}
	})
	if c.err != nil {
		t.Fatal(c.err)
	}
	if n := server.waitUntilBlocked(); n > 1<<20 {
		t.Errorf("%d bytes were accepted from a server whose lines nobody reads, want at most %d", n, 1<<20)
	}
	var step func()
	step = func() {
		if !c.netConn.Ended() {
			c.handle(c.netConn)
			e.loop.Post(step)
		}
	}
	e.loop.Post(func() { reading = true; step() })
	if err := c.ended(); err.Cause != netio.Ended {
		t.Errorf("connection ended by %v, want cause %v", err, netio.Ended)
	}
	e.onLoop(func() {
		sent := server.data
		if !bytes.Equal(got, sent[:len(got)]) || len(sent)-len(got) > 8192 {
			t.Errorf("received %d of %d bytes, equal to those sent: %t; want all but at most 8192, and equal", len(got), len(sent), bytes.Equal(got, sent[:len(got)]))
		}
		if maxBuffered > 4096+maxSealedBytes+8*kernelBuffer {
			t.Errorf("%d bytes were buffered, want at most %d", maxBuffered, 4096+maxSealedBytes+8*kernelBuffer)
		}
	})
}

// TestSlowServer checks that lines to a server that reads nothing wait in a bounded buffer, and arrive
// complete and in order once it reads.
func TestSlowServer(t *testing.T) {
	e := newEnv(t, nil)
	config, _ := e.pki.Trusted.NewServerTLSConfig(hostName)
	l, _ := tls.Listen("tcp", "127.0.0.1:0", config)
	defer l.Close()
	read := make(chan struct{})
	all := make(chan string, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		c.(*tls.Conn).Handshake()
		<-read
		text, _ := io.ReadAll(c)
		all <- string(text)
	}()
	c := e.dial(l.Addr().String(), 5*time.Second)
	var want strings.Builder
	blocked := false
	e.onLoop(func() {
		for i := 0; !blocked && i < 100000; i++ {
			line := fmt.Sprintf("%05d %s\r\n", i, strings.Repeat("x", 1000))
			if blocked = !c.netConn.Write([]byte(line)); !blocked {
				want.WriteString(line)
			}
		}
	})
	if !blocked || want.Len() > 8<<20 {
		t.Errorf("%d bytes were accepted for a server that reads nothing, blocked %t; want at most %d, then blocked", want.Len(), blocked, 8<<20)
	}
	close(read)
	e.onLoop(func() { c.netConn.Close() })
	if got := <-all; got != want.String() {
		t.Errorf("the server received %d bytes that differ from the %d bytes written", len(got), want.Len())
	}
}
