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
	writerEnv      = "CROFTLOCK_DISK_WRITER" // path of the store that a child process writes to
	writerMaxBytes = 4 << 20
)

// TestKilledWhileItSaves: a process killed at any moment leaves a readable store with all that was acknowledged. DISK_KILLS is how often.
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
			t.Fatalf("kill %d: %v", i, err)
		}
		state, err := s.Load()
		s.Close()
		if err != nil {
			t.Fatalf("kill %d: %v", i, err)
		}
		if stored := lastIndex(state); stored < acknowledged {
			t.Fatalf("kill %d: index %d was acknowledged, the store ends at %d", i, acknowledged, stored)
		}
	}
}

// killWriter has a child process write to the store and kills it after a short time. It gives the last index that the child acknowledged.
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

// lastNumber reads numbers, one a line, until the end of the output.
func lastNumber(output io.Reader) (last int) {
	for {
		n := 0
		if _, err := fmt.Fscanln(output, &n); err != nil {
			return last
		}
		last = n
	}
}

// openAfterKill opens the store. The system may release the killed process's lock a little later.
func openAfterKill(path string) (s *Store, err error) {
	for range 200 {
		if s, err = Open(path, writerMaxBytes); !errors.Is(err, ErrInUse) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return s, err
}

// lastIndex is the index up to which a state holds the log.
func lastIndex(state consensus.StoredState) int {
	if n := len(state.Entries); n > 0 {
		return int(state.Entries[n-1].Index)
	}
	return int(state.Snapshot.Metadata.Index)
}

// writeUntilKilled appends and compacts until the process is killed, and prints the last index that is durable.
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
