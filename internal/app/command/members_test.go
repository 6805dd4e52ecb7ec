package command

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/membership"
	"croftlock/internal/fleet/membership/simulation"
	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// waitAllAlive waits until every process of the rig, which is a set of proxy processes with hosts,
// sees all others alive. It fails the test after recoveryTimeout. after describes what happened
// before, for the failure message.
func waitAllAlive(t *testing.T, rig *experiment.Rig, after string) {
	t.Helper()
	if _, ok := rig.AwaitAllAlive(recoveryTimeout); !ok {
		t.Fatalf("not all processes see all others alive within %v after %s", recoveryTimeout, after)
	}
}

// TestMembersAmongProcesses checks the membership of five processes with faults between them. No
// process may regard a live member as lost, and all must know all changes in the end. A failure
// prints the plan of faults in a form that can be run again.
func TestMembersAmongProcesses(t *testing.T) {
	env := &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}
	rig, err := experiment.NewRig(env, 5, 1, sealKey, asProgram...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(rig.Close)
	waitAllAlive(t, rig, "the start")
	checkFaultsWithoutLoss(t, rig)
	waitAllAlive(t, rig, "faults that end no process")
	checkOneWayCut(t, rig)
	waitAllAlive(t, rig, "a cut in one direction")
	checkForgedDatagrams(t, rig)
	checkFullDisk(t, rig)
	waitAllAlive(t, rig, "a full disk")
	checkReplacedMember(t, rig)
	checkKillAndLeave(t, rig)
	waitAllAlive(t, rig, "a restart of both")
}

// checkFaultsWithoutLoss checks that lost, duplicated, delayed and corrupted datagrams and a pause
// of one second make no process regard another as unreachable or gone.
func checkFaultsWithoutLoss(t *testing.T, rig *experiment.Rig) {
	t.Helper()
	plan := []simulation.Fault{{Kind: "loss", StartMS: 0, DurationMS: 3000, Amount: 0.2}, {Kind: "twice", StartMS: 500, DurationMS: 3000, Amount: 0.3}, {Kind: "garbage", StartMS: 0, DurationMS: 3000, Amount: 0.1},
		{Kind: "pause", StartMS: 800, DurationMS: 1000, Process: 1}, {Kind: "slow", StartMS: 1000, DurationMS: 2000}}
	parsed, err := experiment.ParsePlan("plan", []byte(experiment.FormatPlan(plan)), 5)
	if err != nil || !slices.Equal(parsed, plan) {
		t.Fatalf("a printed plan is parsed as %v, error %v; want %v", parsed, err, plan)
	}
	if err := rig.PlayFaults(plan); err != nil {
		t.Fatal(err)
	}
	for i, p := range rig.Procs {
		if lines := slices.Concat(p.LogLines("to=unreachable"), p.LogLines("to=gone")); len(lines) > 0 {
			t.Errorf("n%d regards a live member as lost: %s; plan:\n%s", i, lines, experiment.FormatPlan(plan))
		}
	}
}

// checkOneWayCut checks that the members' report names a link that is cut in one direction.
func checkOneWayCut(t *testing.T, rig *experiment.Rig) {
	t.Helper()
	rig.PlayFaults([]simulation.Fault{{Kind: "one-way", Process: 1, Destination: 2}})
	reported := func() bool {
		report, err := rig.RequestMemberReport(0)
		for _, m := range report.Members {
			if m.Slot == 2 && err == nil && len(m.Unheard) == 1 && m.Name == "n2" && m.Unheard[0] == "n1" {
				return true
			}
		}
		return false
	}
	plan := []simulation.Fault{{Kind: "one-way", StartMS: 0, DurationMS: 4000, Process: 1, Destination: 2}}
	played := make(chan error, 1)
	go func() { played <- rig.PlayFaults(plan) }()
	if _, ok := experiment.AwaitCondition(recoveryTimeout, func() bool { return reported() || len(played) > 0 }); !ok || !reported() && len(played) > 0 {
		t.Errorf("n0 does not report that n2 does not hear n1; plan:\n%s", experiment.FormatPlan(plan))
	}
	if err := <-played; err != nil {
		t.Fatal(err)
	}
}

// checkForgedDatagrams checks that forged datagrams, whose seal is invalid, are counted as unsealed
// and do not change n0's view of the members.
func checkForgedDatagrams(t *testing.T, rig *experiment.Rig) {
	t.Helper()
	before, err := rig.RequestMemberReport(0)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 500 {
		datagram := make([]byte, 20+i%236)
		datagram[0] = byte(i % 3)
		rig.Mesh.Inject(1+i%4, 0, datagram)
	}
	if _, ok := experiment.AwaitCondition(recoveryTimeout, func() bool {
		report, err := rig.RequestMemberReport(0)
		return err == nil && report.Counts["unsealed"] >= 50
	}); !ok {
		t.Errorf("n0 does not count 50 or more of 500 forged datagrams as unsealed within %v", recoveryTimeout)
	}
	if after, err := rig.RequestMemberReport(0); err != nil || after.Digest != before.Digest {
		t.Errorf("the view's digest is %v after a flood of forged datagrams, want %v; error %v", after.Digest, before.Digest, err)
	}
}

// checkFullDisk checks that a full disk is logged. The caller checks that the process continues to
// run.
func checkFullDisk(t *testing.T, rig *experiment.Rig) {
	t.Helper()
	plan := []simulation.Fault{{Kind: "full", DurationMS: 3000, Process: 1}}
	played := make(chan error, 1)
	go func() { played <- rig.PlayFaults(plan) }()
	experiment.AwaitCondition(recoveryTimeout, func() bool {
		rig.Suspend(1, true)
		rig.Suspend(1, false)
		return len(rig.Procs[1].LogLines("event=state_not_saved")) > 0
	})
	if err := <-played; err != nil {
		t.Fatal(err)
	}
	if len(rig.Procs[1].LogLines("event=state_not_saved")) == 0 {
		t.Errorf("n1 does not log event=state_not_saved on a full disk; plan:\n%s", experiment.FormatPlan(plan))
	}
}

// checkReplacedMember checks that the new process of a hot restart, which has a new incarnation, is
// the same member to all others: none sees n0 unreachable or left.
func checkReplacedMember(t *testing.T, rig *experiment.Rig) {
	t.Helper()
	if err := rig.Replace(0); err != nil {
		t.Fatal(err)
	}
	waitAllAlive(t, rig, "a hot restart")
	for i, p := range rig.Procs[1:] {
		if lines := slices.Concat(p.LogLines("name=n0 from=alive to=unreachable"), p.LogLines("name=n0 from=alive to=left")); len(lines) > 0 {
			t.Errorf("n%d regards the replaced member n0 as lost: %s", i+1, lines)
		}
	}
}

// checkKillAndLeave checks that the others distinguish a killed process from one that left, and
// starts both again.
func checkKillAndLeave(t *testing.T, rig *experiment.Rig) {
	t.Helper()
	rig.Procs[3].Kill()
	if err := rig.Procs[4].Stop(); err != nil {
		t.Fatal(err)
	}
	remaining := []int{0, 1, 2}
	if _, ok := rig.AwaitMemberState(recoveryTimeout, remaining, 3, membership.Unreachable.String(), membership.Gone.String()); !ok {
		t.Errorf("not all processes regard the killed n3 as unreachable or gone within %v", recoveryTimeout)
	}
	if _, ok := rig.AwaitMemberState(recoveryTimeout, remaining, 4, membership.Left.String()); !ok {
		t.Errorf("not all processes know within %v that the stopped n4 has left", recoveryTimeout)
	}
	for _, i := range []int{3, 4} {
		if err := rig.Start(i); err != nil {
			t.Fatal(err)
		}
	}
}

// TestMembersDiscoverOneAnotherThroughSeeds checks that two seed addresses are enough in a fleet
// whose members change: the third and the fourth process find each other through the seeds.
func TestMembersDiscoverOneAnotherThroughSeeds(t *testing.T) {
	const members = 4
	env, dir := &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}, t.TempDir()
	mesh, err := fake.NewMesh(members, 1) // provides addresses that no other process uses
	if err != nil {
		t.Fatal(err)
	}
	seeds := mesh.ListenAddr(0) + " " + mesh.ListenAddr(1)
	mesh.Close()
	socket := func(i int) string { return filepath.Join(dir, fmt.Sprint("n", i)) }
	for i := range members {
		path := socket(i) + ".sexp"
		text := fmt.Sprintf("(membership (on on) (listen %q) (seeds %q) (base 4) (socket %q))", mesh.ListenAddr(i), seeds, socket(i))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p, err := env.Proxy(experiment.Setup{Name: fmt.Sprint("n", i), Discovery: "127.0.0.1:1", InitialList: fake.List{Rev: 1, Complete: true, Targets: []fake.Entry{}},
			Settings: path, MaxDescriptors: 256, MemoryMB: 64, Env: asProgram})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
	}
	for i := range members {
		if _, ok := experiment.AwaitCondition(recoveryTimeout, func() bool {
			report, err := memberagent.RequestReport(socket(i))
			alive := 0
			for _, m := range report.Members {
				if m.State == membership.Alive.String() && m.HeardMS >= 0 {
					alive++
				}
			}
			return err == nil && alive == members-1 && report.Quorum
		}); !ok {
			report, err := memberagent.RequestReport(socket(i))
			t.Errorf("n%d has not found the %d others within %v: report %+v, error %v", i, members-1, recoveryTimeout, report, err)
		}
	}
}
