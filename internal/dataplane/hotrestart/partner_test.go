package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// recordedEvents implements Events. It sends a text for each call to the channel events.
type recordedEvents struct {
	events   chan string
	snapshot *proxy.Snapshot // returned by TakeOver
}

func (s *recordedEvents) TakeOver() *proxy.Snapshot               { s.events <- "take over"; return s.snapshot }
func (s *recordedEvents) TakenOver(last *proxy.Snapshot)          { s.events <- "taken over " + last.Discovery }
func (s *recordedEvents) HostSuspended(id string, suspended bool) { s.events <- "suspended " + id }
func (s *recordedEvents) ListChanged(list *proxy.Snapshot)        { s.events <- "list " + list.Discovery }
func (s *recordedEvents) DownstreamCount(n int, accounts map[string]int) {
	s.events <- fmt.Sprint("downstreams ", n, accounts)
}
func (s *recordedEvents) ConnectionReceived(connection *proxy.HandedOverConnection) {
	s.events <- "connection " + connection.Host
	connection.Downstream.Discard([]byte("x"))
	connection.Upstream.Discard(nil)
}
func (s *recordedEvents) IDQuestion(id string, answer func(proxy.IDStatus)) {
	s.events <- "question " + id
	status := proxy.IDStatus{InUse: id == "used"}
	if id == "ran" {
		status.Run = &balancer.EarlierRun{HostID: "h", At: 7}
	}
	answer(status)
}
func (s *recordedEvents) IDAnswer(id string, status proxy.IDStatus) {
	ran := ""
	if status.Run != nil {
		ran = fmt.Sprintf(" ran at %s, %d", status.Run.HostID, status.Run.At)
	}
	s.events <- fmt.Sprintf("answer %s %t%s", id, status.InUse, ran)
}
func (s *recordedEvents) Gone() { s.events <- "gone" }

// expect waits up to 10 s for the next event and fails the test unless it is want.
func (s *recordedEvents) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-s.events:
		if got != want {
			t.Fatalf("got event %q, want %q", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("no event within 10 s, want %q", want)
	}
}

// checkQueuedClientIsAccepted queues a client at a listener before the old process closes its
// descriptors, and checks that the new process accepts the client from its own descriptor.
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
		t.Fatalf("Accept = %v, %v, want the queued client %v", got, err, c.LocalAddr())
	}
}

// TestHandoverBetweenProcesses hands over a listener, whose queued clients must survive the old process,
// and a snapshot, and sends messages both ways. Meanwhile a third process must be rejected.
func TestHandoverBetweenProcesses(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("long/", 24)) // longer than the limit on socket paths
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	l := netio.NewLoop()
	go l.Run()
	t.Cleanup(l.Stop)
	if p, h, err := RequestHandover(dir, "x:1", 10); p != nil || h != nil || err != nil {
		t.Fatalf("RequestHandover without a process that serves = %v, %v, %v, want nil, nil, nil", p, h, err)
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
		t.Errorf("RequestHandover for another address: error %v, want ErrBusy", err)
	}
	toOld, h, err := RequestHandover(dir, "x:1", 10)
	if err != nil || !reflect.DeepEqual(h.Snapshot, sampleSnapshot()) || h.DatagramFD >= 0 {
		t.Fatalf("RequestHandover = %+v, %v, want the sample snapshot and no datagram socket", h, err)
	}
	if _, _, err := RequestHandover(dir, "x:1", 10); !errors.Is(err, ErrBusy) {
		t.Errorf("RequestHandover by a third process: error %v, want ErrBusy", err)
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
	toNew.SendDownstreamCount(3, map[string]int{"a": 2})
	newEvents.expect(t, "downstreams 3 map[a:2]")
	toNew.SendListChanged(sampleSnapshot())
	newEvents.expect(t, "list 127.0.0.1:1")
	if !toOld.AnswersIDQuestions() || !toNew.AnswersIDQuestions() {
		t.Error("a process of this build is said not to answer questions about IDs")
	}
	toOld.SendIDQuestion("used")
	oldEvents.expect(t, "question used")
	newEvents.expect(t, "answer used true")
	toNew.SendIDQuestion("free")
	newEvents.expect(t, "question free")
	oldEvents.expect(t, "answer free false")
	toOld.SendIDQuestion("ran")
	oldEvents.expect(t, "question ran")
	newEvents.expect(t, "answer ran false ran at h, 7")
	checkQueuedClientIsAccepted(t, h.ListenerFD, listener, file)
	toNew.Close()
	newEvents.expect(t, "gone")
	oldEvents.expect(t, "gone")
}
