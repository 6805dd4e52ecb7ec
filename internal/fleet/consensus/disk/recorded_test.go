package disk

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/testbed/golden"
)

// TestRecordedStore: a file that was written by an earlier version is opened, read, and written to.
func TestRecordedStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "voter")
	want := fill(t, path)
	if golden.Updating() {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, "voter.bbolt", data)
	}
	old := filepath.Join(t.TempDir(), "recorded")
	if err := os.WriteFile(old, golden.Read(t, "voter.bbolt"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Open(old, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	got, err := s.Load()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("read %+v, %v", got, err)
	}
	if err := s.Save(raftpb.HardState{Term: 3, Vote: 7, Commit: 9}, entries(10, 2, 3), raftpb.Snapshot{}); err != nil {
		t.Fatal(err)
	}
	if got, err = s.Load(); err != nil || len(got.Entries) != len(want.Entries)+2 || got.HardState.Term != 3 {
		t.Errorf("after a write: %+v, %v", got, err)
	}
}
