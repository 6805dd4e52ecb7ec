package command

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/fleet/membership"
	"croftlock/internal/fleet/membership/simulation"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/testbed/experiment"
)

// rigSlots bounds how many rigs run at a time: on two slow cores more of them starve one another.
var rigSlots = make(chan struct{}, 2)

// startOwnersRig starts five processes of which three vote.
func startOwnersRig(t *testing.T, disks bool) *experiment.Rig {
	t.Helper()
	rigSlots <- struct{}{}
	t.Cleanup(func() { <-rigSlots })
	section := `(owners (on on) (voters "n0 n1 n2") (drill 3) (drill_ms 300) (hosts on) (socket "DIR/owners.sock")`
	if disks {
		section += ` (dir "DIR")`
	}
	rig, err := experiment.NewRigWithOptions(&experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}, experiment.RigOptions{Processes: 5, Seed: 1,
		Key: sealKey, SettingsSections: section + ")", Env: asProgram})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(rig.Close)
	return rig
}

// recoveryTimeout is how long a fleet may take to recover from a fault.
const recoveryTimeout = 40 * time.Second

// ownersRigJobs is how many jobs the fleet of startOwnersRig has: three drills, and the suspended hosts.
const ownersRigJobs = 4

// waitOwners waits until every job has one owner, as the owners say themselves, and gives them. after says what happened before.
func waitOwners(t *testing.T, rig *experiment.Rig, after string, except ...int) map[string]int {
	t.Helper()
	var owners map[string]int
	var conflict string
	if _, ok := experiment.AwaitCondition(recoveryTimeout, func() bool {
		owners, conflict = rig.JobOwners(except...)
		return len(owners) == ownersRigJobs
	}); !ok {
		for i, p := range rig.Procs {
			t.Logf("n%d: %s", i, strings.Join(p.LogLines("event=replica_"), "\n"))
		}
		t.Fatalf("after %s the owners are %v; %s", after, owners, conflict)
	}
	return owners
}

// TestOwnersAmongProcesses: each job has one owner at a time, and a stale one does no harm.
func TestOwnersAmongProcesses(t *testing.T) {
	t.Parallel()
	for _, disks := range []bool{true, false} {
		t.Run(fmt.Sprintf("disks=%t", disks), func(t *testing.T) {
			t.Parallel()
			checkOwnersThroughFaults(t, startOwnersRig(t, disks))
		})
	}
}

func checkOwnersThroughFaults(t *testing.T, rig *experiment.Rig) {
	t.Helper()
	owners := waitOwners(t, rig, "the start")

	// An owner is paused while it holds its lease; another begins; the first goes on.
	paused := owners["drill000"]
	rig.Procs[paused].Signal(syscall.SIGSTOP)
	if next := waitOwners(t, rig, "an owner was paused", paused); next["drill000"] == paused {
		t.Errorf("n%d owns drill000 while it is paused", paused)
	}
	rig.Procs[paused].Signal(syscall.SIGCONT)
	owners = waitOwners(t, rig, "it went on")

	// An owner is in the smaller part of a cut.
	if err := rig.PlayFaults([]simulation.Fault{{Kind: "cut", DurationMS: 5000, Process: owners["drill001"]}}); err != nil {
		t.Fatal(err)
	}
	waitOwners(t, rig, "the cut ended")

	for i := range rig.Procs {
		rig.Procs[i].Kill()
	}
	for i := range rig.Procs {
		if err := rig.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	waitOwners(t, rig, "all were killed and started again")

	if err := rig.Procs[4].Stop(); err != nil {
		t.Fatal(err)
	}
	waitOwners(t, rig, "a graceful shutdown of n4", 4)
	if err := rig.CheckTokens(); err != nil {
		t.Error(err)
	}
}

// ownersCommand is an operator's command at a process, and its answer.
func ownersCommand(t *testing.T, rig *experiment.Rig, i int, name, argument string) string {
	t.Helper()
	reply, err := rig.SendOwnerRequest(i, owneragent.Request{Command: name, Argument: argument})
	if err != nil {
		t.Fatal(err)
	}
	return reply.Answer + reply.Error
}

// TestFleetSuspension: a suspension at any proxy holds at all, also at one that was cut off or has started since.
func TestFleetSuspension(t *testing.T) {
	t.Parallel()
	rig := startOwnersRig(t, true)
	waitOwners(t, rig, "the start")
	suspendedAt := func(i int) bool { // s0 is the only host
		lines := rig.Procs[i].LogLines("event=host_suspended")
		return len(lines) > 0 && strings.Contains(lines[len(lines)-1], "suspended=true")
	}
	eventually(t, "the host is suspended at all", func() bool { return ownersCommand(t, rig, 3, "suspend", "s0") == "done at all 5" })
	for i := range rig.Procs { // its log may be written a moment later
		eventually(t, fmt.Sprintf("n%d logs the suspension", i), func() bool { return suspendedAt(i) })
	}

	rig.Procs[2].Kill()
	if err := rig.Start(2); err != nil {
		t.Fatal(err)
	}
	eventually(t, "n2, which has started again, has the host suspended", func() bool { return suspendedAt(2) })

	rig.SetCutOff(4, true)
	eventually(t, "the answer names n4, which is cut off", func() bool {
		answer := ownersCommand(t, rig, 1, "resume", "s0")
		named := strings.HasPrefix(answer, "done at 4 of 5") && strings.HasSuffix(answer, "n4")
		// A member that nobody has heard for 10 s is gone: the fleet is the other four, and the answer counts those.
		gone := answer == "done at all 4" && rig.MemberState(1, 4) == membership.Gone.String()
		return named || gone
	})
	if !suspendedAt(4) {
		t.Error("n4 has resumed the host while it was cut off")
	}
	rig.SetCutOff(4, false)
	eventually(t, "n4, which was cut off, resumes the host", func() bool { return !suspendedAt(4) })
	if answer := ownersCommand(t, rig, 0, "suspend", ""); !strings.HasPrefix(answer, "refused") {
		t.Errorf("a suspension without a host is answered with %q, want a rejection", answer)
	}
}

// TestVoterWithFullDisk: a voter whose store has no room stops voting and releases its jobs; it serves on, and votes again by itself.
func TestVoterWithFullDisk(t *testing.T) {
	t.Parallel()
	rig := startOwnersRig(t, true)
	waitOwners(t, rig, "the start")
	fill, free := rig.FillDisk(0)
	if err := fill(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a voter without room reports it", func() bool {
		reply, err := rig.SendOwnerRequest(0, owneragent.Request{Command: "status"})
		return err == nil && reply.Store != ""
	})
	waitOwners(t, rig, "a voter had no room", 0)
	if status, _, _, err := experiment.CallAdmin(rig.Admin(0), "GET", "/v1/readyz"); err != nil || status != 200 && status != 503 {
		t.Errorf("readyz without room: status %d, %v; want 200 or 503", status, err)
	}
	if err := free(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the voter is a member again", func() bool {
		reply, err := rig.SendOwnerRequest(0, owneragent.Request{Command: "status"})
		return err == nil && reply.Store == "" && reply.Group != nil && reply.Group.Phase == "member"
	})
}

// TestVoterRejoinsAfterLosingItsDisk: operators' commands give a voter that lost its disk its vote back, under another identity.
func TestVoterRejoinsAfterLosingItsDisk(t *testing.T) {
	t.Parallel()
	rig := startOwnersRig(t, true)
	waitOwners(t, rig, "the start")
	rig.Procs[1].Kill()
	if err := os.Remove(filepath.Join(rig.Dir(1), "voter.db")); err != nil {
		t.Fatal(err)
	}
	if err := rig.Start(1); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		name string
		done func() bool
	}{
		{"it waits to be added", func() bool { return groupStatus(rig, 1).matches("outside", 0, 0) }},
		{"add", func() bool { return anyVoterExecutes(rig, "add", "n1") }},
		{"it is a learner", func() bool { return groupStatus(rig, 1).matches("member", 3, 0) }},
		{"promote", func() bool { return anyVoterExecutes(rig, "promote", "n1") }},
		{"it votes", func() bool { return groupStatus(rig, 1).matches("member", 3, 3) }},
	} {
		if _, ok := experiment.AwaitCondition(recoveryTimeout, step.done); !ok {
			t.Fatalf("%s: not reached; n0 reports %+v", step.name, groupStatus(rig, 0))
		}
	}
	waitOwners(t, rig, "a disk was lost")
}

// anyVoterExecutes has n0 or n2 carry out an operator's command about a member; false: neither does.
func anyVoterExecutes(rig *experiment.Rig, command, member string) bool {
	for _, i := range []int{0, 2} {
		if reply, err := rig.SendOwnerRequest(i, owneragent.Request{Command: command, Argument: member}); err == nil && reply.Error == "" {
			return true
		}
	}
	return false
}

// replicaStatus is a process's part in the replicated group, as it reports it; zero: it reports none.
type replicaStatus struct {
	phase           string
	voters, members int
}

func groupStatus(rig *experiment.Rig, i int) (status replicaStatus) {
	reply, err := rig.SendOwnerRequest(i, owneragent.Request{Command: "status"})
	if err != nil || reply.Group == nil {
		return status
	}
	status.phase, status.members = reply.Group.Phase, len(reply.Group.Members)
	for _, m := range reply.Group.Members {
		if m.Votes {
			status.voters++
		}
	}
	return status
}

// matches compares phase and voters, and members where their number matches above 0.
func (s replicaStatus) matches(phase string, voters, members int) bool {
	return s.phase == phase && s.voters == voters && (members == 0 || s.members == members)
}
