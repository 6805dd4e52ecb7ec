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

func (s *recordedEvents) TakeOver() *proxy.Snapshot               { s.events <- "take over"; return s.snapshot }
func (s *recordedEvents) TakenOver(last *proxy.Snapshot)          { s.events <- "taken over " + last.Discovery }
func (s *recordedEvents) HostSuspended(id string, suspended bool) { s.events <- "suspended " + id }
func (s *recordedEvents) ListChanged(list *proxy.Snapshot)        { s.events <- "list " + list.Discovery }
func (s *recordedEvents) DownstreamCount(n int)                   { s.events <- "downstreams" }
func (s *recordedEvents) ConnectionReceived(connection *proxy.HandedOverConnection) {
	s.events <- "connection " + connection.Host
	connection.Downstream.Discard([]byte("x"))
	connection.Upstream.Discard(nil)
}
func (s *recordedEvents) Gone() { s.events <- "gone" }

// expect waits for the next event.
func (s *recordedEvents) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-s.events:
		if got != want {
			t.Fatalf("notified of %q, want %q", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("not notified of %q", want)
	}
}

// checkQueuedClientIsAccepted has a client wait in the queue of a listener that the old process then closes: it gets to the new one, which has the
// listener's descriptor.
func checkQueuedClientIsAccepted(t *testing.T, descriptor int, old net.Listener, oldFile *os.File) {
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, _ := listener.(*net.TCPListener).File()
	oldEvents, newEvents := &recordedEvents{events: make(chan string, 9), snapshot: sampleSnapshot()}, &recordedEvents{events: make(chan string, 9)}
	partnersOfOld := make(chan *Partner, 1)
	hasPartner := false
	endpoint, err := OfferHandover(l, dir, func(listen string) (*Handoff, error) {
		if hasPartner || listen != "x:1" {
			return nil, errors.New("not now")
		}
		hasPartner = true
		return &Handoff{Snapshot: sampleSnapshot(), ListenerFD: int(file.Fd()), DatagramFD: -1}, nil
	}, func(p *Partner) { p.Run(l, oldEvents); partnersOfOld <- p })
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	if _, _, err := RequestHandover(dir, "y:1", 10); !errors.Is(err, ErrBusy) {
		t.Errorf("for another address: %v", err)
	}
	toOld, h, err := RequestHandover(dir, "x:1", 10)
	if err != nil || !reflect.DeepEqual(h.Snapshot, sampleSnapshot()) || h.DatagramFD >= 0 {
		t.Fatalf("%v %+v", err, h)
	}
	if _, _, err := RequestHandover(dir, "x:1", 10); !errors.Is(err, ErrBusy) {
		t.Errorf("a third process: %v", err)
	}
	toOld.Run(l, newEvents)
	toNew := <-partnersOfOld
	toOld.SendTakeOver()
	oldEvents.expect(t, "take over")
	newEvents.expect(t, "taken over 127.0.0.1:1")
	toNew.SendHostSuspended("a", true)
	newEvents.expect(t, "suspended a")
	toOld.SendHostSuspended("b", false)
	oldEvents.expect(t, "suspended b")
	toNew.SendDownstreamCount(3)
	newEvents.expect(t, "downstreams")
	toNew.SendListChanged(sampleSnapshot())
	newEvents.expect(t, "list 127.0.0.1:1")
	checkQueuedClientIsAccepted(t, h.ListenerFD, listener, file)
	toNew.Close()
	newEvents.expect(t, "gone")
	oldEvents.expect(t, "gone")
}
