package disk

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"syscall"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"

	"croftlock/internal/fleet/consensus"
)

const testMaxBytes = 1 << 20 // size limit of the stores in tests

// entries returns n entries of a term with consecutive indexes from first on.
func entries(first, n int, term uint64) (out []raftpb.Entry) {
	for i := range n {
		out = append(out, raftpb.Entry{Index: uint64(first + i), Term: term, Data: []byte(fmt.Sprint("command ", first+i))})
	}
	return out
}

// mustOpen returns an opened store of at most testMaxBytes, which is closed at the end of the test.
func mustOpen(t testing.TB, path string) *Store {
	t.Helper()
	s, err := Open(path, testMaxBytes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// mustLoad returns the state that Load returns, and fails the test if Load returns an error.
func mustLoad(t testing.TB, s *Store) consensus.StoredState {
	t.Helper()
	state, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// fillStore saves records of each kind in a new file and returns the state that Load must return.
func fillStore(t testing.TB, path string) consensus.StoredState {
	t.Helper()
	s, err := Open(path, testMaxBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	must := func(err error) { // ends the test if err is not nil
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
	return mustLoad(t, s)
}

// TestStoresWhatIsSaved checks that a file that is opened again contains what was saved, and that a
// file in use is not opened a second time.
func TestStoresWhatIsSaved(t *testing.T) {
	path := filepath.Join(t.TempDir(), "voter")
	fillStore(t, path)
	s := mustOpen(t, path)
	got := mustLoad(t, s)
	want := append(entries(5, 3, 1), entries(8, 2, 2)...)
	if got.ID != 7 || got.Starts != 3 || got.HardState.Vote != 9 || string(got.Snapshot.Data) != "state" || got.StartRecords[9].Starts != 2 {
		t.Errorf("Load = %+v, want ID 7, 3 starts, vote 9, snapshot \"state\" and 2 starts of replica 9", got)
	}
	if !reflect.DeepEqual(got.Entries, want) {
		t.Errorf("Load returned the entries %v, want %v", got.Entries, want)
	}
	if _, err := Open(path, testMaxBytes); !errors.Is(err, ErrInUse) || !Recoverable(err) {
		t.Errorf("Open of a store in use returned %v (recoverable: %t), want %v, recoverable", err, Recoverable(err), ErrInUse)
	}
}

// TestSnapshotBeyondTheLog checks that a snapshot of another replica that is newer than the whole
// log replaces the log.
func TestSnapshotBeyondTheLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "voter")
	fillStore(t, path)
	s := mustOpen(t, path)
	snapshot := raftpb.Snapshot{Data: []byte("later"), Metadata: raftpb.SnapshotMetadata{Index: 50, Term: 3}}
	if err := s.Save(raftpb.HardState{}, nil, snapshot); err != nil {
		t.Fatal(err)
	}
	if got := mustLoad(t, s); len(got.Entries) != 0 || got.Snapshot.Metadata.Index != 50 {
		t.Errorf("Load = %+v, want the snapshot at index 50 and no entries", got)
	}
}

// damage returns a damaged copy of a file's data. n modulo 3 selects the kind of damage: 1 to 4
// changed bytes, truncation, or a page replaced by another one.
func damage(rng *rand.Rand, data []byte, n int) []byte {
	const kinds, pageBytes = 3, 4096
	damaged := slices.Clone(data)
	switch n % kinds {
	case 0:
		for range 1 + rng.IntN(4) {
			damaged[rng.IntN(len(damaged))] ^= byte(1 + rng.IntN(255))
		}
	case 1:
		damaged = damaged[:rng.IntN(len(damaged))]
	case 2:
		from, to := pageBytes*rng.IntN(len(data)/pageBytes), pageBytes*rng.IntN(len(data)/pageBytes)
		copy(damaged[to:to+pageBytes], data[from:from+pageBytes])
	}
	return damaged
}

// TestDamagedFiles checks that a file with flipped bytes, a truncated file and one with a stale
// page are rejected or load as they were stored, and do not end the process.
func TestDamagedFiles(t *testing.T) {
	dir := t.TempDir()
	intact := filepath.Join(dir, "intact")
	want := fillStore(t, intact)
	data, err := os.ReadFile(intact)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	rejected := 0
	for i := range 300 {
		path := filepath.Join(dir, fmt.Sprint("damaged", i))
		if err := os.WriteFile(path, damage(rng, data, i), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Open(path, testMaxBytes)
		if err != nil {
			rejected++
			continue
		}
		got, err := s.Load()
		switch {
		case err != nil:
			rejected++
			if Recoverable(err) {
				t.Errorf("file %d: Recoverable(%v) = true, want false", i, err)
			}
		case !reflect.DeepEqual(got, want) && got.ID != 0:
			t.Errorf("file %d: Load = %+v, want %+v, an empty state or an error", i, got, want)
		}
		s.Close()
	}
	if rejected < 60 {
		t.Errorf("%d of 300 damaged files rejected, want at least 60; with fewer the damage misses what Load reads", rejected)
	}
}

// limitFileSize limits the size of files that this process writes to a number of bytes, to simulate
// a full disk. The returned function restores the earlier limit.
func limitFileSize(t *testing.T, bytes uint64) (restore func()) {
	t.Helper()
	var before unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_FSIZE, &before); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: bytes, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &before); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFullDisk checks that on a full disk a write and all later writes fail, and that once there is
// space the file opens with what was saved before.
func TestFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "voter")
	s := mustOpen(t, path)
	if err := s.SaveIdentity(consensus.Identity{Group: "g", Name: "a", ID: 7, Starts: 1}); err != nil {
		t.Fatal(err)
	}
	if err := s.Save(raftpb.HardState{Term: 1}, entries(1, 5, 1), raftpb.Snapshot{}); err != nil {
		t.Fatal(err)
	}
	restore := limitFileSize(t, 4096)
	full := s.Save(raftpb.HardState{Term: 2}, entries(6, 5, 2), raftpb.Snapshot{})
	afterwards := s.Save(raftpb.HardState{Term: 2}, nil, raftpb.Snapshot{})
	restore()
	if full == nil || !Recoverable(full) {
		t.Fatalf("Save on a full disk returned %v, want a recoverable error", full)
	}
	if afterwards == nil || s.Save(raftpb.HardState{Term: 3}, nil, raftpb.Snapshot{}) == nil {
		t.Error("Save after a failed Save succeeded, want an error")
	}
	s.Close()
	if got := mustLoad(t, mustOpen(t, path)); got.HardState.Term != 1 || len(got.Entries) != 5 {
		t.Errorf("Load after the full disk = %+v, want term 1 and 5 entries", got)
	}
}

// TestBound checks that Save fails with ErrFull once the file is larger than the maxBytes passed to
// Open, 200 KiB. The file may exceed that by one Save, and bbolt grows it in large steps.
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
		t.Errorf("Save returned %v at %d bytes, want %v at no more than %d", err, s.Size(), ErrFull, 600<<10)
	}
}

// TestRecoverable checks that Recoverable allows a retry only after an error that left the file
// unchanged.
func TestRecoverable(t *testing.T) {
	for _, c := range []struct {
		name        string
		err         error
		recoverable bool
	}{
		{"no space to write", &os.PathError{Op: "write", Err: syscall.ENOSPC}, true},
		{"read-only file system", &os.PathError{Op: "open", Err: syscall.EROFS}, true},
		{"I/O error", &os.PathError{Op: "write", Err: syscall.EIO}, false},
		{"no space at a sync", &os.PathError{Op: "sync", Err: syscall.ENOSPC}, false},
		{"I/O error that is no fs.PathError", syscall.EIO, false},
		{"no space, but no fs.PathError", syscall.ENOSPC, false},
	} {
		if got := Recoverable(fmt.Errorf("store: %w", c.err)); got != c.recoverable {
			t.Errorf("%s: Recoverable(%v) = %t, want %t", c.name, c.err, got, c.recoverable)
		}
	}
}
