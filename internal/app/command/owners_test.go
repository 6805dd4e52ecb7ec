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

// rigSlots limits the rigs (sets of proxy processes): more than two starve one another on two slow cores.
var rigSlots = make(chan struct{}, 2)

// startOwnersRig starts five processes. Three vote, and store their votes on disk if disks is true.
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

// recoveryTimeout is the time that a fleet may take to recover from a fault.
const recoveryTimeout = 40 * time.Second

// ownersRigJobs is the number of jobs of startOwnersRig: three drills (test jobs) and the suspensions.
const ownersRigJobs = 4

// waitOwners waits until every job has one owner, and returns the index of the owner's process by
// job, without asking the processes except. after describes what happened before, for a failure.
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
		t.Fatalf("after %s the owners are %v, want one for each of %d jobs; conflict: %s", after, owners, ownersRigJobs, conflict)
	}
	return owners
}

// TestOwnersAmongProcesses checks that faults leave each job one owner with a unique fencing token.
func TestOwnersAmongProcesses(t *testing.T) {
	t.Parallel()
	for _, disks := range []bool{true, false} {
		t.Run(fmt.Sprintf("disks=%t", disks), func(t *testing.T) {
			t.Parallel()
			checkOwnersThroughFaults(t, startOwnersRig(t, disks))
		})
	}
}

// checkOwnersThroughFaults checks that every job has one owner after each of several faults.
func checkOwnersThroughFaults(t *testing.T, rig *experiment.Rig) {
	t.Helper()
	owners := waitOwners(t, rig, "the start")

	// An owner with a lease is paused, another process becomes owner, and the first one resumes.
	paused := owners["drill000"]
	rig.Procs[paused].Signal(syscall.SIGSTOP)
	if next := waitOwners(t, rig, "an owner was paused", paused); next["drill000"] == paused {
		t.Errorf("n%d owns drill000 while it is paused, want another owner", paused)
	}
	rig.Procs[paused].Signal(syscall.SIGCONT)
	owners = waitOwners(t, rig, "the paused owner resumed")

	// An owner is on the smaller side of a network partition.
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
		t.Errorf("the fencing tokens of the jobs: %v", err)
	}
}

// ownersCommand sends an operator's command to process i and returns the reply's answer or error.
func ownersCommand(t *testing.T, rig *experiment.Rig, i int, name, argument string) string {
	t.Helper()
	reply, err := rig.SendOwnerRequest(i, owneragent.Request{Command: name, Argument: argument})
	if err != nil {
		t.Fatal(err)
	}
	return reply.Answer + reply.Error
}

// TestFleetSuspension checks that suspensions reach all proxies, even one that was down or cut off.
func TestFleetSuspension(t *testing.T) {
	t.Parallel()
	rig := startOwnersRig(t, true)
	waitOwners(t, rig, "the start")
	suspendedAt := func(i int) bool { // by the log; s0 is the only host
		lines := rig.Procs[i].LogLines("event=host_suspended")
		return len(lines) > 0 && strings.Contains(lines[len(lines)-1], "suspended=true")
	}
	eventually(t, "the host is suspended at all proxies", func() bool { return ownersCommand(t, rig, 3, "suspend", "s0") == "done at all 5" })
	for i := range rig.Procs { // a process may write its log a moment after the answer
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
		// A member that no other has heard for 10 s is gone: the answer counts the other four.
		gone := answer == "done at all 4" && rig.MemberState(1, 4) == membership.Gone.String()
		return named || gone
	})
	if !suspendedAt(4) {
		t.Error("n4 has resumed the host while it was cut off")
	}
	rig.SetCutOff(4, false)
	eventually(t, "n4, which was cut off, resumes the host", func() bool { return !suspendedAt(4) })
	if answer := ownersCommand(t, rig, 0, "suspend", ""); !strings.HasPrefix(answer, "refused") {
		t.Errorf("a suspension without a host is answered with %q, want one that starts with refused", answer)
	}
}

// TestVoterWithFullDisk checks that a voter with a full disk stops voting, releases its jobs and
// continues to answer, and that it votes again without an operator once the disk has room.
func TestVoterWithFullDisk(t *testing.T) {
	t.Parallel()
	rig := startOwnersRig(t, true)
	waitOwners(t, rig, "the start")
	fill, free := rig.FillDisk(0)
	if err := fill(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "n0 reports that its store cannot be used", func() bool {
		reply, err := rig.SendOwnerRequest(0, owneragent.Request{Command: "status"})
		return err == nil && reply.Store != ""
	})
	waitOwners(t, rig, "the disk of n0 was full", 0)
	if status, _, _, err := experiment.CallAdmin(rig.Admin(0), "GET", "/v1/readyz"); err != nil || status != 200 && status != 503 {
		t.Errorf("/v1/readyz with a full disk: status %d, error %v; want 200 or 503", status, err)
	}
	if err := free(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "n0 is a member of the group again", func() bool {
		reply, err := rig.SendOwnerRequest(0, owneragent.Request{Command: "status"})
		return err == nil && reply.Store == "" && reply.Group != nil && reply.Group.Phase == "member"
	})
}

// TestVoterRejoinsAfterLosingItsDisk checks that operators can add the voter under a new identity.
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
		{"n1 waits to be added", func() bool { return groupStatus(rig, 1).matches("outside", 0, 0) }},
		{"add", func() bool { return anyVoterExecutes(rig, "add", "n1") }},
		{"n1 is a learner", func() bool { return groupStatus(rig, 1).matches("member", 3, 0) }},
		{"promote", func() bool { return anyVoterExecutes(rig, "promote", "n1") }},
		{"n1 is a voter", func() bool { return groupStatus(rig, 1).matches("member", 3, 3) }},
	} {
		if _, ok := experiment.AwaitCondition(recoveryTimeout, step.done); !ok {
			t.Fatalf("step %q is not done within %v; n0 reports %+v", step.name, recoveryTimeout, groupStatus(rig, 0))
		}
	}
	waitOwners(t, rig, "a disk was lost")
}

// anyVoterExecutes sends a command about a member to n0 and n2 and reports whether one executed it.
func anyVoterExecutes(rig *experiment.Rig, command, member string) bool {
	for _, i := range []int{0, 2} {
		if reply, err := rig.SendOwnerRequest(i, owneragent.Request{Command: command, Argument: member}); err == nil && reply.Error == "" {
			return true
		}
	}
	return false
}

// replicaStatus is the replicated group as one process reports it, or zero if it reports none.
type replicaStatus struct {
	phase           string
	voters, members int
}

// groupStatus returns the replicated group as process i reports it, or zero if it reports none.
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

// matches reports whether phase and voters are equal to those of s, and members too unless it is 0.
func (s replicaStatus) matches(phase string, voters, members int) bool {
	return s.phase == phase && s.voters == voters && (members == 0 || s.members == members)
}
