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

// hostName is the name in the certificates of the servers.
const hostName = "s1.test"

// env is a Dialer on a running loop, with the files of a public key infrastructure in a directory.
type env struct {
	t         *testing.T
	dir       string
	pki       *fake.PKI
	options   Options
	loop      *netio.Loop
	dialer    *Dialer
	clockSkew atomic.Int64 // how far the wall clock is ahead, in nanoseconds
}

// newEnv starts a Dialer with a trust bundle and the default options, which expects the name "{uid}.test".
// change, if not nil, is called before the start and may change the options.
func newEnv(t *testing.T, change func(e *env)) *env {
	t.Helper()
	pki, err := fake.NewPKI(hostName)
	if err != nil {
		t.Fatal(err)
	}
	e := &env{t: t, dir: t.TempDir(), pki: pki, options: Defaults(), loop: netio.NewLoop()}
	e.options.Enabled, e.options.Pattern = true, "{uid}.test"
	trust, err := fake.SaveTrustBundle(e.dir, pki.Trusted)
	if err != nil {
		t.Fatal(err)
	}
	e.options.Trust = []string{trust}
	if change != nil {
		change(e)
	}
	if err := netio.Attach(e.loop); err != nil {
		t.Fatal(err)
	}
	m, err := Load(e.options, 1)
	if err != nil {
		t.Fatal(err)
	}
	e.dialer = New(e.loop, m, func() time.Time { return time.Now().Add(time.Duration(e.clockSkew.Load())) })
	netiotest.Start(t, e.loop)
	return e
}

// writeFile writes a file into the directory and returns its path.
func (e *env) writeFile(file string, data []byte) string {
	e.t.Helper()
	path := filepath.Join(e.dir, file)
	if err := certs.ReplaceFile(path, data, 0o600); err != nil {
		e.t.Fatal(err)
	}
	return path
}

// onLoop runs f on the loop and waits for it.
func (e *env) onLoop(f func()) {
	done := make(chan struct{})
	e.loop.Post(func() { f(); close(done) })
	<-done
}

// conn is a connection opened by a test, and the handler of its events.
type conn struct {
	env     *env
	netConn *netio.Conn
	err     *netio.Error        // why the dial failed, or nil
	data    chan []byte         // input, if handle is nil
	closed  chan *netio.Error   // receives the error that ended the connection
	handle  func(c *netio.Conn) // reads the input; if nil, all of it is sent to data
}

// Data passes the input to handle or data.
func (c *conn) Data(n *netio.Conn) {
	if c.handle != nil {
		c.handle(n)
		return
	}
	c.data <- bytes.Clone(n.Input())
	n.Consume(len(n.Input()))
}

// Writable calls handle, if not nil.
func (c *conn) Writable(n *netio.Conn) {
	if c.handle != nil {
		c.handle(n)
	}
}

// Closed passes the error to closed.
func (c *conn) Closed(_ *netio.Conn, err *netio.Error) { c.closed <- err }

// dial opens a connection to addr as host s1 in zone a, and waits until the connection is established or has
// failed. timeout is that of Dialer.Dial.
func (e *env) dial(addr string, timeout time.Duration) *conn { return e.dialWith(addr, timeout, nil) }

// openRequest returns a connection to a fake server at addr that has accepted a request on it.
func (e *env) openRequest(addr string) *conn {
	e.t.Helper()
	c := e.dial(addr, 5*time.Second)
	if c.err != nil {
		e.t.Fatal(c.err)
	}
	c.write(openLine)
	c.read(upLine)
	return c
}

// dialWith is like dial, but lets handle read the input.
func (e *env) dialWith(addr string, timeout time.Duration, handle func(*netio.Conn)) *conn {
	c := &conn{env: e, data: make(chan []byte, 100), closed: make(chan *netio.Error, 1), handle: handle}
	done := make(chan struct{})
	e.loop.Post(func() {
		e.dialer.Dial(Host{"s1", "a", addr}, timeout, 4096, c, func(n *netio.Conn, err *netio.Error) {
			c.netConn, c.err = n, err
			close(done)
		})
	})
	<-done
	return c
}

// write sends text.
func (c *conn) write(text string) {
	c.env.onLoop(func() { c.netConn.Write([]byte(text)) })
}

// read waits until as many bytes as in want have arrived, and fails the test unless they equal want.
func (c *conn) read(want string) {
	c.env.t.Helper()
	got := ""
	for len(got) < len(want) {
		select {
		case d := <-c.data:
			got += string(d)
		case err := <-c.closed:
			// Data received before the end is already in its channel: select chooses any ready channel.
			select {
			case d := <-c.data:
				got += string(d)
				c.closed <- err
			default:
				c.env.t.Fatalf("connection closed by %v after %q, want %q", err, got, want)
			}
		case <-time.After(10 * time.Second):
			c.env.t.Fatalf("read %q within 10 s, want %q", got, want)
		}
	}
	if got != want {
		c.env.t.Fatalf("read %q, want %q", got, want)
	}
}

// ended waits for the end of the connection and returns its error.
func (c *conn) ended() *netio.Error {
	c.env.t.Helper()
	select {
	case err := <-c.closed:
		return err
	case <-time.After(20 * time.Second):
		c.env.t.Fatal("the connection did not end within 20 s")
		return nil
	}
}

// reason returns why the connection was not established. It returns "" if it was established, or if the
// error is not a Failure.
func (c *conn) reason() Reason {
	var f *Failure
	if c.err == nil || !errors.As(c.err, &f) {
		return ""
	}
	return f.Reason
}

// newServer starts a fake upstream host with the ID s1. If config is nil, it has a certificate for hostName.
func (e *env) newServer(config *tls.Config) *fake.Server {
	e.t.Helper()
	if config == nil {
		var err error
		if config, err = e.pki.Trusted.NewServerTLSConfig(hostName); err != nil {
			e.t.Fatal(err)
		}
	}
	s, err := fake.NewServer("s1", "a", config)
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(s.Close)
	return s
}

// upLine is a fake server's answer to openLine.
const upLine = "UP s1-9b1f03aa5c7e2d41\r\n"
