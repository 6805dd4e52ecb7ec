package lineproto

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/netio/netiotest"
	"croftlock/internal/dataplane/proxy"
)

// noEvents ignores the events of an upstream request.
type noEvents struct{}

func (noEvents) MaySend() bool                     { return true }
func (noEvents) UpstreamSent()                     {}
func (noEvents) FromUpstream(m proxy.Message) bool { return true }
func (noEvents) UpstreamReady()                    {}
func (noEvents) UpstreamEnded(err *netio.Error)    {}

// An attempt ends while its request line is unsent because the kernel is short of buffers. The attempt counts
// as not run, so the line must not be sent afterwards.
func TestLineOfAnEndedAttemptIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l := netio.NewLoop()
	tried := make(chan bool, 64)
	short := true // the kernel is short of buffers, until the attempt has ended; used only on the loop
	l.SetSend(func(fd int, p []byte) (int, error) {
		if short {
			tried <- true
			return -1, syscall.ENOBUFS
		}
		return syscall.Write(fd, p)
	})
	netiotest.Run(t, l)
	o, err := ParseOpenLine([]byte(opening))
	if err != nil {
		t.Fatal(err)
	}
	l.Post(func() {
		hosts := NewConnector(l, PlainTCP(netio.NewDialer(l, 1)), nil)
		u := hosts.Start(proxy.Target{Address: ln.Addr().String()}, o, l.Now()+int64(time.Minute), 10*time.Second, noEvents{})
		go func() {
			<-tried
			l.Post(func() {
				if u.Stage() != netio.Sending {
					t.Errorf("Stage() = %v, want %v", u.Stage(), netio.Sending)
				}
				u.End(netio.Ended)
				short = false
			})
		}()
	})
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if got, _ := io.ReadAll(c); len(got) > 0 {
		t.Errorf("the host read %q, want nothing", got)
	}
}
