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

// sampleSnapshot returns a valid snapshot with suspensions, hosts and balancer state.
func sampleSnapshot() *proxy.Snapshot {
	return &proxy.Snapshot{Discovery: "127.0.0.1:1", Revision: 7, Suspended: []maintenance.Suspension{{ID: "b", Since: 5}}, KnownHosts: []string{"a", "b"},
		Hosts:    []proxy.HostEntry{{Address: "127.0.0.1:2", ListedHost: balancer.ListedHost{ID: "a", Zone: "z", Weight: 1.5, StartedAt: 3}}},
		Balancer: balancer.Snapshot{Started: 1, MeanCost: 2, Servers: []balancer.HostSnapshot{{ID: "a", Fails: 1, Until: 9}}}}
}

// TestStateFile checks that a written state is read back, and that a file that is incomplete, of another
// format or version, or beyond the bounds is rejected.
func TestStateFile(t *testing.T) {
	dir, now := t.TempDir(), int64(10)
	if snapshot, err := ReadState(dir, now); snapshot != nil || err != nil {
		t.Fatalf("ReadState of an empty directory = %v, %v, want nil, nil", snapshot, err)
	}
	if _, err := writeState(dir, sampleSnapshot()); err != nil {
		t.Fatal(err)
	}
	if snapshot, err := ReadState(dir, now); err != nil || !reflect.DeepEqual(snapshot, sampleSnapshot()) {
		t.Fatalf("ReadState = %+v, %v, want %+v", snapshot, err, sampleSnapshot())
	}
	complete, _ := os.ReadFile(filepath.Join(dir, stateFile))
	text := string(complete)
	// encodeChanged returns the content of a state file for the sample snapshot as changed by change.
	encodeChanged := func(change func(s *proxy.Snapshot)) string {
		snapshot := sampleSnapshot()
		change(snapshot)
		data, _ := encodeState(snapshot)
		return string(data)
	}
	for name, data := range map[string]string{
		"empty": "", "last byte missing": text[:len(text)-1], "no header": text[strings.Index(text, "\n"):], "one byte too long": text + "x",
		"one digit changed": strings.Replace(text, `"Rev":7`, `"Rev":6`, 1), "another version": strings.Replace(text, "state 1", "state 2", 1),
		"another format": "[]\n{}", "too large": strings.Repeat("x", maxStateSize+1),
		"host ID too long":     encodeChanged(func(s *proxy.Snapshot) { s.KnownHosts[0] = strings.Repeat("x", 300) }),
		"unknown host state":   encodeChanged(func(s *proxy.Snapshot) { s.Hosts[0].State = 9 }),
		"too many suspensions": encodeChanged(func(s *proxy.Snapshot) { s.Suspended = make([]maintenance.Suspension, 5000) }),
	} {
		os.WriteFile(filepath.Join(dir, stateFile), []byte(data), 0o600)
		if snapshot, err := ReadState(dir, now); err == nil || snapshot != nil && snapshot.Check(now) == nil {
			t.Errorf("state file %q: ReadState = %+v, %v, want an error", name, snapshot, err)
		}
	}
}

// FuzzState checks that decodeState does not panic on any input.
func FuzzState(f *testing.F) {
	data, _ := encodeState(sampleSnapshot())
	f.Add(data)
	f.Add([]byte(stateMagic + " 2 0\n{}"))
	f.Fuzz(func(t *testing.T, in []byte) { decodeState(in, 10) })
}

// TestFailedWriteIsRetried checks that a failed write is retried: the call that caused it has already
// been answered, so no caller tries again. A missing directory simulates a full disk. NewStore must also
// remove the incomplete file of a process that was killed.
func TestFailedWriteIsRetried(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	l := netio.NewLoop()
	go l.Run()
	t.Cleanup(l.Stop)
	s := NewStore(l, dir) // the directory does not exist yet, so every write fails
	tried := make(chan bool, 2)
	s.Save(sampleSnapshot(), func() { tried <- true })
	<-tried
	newer := sampleSnapshot()
	newer.Revision = 8
	s.Save(newer, func() { tried <- true })
	<-tried
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		snapshot, err := ReadState(dir, 1e18)
		if err == nil && snapshot != nil && snapshot.Revision == 8 && len(snapshot.Suspended) == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("ReadState after 20 s = %+v, %v, want revision 8 with one suspension", snapshot, err)
		}
	}
	incompletePath := filepath.Join(dir, "."+stateFile+".123")
	if err := os.WriteFile(incompletePath, []byte("croftlock-st"), 0o600); err != nil {
		t.Fatal(err)
	}
	NewStore(l, dir)
	if _, err := os.Stat(incompletePath); !os.IsNotExist(err) {
		t.Errorf("Stat(%q) after NewStore: error %v, want %v, because NewStore removes incomplete files", incompletePath, err, os.ErrNotExist)
	}
}

// TestStateOfAnotherClock checks that times in the state are converted to the new process's clock if the
// system's clock was set between the two processes.
func TestStateOfAnotherClock(t *testing.T) {
	const hour = int64(time.Hour)
	now := int64(1e18)
	for name, step := range map[string]int64{"back": -hour, "forward": hour, "a little": int64(20 * time.Millisecond)} {
		state := sampleSnapshot()
		state.WrittenAt = now - step // the writer's time at the moment that is now for the reader
		state.Suspended[0].Since = state.WrittenAt - 5e9
		state.Balancer.Servers[0].FailedAt, state.Balancer.Servers[0].Until = state.WrittenAt-1e9, state.WrittenAt+2e9
		data, err := encodeState(state)
		if err != nil {
			t.Fatal(err)
		}
		file, err := decodeState(data, now)
		if err != nil || len(file.Suspended) != 1 || file.Suspended[0].Since > now || file.Balancer.Servers[0].FailedAt > now {
			t.Errorf("clock set %s: decodeState = %+v, %v, want one suspension and no time in the future", name, file, err)
		}
		state.Rebase(now, true)
		if since, until := now-state.Suspended[0].Since, state.Balancer.Servers[0].Until-now; since < 4e9 || since > 6e9 || until < 1e9 || until > 3e9 {
			t.Errorf("clock set %s: suspended for %v and ejected for %v more, want about 5 s and 2 s", name, time.Duration(since), time.Duration(until))
		}
	}
	old := &proxy.Snapshot{Suspended: sampleSnapshot().Suspended} // of a version without WrittenAt
	old.Suspended[0].Since = now + hour
	if old.Rebase(now, false); old.Check(now) != nil || old.Suspended[0].Since != now {
		t.Errorf("Rebase of a state without WrittenAt = %+v, want it valid and suspended since %d", old, now)
	}
}

// TestSpareFile checks that the spare file stores the state if the state file cannot be replaced, that
// the later of the two files is read, and that an incomplete spare file is ignored.
func TestSpareFile(t *testing.T) {
	dir := t.TempDir()
	first, second := sampleSnapshot(), sampleSnapshot()
	first.WrittenAt, second.WrittenAt, second.Revision = 5, 6, 8
	if _, err := writeState(dir, first); err != nil {
		t.Fatal(err)
	}
	expectRevision := func(want int64) {
		t.Helper()
		if snapshot, err := ReadState(dir, 10); err != nil || snapshot == nil || snapshot.Revision != want {
			t.Fatalf("ReadState = %+v, %v, want revision %d", snapshot, err, want)
		}
	}
	expectRevision(7)
	data, err := encodeState(second)
	if err != nil {
		t.Fatal(err)
	}
	spare := filepath.Join(dir, spareFile)
	if err := overwriteFile(spare, data); err != nil {
		t.Fatal(err)
	}
	expectRevision(8)
	if info, err := os.Stat(spare); err != nil || info.Size() < minSpareSize {
		t.Errorf("Stat of the spare file after a write = %+v, %v, want at least %d bytes", info, err, minSpareSize)
	}
	if err := overwriteFile(spare, data[:len(data)/2]); err != nil { // a process killed during the next write
		t.Fatal(err)
	}
	if err := overwriteFile(spare, []byte("croftlock-state 1 99 0")); err != nil {
		t.Fatal(err)
	}
	expectRevision(7)
	// A directory in place of the state file makes the replacement fail.
	second.WrittenAt, second.Revision = 9, 9
	if err := os.Remove(filepath.Join(dir, stateFile)); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Join(dir, stateFile, "in the way"), 0o700); err != nil {
		t.Fatal(err)
	}
	if readable, err := writeState(dir, second); !readable || err == nil {
		t.Errorf("writeState = %t, %v, want true and the error of the replacement", readable, err)
	}
	os.RemoveAll(filepath.Join(dir, stateFile))
	expectRevision(9)
}

// TestConnectionClosedBeforeAnswer checks that RequestHandover returns an error other than ErrBusy if
// the process that serves closes the connection before it answers. That process may hand over when the
// request is repeated.
func TestConnectionClosedBeforeAnswer(t *testing.T) {
	dir := t.TempDir()
	ln, err := net.Listen("unix", filepath.Join(dir, socketName))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for range 2 {
			if c, err := ln.Accept(); err == nil {
				c.Close()
			}
		}
	}()
	for range 2 {
		if p, h, err := RequestHandover(dir, "x:1", 10); err == nil || errors.Is(err, ErrBusy) || p != nil || h != nil {
			t.Errorf("RequestHandover = %v, %v, %v, want an error other than ErrBusy", p, h, err)
		}
	}
}
