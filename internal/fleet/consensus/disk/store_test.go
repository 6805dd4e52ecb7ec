package disk

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"

	"croftlock/internal/fleet/consensus"
)

func entries(from, n int, term uint64) (out []raftpb.Entry) {
	for i := range n {
		out = append(out, raftpb.Entry{Index: uint64(from + i), Term: term, Data: []byte(fmt.Sprint("command ", from+i))})
	}
	return out
}

func fill(t testing.TB, path string) consensus.StoredState {
	t.Helper()
	s, err := Open(path, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(s.SaveIdentity(consensus.Identity{Group: "g", Name: "a", ID: 7, Starts: 3}))
	must(s.SaveStartRecord(9, consensus.StartRecord{Starts: 2, Incarnation: 5}))
	must(s.Save(raftpb.HardState{Term: 2, Vote: 9, Commit: 4}, entries(1, 10, 1), raftpb.Snapshot{}))
	must(s.Save(raftpb.HardState{}, entries(8, 2, 2), raftpb.Snapshot{})) // replaces 8 to 10
	must(s.Save(raftpb.HardState{}, nil, raftpb.Snapshot{Data: []byte("state"), Metadata: raftpb.SnapshotMetadata{Index: 4, Term: 1}}))
	must(s.Compact(2))
	out, err := s.Load()
	must(err)
	return out
}

// TestStoresWhatIsSaved: a file opened again holds what was saved, and one in use is not opened twice.
func TestStoresWhatIsSaved(t *testing.T) {
	path := filepath.Join(t.TempDir(), "voter")
	fill(t, path)
	s, err := Open(path, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	got, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	want := append(entries(5, 3, 1), entries(8, 2, 2)...)
	if got.ID != 7 || got.Starts != 3 || got.HardState.Vote != 9 || string(got.Snapshot.Data) != "state" || got.StartRecords[9].Starts != 2 || !reflect.DeepEqual(got.Entries, want) {
		t.Errorf("%+v", got)
	}
	if _, err := Open(path, 1<<20); !errors.Is(err, ErrInUse) || !Recoverable(err) {
		t.Error("a store in use:", err)
	}
	// A snapshot of another replica, beyond all that is here, replaces the log.
	s.Save(raftpb.HardState{}, nil, raftpb.Snapshot{Data: []byte("later"), Metadata: raftpb.SnapshotMetadata{Index: 50, Term: 3}})
	if got, err = s.Load(); err != nil || len(got.Entries) != 0 || got.Snapshot.Metadata.Index != 50 {
		t.Errorf("%+v %v", got, err)
	}
}

// TestDamagedFiles: a file with flipped bytes, a truncated one or one with a stale page is rejected or gives what was stored, never
// something else, and does not end the process.
func TestDamagedFiles(t *testing.T) {
	dir := t.TempDir()
	good := filepath.Join(dir, "good")
	want := fill(t, good)
	data, err := os.ReadFile(good)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	rejected := 0
	for i := range 300 {
		bad := append([]byte(nil), data...)
		switch i % 3 {
		case 0:
			for range 1 + rng.IntN(4) {
				bad[rng.IntN(len(bad))] ^= byte(1 + rng.IntN(255))
			}
		case 1:
			bad = bad[:rng.IntN(len(bad))]
		case 2:
			from, to := 4096*rng.IntN(len(bad)/4096), 4096*rng.IntN(len(bad)/4096)
			copy(bad[to:to+4096], data[from:from+4096])
		}
		path := filepath.Join(dir, fmt.Sprint("bad", i))
		if err := os.WriteFile(path, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Open(path, 1<<20)
		if err != nil {
			rejected++
			continue
		}
		got, err := s.Load()
		if err != nil {
			rejected++
			if Recoverable(err) {
				t.Errorf("%d: %v counts as recoverable", i, err)
			}
		} else if !reflect.DeepEqual(got, want) && got.ID != 0 {
			t.Errorf("%d: gives %+v", i, got)
		}
		s.Close()
	}
	if rejected < 60 {
		t.Errorf("%d of 300 rejected: the damage does not reach what is read", rejected)
	}
}

// TestFullDisk: on a full disk a call that saves fails and saves nothing, and with room again the file opens as it was.
func TestFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "voter")
	s, err := Open(path, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	s.SaveIdentity(consensus.Identity{Group: "g", Name: "a", ID: 7, Starts: 1})
	if err := s.Save(raftpb.HardState{Term: 1}, entries(1, 5, 1), raftpb.Snapshot{}); err != nil {
		t.Fatal(err)
	}
	// A limit on the size of files stands for a disk without room.
	var was unix.Rlimit
	unix.Getrlimit(unix.RLIMIT_FSIZE, &was)
	unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 4096, Max: was.Max})
	err = s.Save(raftpb.HardState{Term: 2}, entries(6, 5, 2), raftpb.Snapshot{})
	again := s.Save(raftpb.HardState{Term: 2}, nil, raftpb.Snapshot{})
	unix.Setrlimit(unix.RLIMIT_FSIZE, &was)
	if err == nil || !Recoverable(err) {
		t.Fatalf("no room: %v", err)
	}
	if again == nil || s.Save(raftpb.HardState{Term: 3}, nil, raftpb.Snapshot{}) == nil {
		t.Error("a store that failed saves more")
	}
	s.Close()
	if s, err = Open(path, 1<<20); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	got, err := s.Load()
	if err != nil || got.HardState.Term != 1 || len(got.Entries) != 5 {
		t.Errorf("%+v %v", got, err)
	}
}

// TestBound: the store's own bound holds.
func TestBound(t *testing.T) {
	s, err := Open(filepath.Join(t.TempDir(), "voter"), 200<<10)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i := 1; i < 10000 && err == nil; i += 50 {
		err = s.Save(raftpb.HardState{Term: 1}, entries(i, 50, 1), raftpb.Snapshot{})
	}
	if !errors.Is(err, ErrFull) || s.Size() > 600<<10 {
		t.Errorf("%v at %d bytes", err, s.Size())
	}
}

// TestRecoverable: the same process may retry only after a failure that left the file as it was.
func TestRecoverable(t *testing.T) {
	for _, c := range []struct {
		err         error
		recoverable bool
	}{{&os.PathError{Op: "write", Err: syscall.ENOSPC}, true}, {&os.PathError{Op: "write", Err: syscall.EIO}, false}, {syscall.EIO, false},
		{syscall.ENOSPC, false}, {&os.PathError{Op: "sync", Err: syscall.ENOSPC}, false}, {&os.PathError{Op: "open", Err: syscall.EROFS}, true}} {
		if Recoverable(fmt.Errorf("store: %w", c.err)) != c.recoverable {
			t.Errorf("%v: recoverable %v", c.err, !c.recoverable)
		}
	}
}
