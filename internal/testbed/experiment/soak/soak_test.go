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
		r, err := Run(environment(t), Options{Seed: seed, Proxies: 10, Hosts: 8, Length: 10 * time.Second, Rate: 6, FaultCount: 40, FailSystemCalls: seed%2 == 0, SkewClocks: true})
		if err != nil {
			t.Fatalf("seed %d: the fleet did not start: %v", seed, err)
		}
		t.Log(r)
		for _, v := range r.Violations {
			t.Errorf("seed %d: violation %v", seed, v)
		}
		for _, err := range r.Errors {
			t.Errorf("seed %d: error of the run: %v", seed, err)
		}
		if t.Failed() {
			t.Fatalf("seed %d: injected faults:\n%s", seed, strings.Join(r.Faults, "\n"))
		}
		if r.Stopped < 10 || r.Answers[Served] < 100 {
			t.Errorf("too little load: %d processes stopped, %d requests served; want 10 and 100 or more: %v", r.Stopped, r.Answers[Served], r)
		}
	}
}
