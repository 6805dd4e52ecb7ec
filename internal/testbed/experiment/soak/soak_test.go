package soak

import (
	"os"
	"strings"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
)

// environment runs the test's own binary as the program.
func environment(t *testing.T) *experiment.Env {
	t.Helper()
	t.Setenv(asProgram, "1")
	t.Setenv("GORACE", "atexit_sleep_ms=0") // else the race detector delays each exit by a second
	return &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}
}

// TestSoak: ten proxies under overlapping faults for a short time break no rule, by what clients and hosts saw and by the processes' own logs.
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		r, err := Run(environment(t), Options{Seed: seed, Proxies: 10, Hosts: 8, Length: 10 * time.Second, Rate: 6, FaultCount: 40, FailSystemCalls: seed%2 == 0, SkewClocks: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Log(r)
		for _, v := range r.Violations {
			t.Error(v)
		}
		for _, err := range r.Errors {
			t.Error(err)
		}
		if t.Failed() {
			t.Fatal(strings.Join(r.Faults, "\n"))
		}
		if r.Stopped < 10 || r.Answers[Served] < 100 {
			t.Errorf("too little load: %d processes stopped, %d requests served; want 10 and 100 or more: %v", r.Stopped, r.Answers[Served], r)
		}
	}
}
