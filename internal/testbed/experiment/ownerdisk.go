package experiment

import (
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
	// damage changes the store's file while its process is down. copied is the content of the file at an
	// earlier time. If damage is nil, the fault is a disk that is full for 3 s.
	damage        func(path string, copied []byte) error
	expectedState string // part of diskOutcome.state; if empty, unreadable or member
}

// diskFaults lists the faults of the experiment owner-disk, in order.
var diskFaults = []diskFault{
	{"disk full for a while", nil, "member"},
	{"killed at any moment", func(string, []byte) error { return nil }, "member"},
	{"flipped bytes", func(path string, _ []byte) error { return flipBytes(path) }, ""},
	{"truncated", func(path string, _ []byte) error { return truncateByHalf(path) }, "unreadable"},
	{"file replaced by an older one", func(path string, copied []byte) error { return os.WriteFile(path, copied, 0o600) }, "stale"},
	{"file lost", func(path string, _ []byte) error { return os.Remove(path) }, "outside"},
}

// accepts reports whether a replica may have the given state after the fault.
func (f *diskFault) accepts(state string) bool {
	if f.expectedState != "" {
		return strings.Contains(state, f.expectedState)
	}
	return strings.Contains(state, "unreadable") || strings.Contains(state, "member")
}

// diskOutcome is the outcome of one fault at one replica.
type diskOutcome struct {
	answered int    // commands answered as done
	lost     int    // commands answered as done that have no effect afterwards
	state    string // of the replica's store, with its phase, after the fault
}

// ownerDisk injects each disk fault at each replica during a stream of commands.
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

// runAtEachReplica injects the fault at each of three replicas, on three rigs in parallel.
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

// truncateByHalf truncates a file to half of its length.
func truncateByHalf(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data[:len(data)/2], 0o600)
}

// flipBytes changes bytes throughout a file, except for its first pages, which hold the store's
// metadata.
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

// run injects the fault at a replica's disk during a stream of commands, and counts the commands that
// were answered as done and have no effect afterwards.
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
	// Wait until the store has changed, so that the copy holds an older state.
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

// inject injects the fault and returns once the replica runs again, or its disk has space again.
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

// suspensionStream sends commands that suspend hosts, one after the other.
type suspensionStream struct {
	stop     chan struct{}
	finished chan []string // receives one value: the hosts whose suspension was answered as done
	answered atomic.Int64
}

// startSuspensionStream starts a stream of commands to the processes that are not replicas.
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

// awaitAnswers waits until n more commands are answered as done.
func (s *suspensionStream) awaitAnswers(n int64) error {
	before := s.answered.Load()
	if _, ok := AwaitCondition(recoveryTimeout, func() bool { return s.answered.Load() >= before+n }); !ok {
		return fmt.Errorf("fewer than %d commands were answered as done within %v", n, recoveryTimeout)
	}
	return nil
}

// stopAndWait ends the stream and returns the hosts whose suspension was answered as done. It may be
// called once.
func (s *suspensionStream) stopAndWait() []string {
	close(s.stop)
	return <-s.finished
}

// suspendedHosts returns the words of the answer that lists the hosts suspended for the fleet.
func suspendedHosts(rig *Rig) ([]string, error) {
	var list owneragent.Reply
	var err error
	if _, ok := AwaitCondition(recoveryTimeout, func() bool {
		list, err = rig.SendOwnerRequest(4, owneragent.Request{Command: "list"})
		return err == nil && strings.HasPrefix(list.Answer, "out for the fleet")
	}); !ok {
		return nil, fmt.Errorf("no list of suspended hosts after %v: reply %v, error %v", recoveryTimeout, list, err)
	}
	return strings.Fields(list.Answer), nil
}

// voterState returns the state of a replica's store, followed by its phase if it reports a group.
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
