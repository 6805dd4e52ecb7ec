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

// floodingServer sends data to the one connection that it accepts, as fast as that takes it.
type floodingServer struct {
	net.Listener
	sent    []byte
	written atomic.Int64
}

func (e *env) newFloodingServer(size int) *floodingServer {
	e.t.Helper()
	config, _ := e.pki.Trusted.NewServerTLSConfig(hostName)
	l, err := tls.Listen("tcp", "127.0.0.1:0", config)
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { l.Close() })
	f := &floodingServer{Listener: l, sent: make([]byte, size)}
	rand.New(rand.NewSource(1)).Read(f.sent)
	go f.flood()
	return f
}

func (f *floodingServer) flood() {
	c, err := f.Accept()
	if err != nil {
		return
	}
	c.(*tls.Conn).NetConn().(*net.TCPConn).SetWriteBuffer(16 << 10) // else the kernel takes megabytes by itself
	for p := f.sent; len(p) > 0; {
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

// waitUntilBlocked is how much is written once that grows no more.
func (f *floodingServer) waitUntilBlocked() int64 {
	for last := int64(-1); ; time.Sleep(150 * time.Millisecond) {
		now := f.written.Load()
		if now == last {
			return now
		}
		last = now
	}
}

// More lines than the client takes wait at the server, not in this side's memory, sealed or opened.
func TestBackPressureBehindTLS(t *testing.T) {
	e := newEnv(t, nil)
	server := e.newFloodingServer(8 << 20)
	var got []byte
	reading := false
	most := 0
	c := e.dialWith(server.Addr().String(), 5*time.Second, func(n *netio.Conn) {
		most = max(most, len(n.Input())+n.Layer().Buffered())
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
		t.Errorf("%d bytes were accepted from a server whose lines nobody reads", n)
	}
	var step func()
	step = func() {
		if !c.c.Ended() {
			c.handle(c.c)
			e.loop.Post(step)
		}
	}
	e.loop.Post(func() { reading = true; step() })
	if err := c.ended(); err.Cause != netio.Ended {
		t.Errorf("ended by %v", err)
	}
	e.onLoop(func() {
		sent := server.sent
		if !bytes.Equal(got, sent[:len(got)]) || len(sent)-len(got) > 8192 {
			t.Errorf("%d of %d bytes came, equal as far: %t", len(got), len(sent), bytes.Equal(got, sent[:len(got)]))
		}
		if most > 4096+maxSealedBytes+8*kernelBuffer {
			t.Errorf("%d bytes were buffered", most)
		}
	})
}

// Lines to a server that reads nothing wait in a bounded buffer, and come complete and in order once it reads.
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
			if blocked = !c.c.Write([]byte(line)); !blocked {
				want.WriteString(line)
			}
		}
	})
	if !blocked || want.Len() > 8<<20 {
		t.Errorf("%d bytes went to a server that reads nothing", want.Len())
	}
	close(read)
	e.onLoop(func() { c.c.Close() })
	if got := <-all; got != want.String() {
		t.Errorf("%d of %d bytes came", len(got), want.Len())
	}
}
