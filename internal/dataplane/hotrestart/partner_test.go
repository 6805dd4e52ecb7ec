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

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/operations/maintenance"
)

func sample() *proxy.Snapshot {
	return &proxy.Snapshot{Discovery: "127.0.0.1:1", Revision: 7, Suspended: []maintenance.Suspension{{ID: "b", Since: 5}}, KnownHosts: []string{"a", "b"},
		Hosts:    []proxy.HostEntry{{Address: "127.0.0.1:2", ListedHost: balancer.ListedHost{ID: "a", Zone: "z", Weight: 1.5, StartedAt: 3}}},
		Balancer: balancer.Snapshot{Started: 1, MeanCost: 2, Servers: []balancer.HostSnapshot{{ID: "a", Fails: 1, Until: 9}}}}
}

// What is written comes back; whatever is torn, foreign, of another version or beyond bounds is told and never taken.
func TestStateFile(t *testing.T) {
	dir, now := t.TempDir(), int64(10)
	if k, err := Read(dir, now); k != nil || err != nil {
		t.Fatalf("nothing kept gave %v, %v", k, err)
	}
	if _, err := writeState(dir, sample()); err != nil {
		t.Fatal(err)
	}
	if k, err := Read(dir, now); err != nil || !reflect.DeepEqual(k, sample()) {
		t.Fatalf("got %+v, %v", k, err)
	}
	whole, _ := os.ReadFile(filepath.Join(dir, stateFile))
	text := string(whole)
	with := func(change func(k *proxy.Snapshot)) string {
		k := sample()
		change(k)
		data, _ := encodeState(k)
		return string(data)
	}
	for name, data := range map[string]string{
		"empty": "", "torn": text[:len(text)-1], "no head": text[strings.Index(text, "\n"):], "longer": text + "x",
		"a bit": strings.Replace(text, `"Rev":7`, `"Rev":6`, 1), "another version": strings.Replace(text, "state 1", "state 2", 1),
		"foreign": "[]\n{}", "huge": strings.Repeat("x", maxStateSize+1),
		"an id too long": with(func(k *proxy.Snapshot) { k.KnownHosts[0] = strings.Repeat("x", 300) }),
		"no such state":  with(func(k *proxy.Snapshot) { k.Hosts[0].State = 9 }),
		"too many":       with(func(k *proxy.Snapshot) { k.Suspended = make([]maintenance.Suspension, 5000) }),
	} {
		os.WriteFile(filepath.Join(dir, stateFile), []byte(data), 0o600)
		if k, err := Read(dir, now); err == nil || k != nil && k.Check(now) == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// FuzzState: no bytes make reading panic.
func FuzzState(f *testing.F) {
	data, _ := encodeState(sample())
	f.Add(data)
	f.Add([]byte(stateMagic + " 2 0\n{}"))
	f.Fuzz(func(t *testing.T, in []byte) { decodeState(in, 10) })
}

// side notes what a partner tells.
type side struct {
	told chan string
	kept *proxy.Snapshot
}

func (s *side) TakeOver() *proxy.Snapshot         { s.told <- "take"; return s.kept }
func (s *side) TakenOver(k *proxy.Snapshot)       { s.told <- "taken " + k.Discovery }
func (s *side) HostSuspended(id string, out bool) { s.told <- "byhand " + id }
func (s *side) ListChanged(k *proxy.Snapshot)     { s.told <- "listed " + k.Discovery }
func (s *side) Sessions(n int)                    { s.told <- "sessions" }
func (s *side) ConnectionReceived(k *proxy.HandedOverConnection) {
	s.told <- "standing " + k.Host
	k.Downstream.Discard([]byte("x"))
	k.Upstream.Discard(nil)
}
func (s *side) Gone() { s.told <- "gone" }
func (s *side) expect(t *testing.T, w string) {
	t.Helper()
	select {
	case got := <-s.told:
		if got != w {
			t.Fatalf("told %q, want %q", got, w)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("not told %q", w)
	}
}

// From the old process to the new: one queue that neither's end touches, what is known, words both ways; a third waits.
func TestOneProcessAfterTheOther(t *testing.T) {
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
	old, young := &side{told: make(chan string, 9), kept: sample()}, &side{told: make(chan string, 9)}
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
	of.Sessions(3)
	young.expect(t, "sessions")
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

// A yes waits until its word is on disk, and a folder that can't be written to holds nobody up.
func TestStore(t *testing.T) {
	l := netio.NewLoop()
	go l.Run()
	t.Cleanup(l.Stop)
	for _, dir := range []string{t.TempDir(), "/nowhere/at/all"} {
		done := make(chan bool)
		NewStore(l, dir).Save(sample(), func() { close(done) })
		<-done
		k, err := Read(dir, 10)
		if dir[:4] == "/now" && k != nil || dir[:4] != "/now" && (err != nil || k.Revision != 7) {
			t.Errorf("%s: %+v, %v", dir, k, err)
		}
	}
}
