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

// unheard takes what an attempt tells.
type unheard struct{}

func (unheard) MaySend() bool                     { return true }
func (unheard) UpstreamSent()                     {}
func (unheard) FromUpstream(m proxy.Message) bool { return true }
func (unheard) UpstreamReady()                    {}
func (unheard) UpstreamEnded(err *netio.Error)    {}

// An attempt whose line waited for a kernel short of buffers was given up, counted as one that has not run, and its line went out all the same.
func TestALineThatIsGivenUpDoesNotGoOut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l := netio.NewLoop()
	tried := make(chan bool, 64)
	short := true // of buffers, until the attempt has been given up; it is the loop's
	l.SetSend(func(fd int, p []byte) (int, error) {
		if short {
			tried <- true
			return -1, syscall.ENOBUFS
		}
		return syscall.Write(fd, p)
	})
	netiotest.Run(t, l)
	o, err := ParseOpen([]byte(opening))
	if err != nil {
		t.Fatal(err)
	}
	l.Post(func() {
		hosts := NewConnector(l, PlainTCP(netio.NewDialer(l, 1)), nil)
		u := hosts.Start(proxy.Target{Address: ln.Addr().String()}, o, l.Now()+int64(time.Minute), 10*time.Second, unheard{})
		go func() {
			<-tried
			l.Post(func() {
				if u.Stage() != netio.Sending {
					t.Errorf("the line counts as %v", u.Stage())
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
		t.Errorf("the host got %q", got)
	}
}
