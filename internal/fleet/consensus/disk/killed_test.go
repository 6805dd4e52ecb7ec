package disk

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/consensus"
)

const (
	// writerEnv is the environment variable with the path of the store that a child process writes
	// to.
	writerEnv      = "CROFTLOCK_DISK_WRITER"
	writerMaxBytes = 4 << 20
)

// TestKilledWhileItSaves checks that a process killed at any moment leaves a readable store with
// all entries that it acknowledged. The environment variable DISK_KILLS sets the number of kills.
func TestKilledWhileItSaves(t *testing.T) {
	if path := os.Getenv(writerEnv); path != "" {
		writeUntilKilled(path)
	}
	kills := 20
	if s := os.Getenv("DISK_KILLS"); s != "" {
		kills, _ = strconv.Atoi(s)
	}
	path := filepath.Join(t.TempDir(), "voter")
	for i := range kills {
		acknowledged := killWriter(t, path)
		s, err := openAfterKill(path)
		if err != nil {
			t.Fatalf("kill %d: Open returned %v", i, err)
		}
		state, err := s.Load()
		s.Close()
		if err != nil {
			t.Fatalf("kill %d: Load returned %v", i, err)
		}
		if stored := lastIndex(state); stored < acknowledged {
			t.Fatalf("kill %d: the log ends at index %d, want at least the acknowledged %d", i, stored, acknowledged)
		}
	}
}

// killWriter starts a child process that writes to the store, and kills it after 20 to 50 ms. It
// returns the last index that the child acknowledged.
func killWriter(t *testing.T, path string) (acknowledged int) {
	t.Helper()
	child := exec.Command(os.Args[0], "-test.run", "TestKilledWhileItSaves")
	child.Env = append(os.Environ(), writerEnv+"="+path)
	output, err := child.StdoutPipe()
	if err == nil {
		err = child.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	last := make(chan int, 1)
	go func() { last <- lastNumber(output) }()
	time.Sleep(time.Duration(20+rand.IntN(30)) * time.Millisecond)
	child.Process.Kill()
	acknowledged = <-last
	child.Wait()
	return acknowledged
}

// lastNumber reads numbers, one per line, until the end of the output, and returns the last one.
func lastNumber(output io.Reader) (last int) {
	for {
		n := 0
		if _, err := fmt.Fscanln(output, &n); err != nil {
			return last
		}
		last = n
	}
}

// openAfterKill opens the store. It retries for 2 s while the store is in use, since the operating
// system may release the lock of the killed process late.
func openAfterKill(path string) (s *Store, err error) {
	for range 200 {
		if s, err = Open(path, writerMaxBytes); !errors.Is(err, ErrInUse) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return s, err
}

// lastIndex returns the index of the last entry in the stored log or snapshot.
func lastIndex(state consensus.StoredState) int {
	if n := len(state.Entries); n > 0 {
		return int(state.Entries[n-1].Index)
	}
	return int(state.Snapshot.Metadata.Index)
}

// writeUntilKilled appends to the log and compacts it until the process is killed. It prints the
// index of the last durable entry after each append.
func writeUntilKilled(path string) {
	s, err := Open(path, writerMaxBytes)
	if err != nil {
		os.Exit(3)
	}
	state, err := s.Load()
	if err != nil {
		os.Exit(4)
	}
	last := lastIndex(state)
	for {
		if s.Save(raftpb.HardState{Term: 1, Commit: uint64(last)}, entries(last+1, 3, 1), raftpb.Snapshot{}) != nil {
			os.Exit(5)
		}
		last += 3
		fmt.Println(last)
		if last%30 == 0 {
			s.Save(raftpb.HardState{}, nil, raftpb.Snapshot{Data: make([]byte, 3000), Metadata: raftpb.SnapshotMetadata{Index: uint64(last), Term: 1}})
			s.Compact(uint64(last - 10))
		}
	}
}
