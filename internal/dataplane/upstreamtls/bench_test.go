package upstreamtls

import (
	"bytes"
	"crypto/tls"
	"errors"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/netio/netiotest"
	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/fake"
)

const name = "s1.test"

// bench is a link on a running loop, with the files of a public key infrastructure in a folder.
type bench struct {
	t    *testing.T
	dir  string
	pki  *fake.PKI
	opt  Options
	loop *netio.Loop
	link *Dialer
	skew atomic.Int64 // what the wall clock is ahead by
}

// newBench starts a link; change alters its options before that.
func newBench(t *testing.T, change func(b *bench)) *bench {
	t.Helper()
	pki, err := fake.NewPKI(name)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, dir: t.TempDir(), pki: pki, opt: Defaults(), loop: netio.NewLoop()}
	b.opt.Enabled, b.opt.Pattern = true, "{uid}.test"
	trust, err := fake.SaveTrust(b.dir, pki.Trusted)
	if err != nil {
		t.Fatal(err)
	}
	b.opt.Trust = []string{trust}
	if change != nil {
		change(b)
	}
	if err := netio.Attach(b.loop); err != nil {
		t.Fatal(err)
	}
	m, err := Load(b.opt, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.link = New(b.loop, m, func() time.Time { return time.Now().Add(time.Duration(b.skew.Load())) })
	netiotest.Start(t, b.loop)
	return b
}

// file writes a file into the folder.
func (b *bench) file(file string, data []byte) string {
	b.t.Helper()
	path := filepath.Join(b.dir, file)
	if err := certs.ReplaceFile(path, data, 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// on runs f on the loop and waits for it.
func (b *bench) on(f func()) {
	done := make(chan struct{})
	b.loop.Post(func() { f(); close(done) })
	<-done
}

// conn is a connection as a test sees it.
type conn struct {
	b      *bench
	c      *netio.Conn
	err    *netio.Error
	data   chan []byte
	closed chan *netio.Error
	handle func(c *netio.Conn) // reads what has come; nil: all of it goes to data
}

func (c *conn) Data(n *netio.Conn) {
	if c.handle != nil {
		c.handle(n)
		return
	}
	c.data <- bytes.Clone(n.Input())
	n.Consume(len(n.Input()))
}

func (c *conn) Writable(n *netio.Conn) {
	if c.handle != nil {
		c.handle(n)
	}
}

func (c *conn) Closed(_ *netio.Conn, err *netio.Error) { c.closed <- err }

// dial opens a connection and waits for what becomes of it.
func (b *bench) dial(addr string, within time.Duration) *conn { return b.dialWith(addr, within, nil) }

// open opens a connection on which the server has accepted a request.
func (b *bench) open(addr string) *conn {
	b.t.Helper()
	c := b.dial(addr, 5*time.Second)
	if c.err != nil {
		b.t.Fatal(c.err)
	}
	c.write(open)
	c.read(up)
	return c
}

// dialWith is dial for a connection whose input handle reads.
func (b *bench) dialWith(addr string, within time.Duration, handle func(*netio.Conn)) *conn {
	c := &conn{b: b, data: make(chan []byte, 100), closed: make(chan *netio.Error, 1), handle: handle}
	done := make(chan struct{})
	b.loop.Post(func() {
		b.link.Dial(Host{"s1", "a", addr}, within, 4096, c, func(n *netio.Conn, err *netio.Error) {
			c.c, c.err = n, err
			close(done)
		})
	})
	<-done
	return c
}

// write sends text.
func (c *conn) write(text string) {
	c.b.on(func() { c.c.Write([]byte(text)) })
}

// read waits for exactly that text.
func (c *conn) read(want string) {
	c.b.t.Helper()
	got := ""
	for len(got) < len(want) {
		select {
		case d := <-c.data:
			got += string(d)
		case err := <-c.closed:
			// What came before the end waits by now: select takes either of two channels that are ready.
			select {
			case d := <-c.data:
				got += string(d)
				c.closed <- err
			default:
				c.b.t.Fatalf("closed after %q: %v", got, err)
			}
		case <-time.After(10 * time.Second):
			c.b.t.Fatalf("got %q, want %q", got, want)
		}
	}
	if got != want {
		c.b.t.Fatalf("got %q, want %q", got, want)
	}
}

// ended waits for the end of the connection.
func (c *conn) ended() *netio.Error {
	c.b.t.Helper()
	select {
	case err := <-c.closed:
		return err
	case <-time.After(20 * time.Second):
		c.b.t.Fatal("the connection does not end")
		return nil
	}
}

// reason is why there is no connection; "": there is one, or it failed for another cause than TLS.
func (c *conn) reason() Reason {
	var f *Failure
	if c.err == nil || !errors.As(c.err, &f) {
		return ""
	}
	return f.Reason
}

// server is a catalogue server with a certificate for its name.
func (b *bench) server(config *tls.Config) *fake.Server {
	b.t.Helper()
	if config == nil {
		var err error
		if config, err = b.pki.Trusted.NewServerTLSConfig(name); err != nil {
			b.t.Fatal(err)
		}
	}
	s, err := fake.NewServer("s1", "a", config)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(s.Close)
	return s
}

const up = "UP s1-9b1f03aa5c7e2d41\r\n"
