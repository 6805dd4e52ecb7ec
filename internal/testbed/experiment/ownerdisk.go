package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"croftlock/internal/fleet/owneragent"
)

// diskFault is a fault of a replica's disk.
type diskFault struct {
	name string
	// damage changes the store's file while its process is down; copied is the file at an earlier time. nil: the disk is full for a while.
	damage        func(path string, copied []byte) error
	expectedState string // of the replica afterwards, or the state of its store; "": either unreadable or member
}

var diskFaults = []diskFault{
	{"disk full for a while", nil, "member"},
	{"killed at any moment", func(string, []byte) error { return nil }, "member"},
	{"flipped bytes", func(path string, _ []byte) error { return flipBytes(path) }, ""},
	{"truncated", func(path string, _ []byte) error { return truncateByHalf(path) }, "unreadable"},
	{"file replaced by an older one", func(path string, copied []byte) error { return os.WriteFile(path, copied, 0o600) }, "stale"},
	{"file lost", func(path string, _ []byte) error { return os.Remove(path) }, "outside"},
}

// accepts returns whether the fault may lead to a replica's state.
func (f *diskFault) accepts(state string) bool {
	if f.expectedState != "" {
		return strings.Contains(state, f.expectedState)
	}
	return strings.Contains(state, "unreadable") || strings.Contains(state, "member")
}

// diskOutcome is the outcome of one fault at one replica.
type diskOutcome struct {
	answered int    // commands that were answered as done
	lost     int    // of these, commands without effect afterwards
	state    string // of the replica, afterwards
}

// ownerDisk plays each disk fault at each replica, during a stream of commands.
func ownerDisk(e *Env, r *Report) error {
	const table = "disk faults, each at each of three replicas, during a stream of commands"
	r.StartTable(table, "fault", "turns", "commands answered", "lost", "expected state")
	for _, f := range diskFaults {
		e.Logf("%s", f.name)
		outcomes, err := f.runAtEachReplica(e)
		if err != nil {
			return err
		}
		answered, lost, wrong := 0, 0, []string(nil)
		for voter, o := range outcomes {
			answered, lost = answered+o.answered, lost+o.lost
			if !f.accepts(o.state) {
				wrong = append(wrong, fmt.Sprintf("n%d: %s", voter, o.state))
			}
		}
		r.AddRow(table, f.name, len(outcomes), answered, lost, len(wrong) == 0)
		r.Check(lost == 0 && answered > 30, f.name+": no answered command is lost", fmt.Sprintf("%d of %d", lost, answered))
		r.Check(len(wrong) == 0, f.name+": the replica ends in the expected state", strings.Join(wrong, "; "))
	}
	return nil
}

// runAtEachReplica plays the fault at each of three replicas, on rigs in parallel.
func (f *diskFault) runAtEachReplica(e *Env) (outcomes [3]diskOutcome, err error) {
	var errs [3]error
	var runs sync.WaitGroup
	for voter := range outcomes {
		runs.Add(1)
		go func() {
			defer runs.Done()
			outcomes[voter], errs[voter] = f.run(e, voter)
		}()
	}
	runs.Wait()
	for voter, err := range errs {
		if err != nil {
			return outcomes, fmt.Errorf("%s at n%d: %w", f.name, voter, err)
		}
	}
	return outcomes, nil
}

// truncateByHalf truncates a file to half its length.
func truncateByHalf(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data[:len(data)/2], 0o600)
}

// flipBytes changes bytes all over a file, except its first pages, which hold the store's metadata.
func flipBytes(path string) error {
	const metadataBytes = 8192
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for i := range data {
		if i%97 == 13 && i > metadataBytes {
			data[i] ^= 0x5a
		}
	}
	return os.WriteFile(path, data, 0o600)
}

// run plays the fault at a replica's disk during a stream of commands, and counts the answered commands without effect afterwards.
func (f *diskFault) run(e *Env, voter int) (outcome diskOutcome, err error) {
	rig, err := NewRigWithOptions(e, RigOptions{Processes: 5, Seed: 5, Key: sealKey, SettingsSections: ownersSection(3, true, "(hosts on)")})
	if err != nil {
		return outcome, err
	}
	defer rig.Close()
	if _, err := rig.AwaitJobsOwned(1); err != nil {
		return outcome, err
	}
	stream := startSuspensionStream(rig)
	time.Sleep(time.Second)
	path := filepath.Join(rig.Dir(voter), "voter.db")
	copied, err := os.ReadFile(path)
	if err != nil {
		return outcome, err
	}
	// The store has to change, so that the copy is an older state.
	if err := stream.awaitAnswers(10); err != nil {
		return outcome, err
	}
	if err := f.inject(rig, voter, path, copied); err != nil {
		return outcome, err
	}
	time.Sleep(8 * time.Second)
	done := stream.stopAndWait()
	if _, err := rig.AwaitJobsOwned(1); err != nil {
		return outcome, err
	}
	suspended, err := suspendedHosts(rig)
	if err != nil {
		return outcome, err
	}
	outcome.answered = len(done)
	for _, id := range done {
		if !slices.Contains(suspended, id) {
			outcome.lost++
		}
	}
	outcome.state, err = voterState(rig, voter)
	return outcome, err
}

// inject plays the fault, and has the replica run again.
func (f *diskFault) inject(rig *Rig, voter int, path string, copied []byte) error {
	if f.damage == nil {
		fill, free := rig.FillDisk(voter)
		if err := fill(); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
		return free()
	}
	rig.Procs[voter].Kill()
	if err := f.damage(path, copied); err != nil {
		return err
	}
	return rig.Start(voter)
}

// suspensionStream is a stream of commands that suspend hosts, one after the other.
type suspensionStream struct {
	stop     chan struct{}
	finished chan []string // once: the hosts whose suspension was answered as done
	answered atomic.Int64
}

// startSuspensionStream starts a stream, through the processes that are no replicas.
func startSuspensionStream(rig *Rig) *suspensionStream {
	s := &suspensionStream{stop: make(chan struct{}), finished: make(chan []string, 1)}
	go func() {
		var done []string
		for i := 0; ; i++ {
			select {
			case <-s.stop:
				s.finished <- done
				return
			default:
			}
			id := fmt.Sprintf("host%03d", i%200)
			if reply, err := rig.SendOwnerRequest(3+i%2, owneragent.Request{Command: "suspend", Argument: id}); err == nil && strings.HasPrefix(reply.Answer, "done") {
				done = append(done, id)
				s.answered.Add(1)
			}
		}
	}()
	return s
}

// awaitAnswers waits until n more commands are answered.
func (s *suspensionStream) awaitAnswers(n int64) error {
	before := s.answered.Load()
	if _, ok := AwaitCondition(recoveryTimeout, func() bool { return s.answered.Load() >= before+n }); !ok {
		return errors.New("commands are not answered")
	}
	return nil
}

// stopAndWait ends the stream and returns the hosts whose suspension was answered as done.
func (s *suspensionStream) stopAndWait() []string {
	close(s.stop)
	return <-s.finished
}

// suspendedHosts are the hosts that are suspended for the fleet.
func suspendedHosts(rig *Rig) ([]string, error) {
	var list owneragent.Reply
	var err error
	if _, ok := AwaitCondition(recoveryTimeout, func() bool {
		list, err = rig.SendOwnerRequest(4, owneragent.Request{Command: "list"})
		return err == nil && strings.HasPrefix(list.Answer, "out for the fleet")
	}); !ok {
		return nil, fmt.Errorf("no list: %v %v", list, err)
	}
	return strings.Fields(list.Answer), nil
}

// voterState is the state of a replica's store, and its phase in the group.
func voterState(rig *Rig, voter int) (string, error) {
	reply, err := rig.SendOwnerRequest(voter, owneragent.Request{Command: "status"})
	if err != nil {
		return "", err
	}
	if reply.Group != nil {
		return reply.Store + " " + reply.Group.Phase, nil
	}
	return reply.Store, nil
}
