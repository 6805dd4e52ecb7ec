package disk

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// TestKilledWhileItSaves: a process killed at any moment leaves a readable store with all that was acknowledged.
func TestKilledWhileItSaves(t *testing.T) {
	if path := os.Getenv("CROFTLOCK_DISK_WRITER"); path != "" {
		writer(path)
	}
	turns := 20
	if s := os.Getenv("DISK_KILLS"); s != "" {
		turns, _ = strconv.Atoi(s)
	}
	path := filepath.Join(t.TempDir(), "voter")
	for turn := range turns {
		c := exec.Command(os.Args[0], "-test.run", "TestKilledWhileItSaves")
		c.Env = append(os.Environ(), "CROFTLOCK_DISK_WRITER="+path)
		out, err := c.StdoutPipe()
		if err == nil {
			err = c.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		acknowledged := make(chan int, 1)
		go func() {
			last, n := 0, 0
			for {
				if _, err := fmt.Fscanln(out, &n); err != nil {
					acknowledged <- last
					return
				}
				last = n
			}
		}()
		time.Sleep(time.Duration(20+rand.IntN(30)) * time.Millisecond)
		c.Process.Kill()
		last := <-acknowledged
		c.Wait()
		var s *Store
		for i := 0; i < 200; i++ { // the system may release the file a little later
			if s, err = Open(path, 4<<20); !errors.Is(err, ErrInUse) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if err != nil {
			t.Fatalf("turn %d: %v", turn, err)
		}
		got, err := s.Load()
		s.Close()
		if err != nil {
			t.Fatalf("turn %d: %v", turn, err)
		}
		at := int(got.Snapshot.Metadata.Index)
		if n := len(got.Entries); n > 0 {
			at = int(got.Entries[n-1].Index)
		}
		if at < last {
			t.Fatalf("turn %d: %d was acknowledged, the store ends at %d", turn, last, at)
		}
	}
}

// writer appends and compacts until it is killed, and prints what is durable.
func writer(path string) {
	s, err := Open(path, 4<<20)
	if err != nil {
		os.Exit(3)
	}
	got, err := s.Load()
	if err != nil {
		os.Exit(4)
	}
	at := int(got.Snapshot.Metadata.Index)
	if n := len(got.Entries); n > 0 {
		at = int(got.Entries[n-1].Index)
	}
	for {
		if s.Save(raftpb.HardState{Term: 1, Commit: uint64(at)}, entries(at+1, 3, 1), raftpb.Snapshot{}) != nil {
			os.Exit(5)
		}
		at += 3
		fmt.Println(at)
		if at%30 == 0 {
			s.Save(raftpb.HardState{}, nil, raftpb.Snapshot{Data: make([]byte, 3000), Metadata: raftpb.SnapshotMetadata{Index: uint64(at), Term: 1}})
			s.Compact(uint64(at - 10))
		}
	}
}
