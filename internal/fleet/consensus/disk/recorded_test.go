package disk

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/testbed/golden"
)

// TestRecordedStore checks that a file written by an earlier version can be opened, read and
// written to.
func TestRecordedStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "voter")
	want := fillStore(t, path)
	if golden.Updating() {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, "voter.bbolt", data)
	}
	recorded := filepath.Join(t.TempDir(), "recorded")
	if err := os.WriteFile(recorded, golden.Read(t, "voter.bbolt"), 0o600); err != nil {
		t.Fatal(err)
	}
	s := mustOpen(t, recorded)
	if got := mustLoad(t, s); !reflect.DeepEqual(got, want) {
		t.Fatalf("Load of the recorded file = %+v, want %+v", got, want)
	}
	if err := s.Save(raftpb.HardState{Term: 3, Vote: 7, Commit: 9}, entries(10, 2, 3), raftpb.Snapshot{}); err != nil {
		t.Fatal(err)
	}
	if got := mustLoad(t, s); len(got.Entries) != len(want.Entries)+2 || got.HardState.Term != 3 {
		t.Errorf("Load after Save = %+v, want %d entries and term 3", got, len(want.Entries)+2)
	}
}
