package netio

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// failingLoop returns a loop whose system call for writing fails with err the given number of times. After
// that it writes at most 3 bytes a call.
func failingLoop(err error, times int) *Loop {
	l := NewLoop()
	l.sendmsg = func(fd int, p []byte) (int, error) {
		if times > 0 {
			times--
			return -1, err
		}
		if len(p) > 3 {
			p = p[:3] // a short write
		}
		return sendmsg(fd, p)
	}
	return l
}

// If the kernel is short of buffers for a moment, the line is sent again instead of ending the connection.
func TestALineOutlivesAKernelShortOfBuffers(t *testing.T) {
	for _, err := range []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN} {
		_, addr, _ := serveOn(t, failingLoop(err, 3), func(c *Conn) { c.FinishWith([]byte("a line\r\n")) })
		c := dial(t, addr)
		c.Write([]byte("."))
		if got, readErr := io.ReadAll(c); string(got) != "a line\r\n" || readErr != nil {
			t.Errorf("write failing with %v: read %q and the error %v; want \"a line\\r\\n\" and no error", err, got, readErr)
		}
	}
}

// A host accepts and then resets its connection while the kernel accepts no bytes for the client. The
// reset of the client's connection must not overtake the acceptance, which is the client's answer.
func TestAResetComesBehindTheAnswer(t *testing.T) {
	_, addr, _ := serveOn(t, failingLoop(syscall.ENOBUFS, 3), func(c *Conn) {
		c.Write([]byte("UP x\r\n"))
		c.Abort()
	})
	c := dial(t, addr)
	c.Write([]byte("."))
	got, err := io.ReadAll(c)
	if string(got) != "UP x\r\n" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the client read %q and the error %v; want \"UP x\\r\\n\" and a reset", got, err)
	}
}

// The loop stops accepting while the poller, which has accepted a connection, waits for the loop. They
// must not deadlock.
func TestStoppingWhileAConnectionIsAccepted(t *testing.T) {
	l, n := attachedLoop(t), bindListener(t)
	if err := Serve(l, n, 1024, greet); err != nil {
		t.Fatal(err)
	}
	c := dial(t, n.Addr().String()) // the loop does not run yet, so the poller waits for it
	for l.idle() {
		time.Sleep(time.Millisecond)
	}
	done := make(chan struct{})
	go func() {
		n.Stop()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Stop has not returned within 10 s: the loop and the poller wait for each other")
	}
	start(t, l)
	if got, err := io.ReadAll(c); string(got) != "here\r\n" {
		t.Errorf("the client read %q and the error %v; want \"here\\r\\n\"", got, err)
	}
}

// idle reports whether no task is queued for the loop.
func (l *Loop) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0
}

// A write that fails permanently ends the connection, and the line counts as unsent.
func TestAWriteThatFailsIsReported(t *testing.T) {
	for _, err := range []error{syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		written := make(chan bool, 1)
		_, addr, ends := serveOn(t, failingLoop(err, 1), func(c *Conn) {
			c.Write([]byte("a line\r\n"))
			written <- !c.Blocked()
		})
		c := dial(t, addr)
		c.Write([]byte("."))
		if <-written {
			t.Errorf("write failing with %v: Blocked() = false, want true", err)
		}
		select {
		case e := <-ends:
			if e.Cause != Broken || e.Detail != err {
				t.Errorf("write failing with %v: Closed got %v, want cause %v with that detail", err, e, Broken)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("write failing with %v: Closed was not called within 10 s", err)
		}
	}
}

// netpoll closes an open connection if the kernel has no memory for watching or reading it. The connection
// must continue and keep the input received so far.
func TestAConnectionOutlivesACloseByNetpoll(t *testing.T) {
	for _, times := range []int{1, 3} {
		closes := 0
		_, addr, _ := serve(t, func(c *Conn) {
			if in := string(c.Input()); len(in) < 8 || in[len(in)-1] != '.' {
				return
			}
			if closes < times {
				closes++
				c.transport.Close() // as netpoll does for lack of memory
				return
			}
			c.FinishWith(append([]byte(nil), c.Input()...))
		})
		c := dial(t, addr)
		c.Write([]byte("half of "))
		c.Write([]byte("a line."))
		for range times {
			time.Sleep(10 * time.Millisecond)
			c.Write([]byte("."))
		}
		if got, err := io.ReadAll(c); err != nil || len(got) < len("half of a line.") || string(got[:15]) != "half of a line." {
			t.Errorf("closed by netpoll %d times: read %q and the error %v; want \"half of a line.\" at the start", times, got, err)
		}
	}
}

// An attempt to connect that fails because this machine is short of descriptors or ports is retried, since the host is
// not at fault. A refused connection is reported at once.
func TestAConnectOutlivesAMachineShortOfDescriptors(t *testing.T) {
	l, addr, _ := serve(t, func(*Conn) {})
	d := NewDialer(l, 1)
	dialNetpoll := d.dial
	for _, c := range []struct {
		err         error
		established bool
	}{{syscall.ENFILE, true}, {syscall.EADDRNOTAVAIL, true}, {syscall.ENOBUFS, true}, {syscall.ECONNREFUSED, false}, {syscall.EHOSTUNREACH, false}} {
		attempts := 0
		d.dial = func(network, addr string, timeout time.Duration) (netpoll.Connection, error) {
			if attempts++; attempts <= 3 {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", c.err)}
			}
			return dialNetpoll(network, addr, timeout)
		}
		established := make(chan bool)
		l.Post(func() {
			d.Dial(addr, 10*time.Second, 1024, discardingHandler{}, func(c *Conn, err *Error) { established <- err == nil })
		})
		if got := <-established; got != c.established || c.established && attempts != 4 || !c.established && attempts != 1 {
			t.Errorf("connect failing with %v: established %t after %d attempts, want %t after 4 attempts if it is retried, else 1", c.err, got, attempts, c.established)
		}
	}
}

// flakyListener is a listener whose Accept returns each of errs once before it accepts.
type flakyListener struct {
	netpoll.Listener
	errs []error
}

// Accept returns the next of errs, or accepts a connection if none is left.
func (f *flakyListener) Accept() (net.Conn, error) {
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return nil, err
	}
	return f.Listener.Accept()
}

// Accepting continues after any error of an Accept call, and without delay once there are descriptors again.
func TestAcceptingOutlivesItsErrors(t *testing.T) {
	l, n := runningLoop(t), bindListener(t)
	n.Listener = &flakyListener{Listener: n.Listener, errs: []error{syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EINTR, syscall.EPERM,
		syscall.ENFILE, syscall.EMFILE, syscall.ENFILE, syscall.EMFILE, syscall.ENFILE, syscall.EMFILE, syscall.ENFILE, syscall.EMFILE, syscall.ENFILE}}
	if err := Serve(l, n, 1024, greet); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		c := dial(t, n.Addr().String())
		if got, err := io.ReadAll(c); string(got) != "here\r\n" {
			t.Errorf("the client read %q and the error %v; want \"here\\r\\n\"", got, err)
		}
	}
}
