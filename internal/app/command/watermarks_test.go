package command

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// watermarkTest is a rig of five proxy processes, each with a discovery service of its own, and
// clients at each process. The processes exchange watermarks: a watermark tells processes with an
// older endpoint list that a host is draining or gone.
type watermarkTest struct {
	*testing.T
	rig     *experiment.Rig
	entries []fake.Entry      // of hosts a, b and c
	lists   []*fake.Discovery // the discovery services, by process
	clients *clientLoop
}

// newWatermarkTest starts the hosts, the discovery services, the processes and the clients, and
// waits until all processes see one another alive.
func newWatermarkTest(t *testing.T) *watermarkTest {
	t.Helper()
	const processes = 5
	w := &watermarkTest{T: t, entries: newHosts(t, "z", "a", "b", "c").Entries()}
	for range processes {
		d, err := fake.NewDiscovery(w.entries...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Close)
		w.lists = append(w.lists, d)
	}
	rigSlots <- struct{}{}
	t.Cleanup(func() { <-rigSlots })
	var err error
	w.rig, err = experiment.NewRigWithOptions(&experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}, experiment.RigOptions{Processes: processes, Seed: 4, Key: sealKey,
		LogLevel: "debug", Discoveries: w.lists, SettingsSections: `(floors (on on) (source lab) (within 500ms))`, Env: asProgram})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.rig.Close)
	w.waitAt("it sees all others alive", w.seesAll, 0, 1, 2, 3, 4)
	w.clients = startClientLoop(t, w.rig, 10*time.Millisecond, func(int) string { return "" })
	return w
}

// seesAll reports whether process i sees all others alive.
func (w *watermarkTest) seesAll(i int) bool {
	report, err := w.rig.RequestMemberReport(i)
	alive := 0
	for _, m := range report.Members {
		if m.State == "alive" {
			alive++
		}
	}
	return err == nil && alive >= len(w.rig.Procs)-1
}

// waitAt waits until holds returns true for each of the processes, and fails the test after
// recoveryTimeout. condition describes what holds checks, for the failure message.
func (w *watermarkTest) waitAt(condition string, holds func(i int) bool, processes ...int) {
	w.Helper()
	for _, i := range processes {
		if _, ok := experiment.AwaitCondition(recoveryTimeout, func() bool { return holds(i) }); !ok {
			w.Fatalf("n%d: not reached within %v: %s", i, recoveryTimeout, condition)
		}
	}
}

// logged returns a function that reports whether process i has logged a line that contains event.
func (w *watermarkTest) logged(event string) func(i int) bool {
	return func(i int) bool { return len(w.rig.Procs[i].LogLines(event)) > 0 }
}

// attemptsAfter returns the number of attempts at a host that process i logged after a time.
func (w *watermarkTest) attemptsAfter(i int, host string, after time.Time) (n int) {
	w.Helper()
	for _, line := range w.rig.Procs[i].LogLines("event=attempt_started ") {
		if strings.Contains(line+" ", " host="+host+" ") && loggedAt(w.T, line).After(after) {
			n++
		}
	}
	return n
}

// maxLogDelay is the maximum time between the decision on an attempt and its log line.
const maxLogDelay = 100 * time.Millisecond

// TestWatermarksAmongProcesses checks that a host's state in one process's list applies at all
// processes, including one that was paused, and one that was cut off once it receives datagrams
// again. A newer list ends a watermark.
func TestWatermarksAmongProcesses(t *testing.T) {
	t.Parallel()
	w := newWatermarkTest(t)
	w.waitAt("it has attempts at a", func(i int) bool { return w.attemptsAfter(i, "a", time.Time{}) > 0 }, 0, 1, 2, 3, 4)
	w.drainOfOneList()
	w.returnOfDrainedHost()
	w.removalWithDiscoveryDown()
	w.clients.check(t, 100)
	for i, p := range w.rig.Procs {
		if lines := p.LogLines("panic"); len(lines) > 0 {
			t.Errorf("n%d panicked: %s", i, strings.Join(lines, "\n"))
		}
	}
}

// drainOfOneList makes host a drain in n0's list only, while n4 is cut off and n3 is paused. The
// others must stop attempts at a when they receive the watermark.
func (w *watermarkTest) drainOfOneList() {
	w.Helper()
	applied := w.logged("event=watermark_applied host=a state=draining")
	w.rig.SetCutOff(4, true)
	w.clients.paused[3].Store(true)
	w.rig.Procs[3].Signal(syscall.SIGSTOP)
	w.lists[0].SetState("a", "draining")
	w.waitAt("it applies the watermark that a drains", applied, 1, 2)
	w.rig.Procs[3].Signal(syscall.SIGCONT)
	w.clients.paused[3].Store(false)
	w.waitAt("after its pause it applies the watermark that a drains", applied, 3)
	appliedByThree := time.Now().UTC()
	w.waitAt("it fetches its list again", w.logged("event=list_behind"), 1, 2, 3)
	// A watermark does not apply at a process that it cannot reach.
	w.waitAt("it continues attempts at a while it is cut off", func(i int) bool { return w.attemptsAfter(i, "a", appliedByThree) > 3 }, 4)
	w.rig.SetCutOff(4, false)
	w.waitAt("after the cut it applies the watermark that a drains", applied, 4)
	appliedByAll := time.Now().UTC()
	time.Sleep(time.Second)
	for i := range w.rig.Procs {
		since := appliedByThree
		if i == 4 {
			since = appliedByAll
		}
		if n := w.attemptsAfter(i, "a", since.Add(maxLogDelay)); n > 0 {
			w.Errorf("n%d: %d attempts at a after it applied the watermark, want 0", i, n)
		}
	}
}

// returnOfDrainedHost updates the other lists and then lists host a with a new start in all of
// them. Watermarks must not exclude it any more.
func (w *watermarkTest) returnOfDrainedHost() {
	w.Helper()
	for _, d := range w.lists[1:] {
		d.SetState("a", "draining")
	}
	restarted := w.entries[0]
	restarted.BootMS = time.Now().UnixMilli()
	for _, d := range w.lists {
		d.Set(restarted)
	}
	listedAt := time.Now().UTC()
	w.waitAt("a is up again and gets attempts", func(i int) bool { return w.attemptsAfter(i, "a", listedAt) > 0 }, 0, 1, 2, 3, 4)
}

// removalWithDiscoveryDown removes host b from all lists but n2's, whose discovery is down. n2 must
// apply the others' watermark.
func (w *watermarkTest) removalWithDiscoveryDown() {
	w.Helper()
	w.lists[2].SetDown(true)
	for i, d := range w.lists {
		if i != 2 {
			d.SetState("b", "removed")
		}
	}
	w.waitAt("it applies the watermark that b is removed", w.logged("event=watermark_applied host=b state=draining"), 2)
	appliedAt := time.Now().UTC()
	time.Sleep(500 * time.Millisecond)
	if n := w.attemptsAfter(2, "b", appliedAt.Add(maxLogDelay)); n > 0 {
		w.Errorf("n2: %d attempts at b after it applied the watermark, want 0", n)
	}
}
