package hotrestart

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// recordedEvents notes what a partner notifies.
type recordedEvents struct {
	events   chan string
	snapshot *proxy.Snapshot
}

func (s *recordedEvents) TakeOver() *proxy.Snapshot         { s.events <- "take"; return s.snapshot }
func (s *recordedEvents) TakenOver(k *proxy.Snapshot)       { s.events <- "taken " + k.Discovery }
func (s *recordedEvents) HostSuspended(id string, out bool) { s.events <- "byhand " + id }
func (s *recordedEvents) ListChanged(k *proxy.Snapshot)     { s.events <- "listed " + k.Discovery }
func (s *recordedEvents) DownstreamCount(n int)             { s.events <- "downstreams" }
func (s *recordedEvents) ConnectionReceived(k *proxy.HandedOverConnection) {
	s.events <- "standing " + k.Host
	k.Downstream.Discard([]byte("x"))
	k.Upstream.Discard(nil)
}
func (s *recordedEvents) Gone() { s.events <- "gone" }
func (s *recordedEvents) expect(t *testing.T, w string) {
	t.Helper()
	select {
	case got := <-s.events:
		if got != w {
			t.Fatalf("told %q, want %q", got, w)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("not told %q", w)
	}
}

// From the old process to the new: a listener's queue that neither's end touches, the snapshot, messages both ways; a third process waits.
func TestHandoverBetweenProcesses(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("long/", 24)) // beyond what a socket's path may have
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	l := netio.NewLoop()
	go l.Run()
	t.Cleanup(l.Stop)
	if p, h, err := RequestHandover(dir, "x:1", 10); p != nil || h != nil || err != nil {
		t.Fatalf("with nobody there: %v %v %v", p, h, err)
	}
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, _ := first.(*net.TCPListener).File()
	old, young := &recordedEvents{events: make(chan string, 9), snapshot: sample()}, &recordedEvents{events: make(chan string, 9)}
	partners := make(chan *Partner, 1)
	busy := false
	door, err := Offer(l, dir, func(listen string) (*Handoff, error) {
		if busy || listen != "x:1" {
			return nil, errors.New("not now")
		}
		busy = true
		return &Handoff{Snapshot: sample(), Listener: int(file.Fd()), Datagram: -1}, nil
	}, func(p *Partner) { p.Run(l, old); partners <- p })
	if err != nil {
		t.Fatal(err)
	}
	defer door.Close()
	if _, _, err := RequestHandover(dir, "y:1", 10); !errors.Is(err, ErrBusy) {
		t.Errorf("for another address: %v", err)
	}
	p, h, err := RequestHandover(dir, "x:1", 10)
	if err != nil || !reflect.DeepEqual(h.Snapshot, sample()) || h.Datagram >= 0 {
		t.Fatalf("%v %+v", err, h)
	}
	if _, _, err := RequestHandover(dir, "x:1", 10); !errors.Is(err, ErrBusy) {
		t.Errorf("a third: %v", err)
	}
	p.Run(l, young)
	of := <-partners
	p.TakeOver()
	old.expect(t, "take")
	young.expect(t, "taken 127.0.0.1:1")
	of.HostSuspended("a", true)
	young.expect(t, "byhand a")
	p.HostSuspended("b", false)
	old.expect(t, "byhand b")
	of.SendDownstreamCount(3)
	young.expect(t, "downstreams")
	of.ListChanged(sample())
	young.expect(t, "listed 127.0.0.1:1")
	// A client that waits in the queue when the old process ends its listener gets to the new one.
	c, err := net.Dial("tcp", first.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	file.Close()
	first.Close()
	mine := os.NewFile(uintptr(h.Listener), "")
	second, err := net.FileListener(mine)
	mine.Close()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if got, err := second.Accept(); err != nil || got.RemoteAddr().String() != c.LocalAddr().String() {
		t.Fatalf("%v, %v", got, err)
	}
	of.Close()
	young.expect(t, "gone")
	old.expect(t, "gone")
}
