package soak

import (
	"os"
	"strings"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
)

// environment returns an environment that runs the test binary as the proxy program.
func environment(t *testing.T) *experiment.Env {
	t.Helper()
	t.Setenv(asProgram, "1")
	t.Setenv("GORACE", "atexit_sleep_ms=0") // prevents the race detector from delaying each exit by a second
	return &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}
}

// TestSoak runs ten proxies under overlapping faults, with failing system calls in one of two
// seeds. It guards against a broken rule that clients, hosts or the processes' own logs show.
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		r := runWithoutViolations(t, Options{Seed: seed, Proxies: 10, Hosts: 8, Length: 10 * time.Second, Rate: 6, FaultCount: 40, FailSystemCalls: seed%2 == 0, SkewClocks: true})
		if r.Stopped < 10 || r.Answers[Served] < 100 {
			t.Errorf("too little load: %d processes stopped, %d requests served; want 10 and 100 or more: %v", r.Stopped, r.Answers[Served], r)
		}
	}
}

// TestSoakWithRules runs five proxies with the operators' settings, and replaces their processes. It guards
// against a process that serves what the fleet's rules refuse, and against one that serves a bad client
// with the ID of a request that is open at the other process.
func TestSoakWithRules(t *testing.T) {
	r := runWithoutViolations(t, Options{Seed: 3, Proxies: 5, Hosts: 6, Length: 15 * time.Second, Rate: 12, FaultCount: 25, Rules: true})
	if r.Stopped < 5 || r.Answers[Served] < 100 || r.Answers[Rejected] < 50 || r.UsedIDs < 5 {
		t.Errorf("too little load: %v; want 5 processes stopped, 100 requests served, 50 rejected and 5 with a used ID, or more", r)
	}
}

// runWithoutViolations runs a fleet. It fails the test if the fleet does not start, a rule is broken or the
// run has errors.
func runWithoutViolations(t *testing.T, opt Options) *Result {
	t.Helper()
	r, err := Run(environment(t), opt)
	if err != nil {
		t.Fatalf("seed %d: the fleet did not start: %v", opt.Seed, err)
	}
	t.Log(r)
	for _, v := range r.Violations {
		t.Errorf("seed %d: violation %v", opt.Seed, v)
	}
	for _, err := range r.Errors {
		t.Errorf("seed %d: error of the run: %v", opt.Seed, err)
	}
	if t.Failed() {
		t.Fatalf("seed %d: injected faults:\n%s", opt.Seed, strings.Join(r.Faults, "\n"))
	}
	return r
}
