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

// failingLoop is a loop whose system call gives an error so many times, and then goes on.
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

// A kernel that is short of buffers for a moment breaks no connection: the line is sent again.
func TestALineOutlivesAKernelShortOfBuffers(t *testing.T) {
	for _, err := range []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN} {
		_, addr, _ := serveOn(t, failingLoop(err, 3), func(c *Conn) { c.FinishWith([]byte("a line\r\n")) })
		c := dial(t, addr)
		c.Write([]byte("."))
		if got, err2 := io.ReadAll(c); string(got) != "a line\r\n" || err2 != nil {
			t.Errorf("%v: got %q, %v", err, got, err2)
		}
	}
}

// A host accepts and then resets its connection, while the kernel takes no bytes for the client: the reset that is passed on must not overtake
// the acceptance, which is the client's answer.
func TestAResetComesBehindTheAnswer(t *testing.T) {
	_, addr, _ := serveOn(t, failingLoop(syscall.ENOBUFS, 3), func(c *Conn) {
		c.Write([]byte("UP x\r\n"))
		c.Abort()
	})
	c := dial(t, addr)
	c.Write([]byte("."))
	got, err := io.ReadAll(c)
	if string(got) != "UP x\r\n" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %q, %v", got, err)
	}
}

// The loop stops accepting while the poller waits for it with a connection that it has accepted: neither may wait for the other for ever.
func TestStoppingWhileAConnectionIsAccepted(t *testing.T) {
	l, n := attachedLoop(t), bindListener(t)
	if err := Serve(l, n, 1024, greet); err != nil {
		t.Fatal(err)
	}
	c := dial(t, n.Addr().String()) // nothing runs the loop yet, so the poller waits for it
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
		t.Fatal("the loop waits for a poller that waits for it")
	}
	start(t, l)
	if got, err := io.ReadAll(c); string(got) != "here\r\n" {
		t.Errorf("got %q, %v", got, err)
	}
}

// idle reports whether nothing waits for the loop.
func (l *Loop) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0
}

// A write that fails for good ends its connection, and the line counts as not written.
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
			t.Errorf("%v: the line counts as written", err)
		}
		select {
		case e := <-ends:
			if e.Cause != Broken || e.Detail != err {
				t.Errorf("%v: the handler gets %v", err, e)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%v: the handler is not notified", err)
		}
	}
}

// netpoll gives up an open connection where the kernel has no memory for watching it, or for a read. The connection goes on, with what had come in.
func TestAConnectionOutlivesNetpollGivingItUp(t *testing.T) {
	for _, times := range []int{1, 3} {
		givenUp := 0
		_, addr, _ := serve(t, func(c *Conn) {
			if in := string(c.Input()); len(in) < 8 || in[len(in)-1] != '.' {
				return
			}
			if givenUp < times {
				givenUp++
				c.transport.Close() // as netpoll does by itself
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
			t.Errorf("given up %d times: got %q, %v", times, got, err)
		}
	}
}

// A machine without descriptors or ports for a moment is no fault of a host: the connect is retried. A refused connection is reported at once.
func TestAConnectOutlivesAMachineShortOfDescriptors(t *testing.T) {
	l, addr, _ := serve(t, func(*Conn) {})
	d := NewDialer(l, 1)
	real := d.dial
	for _, c := range []struct {
		err         error
		established bool
	}{{syscall.ENFILE, true}, {syscall.EADDRNOTAVAIL, true}, {syscall.ENOBUFS, true}, {syscall.ECONNREFUSED, false}, {syscall.EHOSTUNREACH, false}} {
		attempts := 0
		d.dial = func(network, addr string, timeout time.Duration) (netpoll.Connection, error) {
			if attempts++; attempts <= 3 {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", c.err)}
			}
			return real(network, addr, timeout)
		}
		established := make(chan bool)
		l.Post(func() {
			d.Dial(addr, 10*time.Second, 1024, discardingHandler{}, func(c *Conn, err *Error) { established <- err == nil })
		})
		if got := <-established; got != c.established || c.established && attempts != 4 || !c.established && attempts != 1 {
			t.Errorf("%v: established %t after %d attempts", c.err, got, attempts)
		}
	}
}

// flakyListener is a listener whose accept fails in one way after the other.
type flakyListener struct {
	netpoll.Listener
	errs []error
}

func (f *flakyListener) Accept() (net.Conn, error) {
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return nil, err
	}
	return f.Listener.Accept()
}

// Accepting goes on whatever one accept says, and at once where there is a descriptor again.
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
			t.Errorf("got %q, %v", got, err)
		}
	}
}
