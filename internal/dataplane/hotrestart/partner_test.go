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

func (s *recordedEvents) TakeOver() *proxy.Snapshot         { s.events <- "take over"; return s.snapshot }
func (s *recordedEvents) TakenOver(k *proxy.Snapshot)       { s.events <- "taken over " + k.Discovery }
func (s *recordedEvents) HostSuspended(id string, out bool) { s.events <- "suspended " + id }
func (s *recordedEvents) ListChanged(k *proxy.Snapshot)     { s.events <- "list " + k.Discovery }
func (s *recordedEvents) DownstreamCount(n int)             { s.events <- "downstreams" }
func (s *recordedEvents) ConnectionReceived(k *proxy.HandedOverConnection) {
	s.events <- "connection " + k.Host
	k.Downstream.Discard([]byte("x"))
	k.Upstream.Discard(nil)
}
func (s *recordedEvents) Gone() { s.events <- "gone" }

// expect waits for the next event.
func (s *recordedEvents) expect(t *testing.T, w string) {
	t.Helper()
	select {
	case got := <-s.events:
		if got != w {
			t.Fatalf("notified of %q, want %q", got, w)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("not notified of %q", w)
	}
}

// queuedClientIsAccepted has a client wait in the queue of a listener that the old process then closes: it gets to the new one, which has the
// listener's descriptor.
func queuedClientIsAccepted(t *testing.T, descriptor int, old net.Listener, oldFile *os.File) {
	t.Helper()
	c, err := net.Dial("tcp", old.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	oldFile.Close()
	old.Close()
	file := os.NewFile(uintptr(descriptor), "")
	listener, err := net.FileListener(file)
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if got, err := listener.Accept(); err != nil || got.RemoteAddr().String() != c.LocalAddr().String() {
		t.Fatalf("accepted %v, %v; expected the client %v", got, err, c.LocalAddr())
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
		t.Fatalf("without a process that serves: %v %v %v", p, h, err)
	}
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, _ := first.(*net.TCPListener).File()
	old, fresh := &recordedEvents{events: make(chan string, 9), snapshot: sample()}, &recordedEvents{events: make(chan string, 9)}
	partners := make(chan *Partner, 1)
	busy := false
	endpoint, err := OfferHandover(l, dir, func(listen string) (*Handoff, error) {
		if busy || listen != "x:1" {
			return nil, errors.New("not now")
		}
		busy = true
		return &Handoff{Snapshot: sample(), ListenerFD: int(file.Fd()), DatagramFD: -1}, nil
	}, func(p *Partner) { p.Run(l, old); partners <- p })
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	if _, _, err := RequestHandover(dir, "y:1", 10); !errors.Is(err, ErrBusy) {
		t.Errorf("for another address: %v", err)
	}
	toOld, h, err := RequestHandover(dir, "x:1", 10)
	if err != nil || !reflect.DeepEqual(h.Snapshot, sample()) || h.DatagramFD >= 0 {
		t.Fatalf("%v %+v", err, h)
	}
	if _, _, err := RequestHandover(dir, "x:1", 10); !errors.Is(err, ErrBusy) {
		t.Errorf("a third process: %v", err)
	}
	toOld.Run(l, fresh)
	toFresh := <-partners
	toOld.SendTakeOver()
	old.expect(t, "take over")
	fresh.expect(t, "taken over 127.0.0.1:1")
	toFresh.SendHostSuspended("a", true)
	fresh.expect(t, "suspended a")
	toOld.SendHostSuspended("b", false)
	old.expect(t, "suspended b")
	toFresh.SendDownstreamCount(3)
	fresh.expect(t, "downstreams")
	toFresh.SendListChanged(sample())
	fresh.expect(t, "list 127.0.0.1:1")
	queuedClientIsAccepted(t, h.ListenerFD, first, file)
	toFresh.Close()
	fresh.expect(t, "gone")
	old.expect(t, "gone")
}
