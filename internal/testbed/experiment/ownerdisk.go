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

// diskFault is one way in which a voter's store fails.
type diskFault struct {
	name string
	// damage changes the store's file while its process is down; copied is an older state of it. nil: the disk is full while the process runs.
	damage func(path string, copied []byte) error
	phase  string // of the voter, or what its store says, afterwards; "": unreadable or member
}

var diskFaults = []diskFault{
	{"no room, then room again", nil, "member"},
	{"killed at any moment", func(string, []byte) error { return nil }, "member"},
	{"flipped bytes", func(path string, _ []byte) error { return flipBytes(path) }, ""},
	{"torn", func(path string, _ []byte) error { return tear(path) }, "unreadable"},
	{"an older file put back", func(path string, copied []byte) error { return os.WriteFile(path, copied, 0o600) }, "stale"},
	{"lost", func(path string, _ []byte) error { return os.Remove(path) }, "outside"},
}

// accepts returns whether a voter's state is one that the fault may lead to.
func (f *diskFault) accepts(state string) bool {
	if f.phase != "" {
		return strings.Contains(state, f.phase)
	}
	return strings.Contains(state, "unreadable") || strings.Contains(state, "member")
}

// diskOutcome is what came of one fault at one voter.
type diskOutcome struct {
	answered int    // commands that were answered as done
	lost     int    // of these, commands without effect afterwards
	state    string // the voter's afterwards
}

// ownerDisk has each fault of a disk happen to each voter during a stream of commands.
func ownerDisk(e *Env, r *Report) error {
	const table = "faults of disks, each at each of three voters, during a stream of commands"
	r.Columns(table, "fault", "turns", "commands answered", "lost", "as stated")
	for _, f := range diskFaults {
		e.Logf("%s", f.name)
		outcomes, err := f.atEachVoter(e)
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
		r.Row(table, f.name, len(outcomes), answered, lost, len(wrong) == 0)
		r.Check(lost == 0 && answered > 30, f.name+": nothing that was answered is lost", fmt.Sprintf("%d of %d", lost, answered))
		r.Check(len(wrong) == 0, f.name+": afterwards as stated", strings.Join(wrong, "; "))
	}
	return nil
}

// atEachVoter plays the fault at each of three voters, on rigs side by side.
func (f *diskFault) atEachVoter(e *Env) (outcomes [3]diskOutcome, err error) {
	var errs [3]error
	var all sync.WaitGroup
	for voter := range outcomes {
		all.Add(1)
		go func() {
			defer all.Done()
			outcomes[voter], errs[voter] = f.play(e, voter)
		}()
	}
	all.Wait()
	for voter, err := range errs {
		if err != nil {
			return outcomes, fmt.Errorf("%s at n%d: %w", f.name, voter, err)
		}
	}
	return outcomes, nil
}

// tear cuts a file to half its length.
func tear(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data[:len(data)/2], 0o600)
}

// flipBytes changes bytes all over a file, but not in its first pages, which hold the store's own head.
func flipBytes(path string) error {
	const headBytes = 8192
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for i := range data {
		if i%97 == 13 && i > headBytes {
			data[i] ^= 0x5a
		}
	}
	return os.WriteFile(path, data, 0o600)
}

// play has a stream of commands go on while a voter's disk fails; afterwards what was answered has to be there.
func (f *diskFault) play(e *Env, voter int) (o diskOutcome, err error) {
	rig, err := NewRigWith(e, RigOptions{Processes: 5, Seed: 5, Key: sealKey, Sections: ownersFile(3, true, "(hosts on)")})
	if err != nil {
		return o, err
	}
	defer rig.Close()
	if _, err := rig.AllOwned(1); err != nil {
		return o, err
	}
	stream := startSuspensions(rig)
	time.Sleep(time.Second)
	path := filepath.Join(rig.Dir(voter), "voter.db")
	copied, err := os.ReadFile(path)
	if err != nil {
		return o, err
	}
	// Else the copy is none of an older state.
	if err := stream.awaitMore(10); err != nil {
		return o, err
	}
	if err := f.strike(rig, voter, path, copied); err != nil {
		return o, err
	}
	time.Sleep(8 * time.Second)
	done := stream.end()
	if _, err := rig.AllOwned(1); err != nil {
		return o, err
	}
	have, err := suspendedHosts(rig)
	if err != nil {
		return o, err
	}
	o.answered = len(done)
	for _, id := range done {
		if !slices.Contains(have, id) {
			o.lost++
		}
	}
	o.state, err = voterState(rig, voter)
	return o, err
}

// strike has the fault happen, and the voter run again.
func (f *diskFault) strike(rig *Rig, voter int, path string, copied []byte) error {
	if f.damage == nil {
		full, room := rig.FillDisk(voter)
		if err := full(); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
		return room()
	}
	rig.Procs[voter].Kill()
	if err := f.damage(path, copied); err != nil {
		return err
	}
	return rig.Start(voter)
}

// suspensions are a stream of commands to suspend hosts, one after the other.
type suspensions struct {
	stop     chan struct{}
	finished chan []string // once: the hosts whose suspension was answered as done
	answered atomic.Int64
}

// startSuspensions begins a stream by way of the processes that do not vote.
func startSuspensions(rig *Rig) *suspensions {
	s := &suspensions{stop: make(chan struct{}), finished: make(chan []string, 1)}
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
			if rep, err := rig.Owners(3+i%2, owneragent.Request{Command: "suspend", Argument: id}); err == nil && strings.HasPrefix(rep.Answer, "done") {
				done = append(done, id)
				s.answered.Add(1)
			}
		}
	}()
	return s
}

// awaitMore waits until so many more commands are answered.
func (s *suspensions) awaitMore(n int64) error {
	before := s.answered.Load()
	if _, ok := Until(ownersWait, func() bool { return s.answered.Load() >= before+n }); !ok {
		return errors.New("no command is answered")
	}
	return nil
}

// end ends the stream and gives the hosts whose suspension was answered as done.
func (s *suspensions) end() []string {
	close(s.stop)
	return <-s.finished
}

// suspendedHosts are the hosts that the fleet has suspended.
func suspendedHosts(rig *Rig) ([]string, error) {
	var list owneragent.Reply
	var err error
	if _, ok := Until(ownersWait, func() bool {
		list, err = rig.Owners(4, owneragent.Request{Command: "list"})
		return err == nil && strings.HasPrefix(list.Answer, "out for the fleet")
	}); !ok {
		return nil, fmt.Errorf("no list: %v %v", list, err)
	}
	return strings.Fields(list.Answer), nil
}

// voterState is what a voter says of its store, and its phase in the group.
func voterState(rig *Rig, voter int) (string, error) {
	rep, err := rig.Owners(voter, owneragent.Request{Command: "status"})
	if err != nil {
		return "", err
	}
	if rep.Group != nil {
		return rep.Store + " " + rep.Group.Phase, nil
	}
	return rep.Store, nil
}
