package simulation

import (
	"os"
	"strconv"
	"sync"
	"testing"

	"croftlock/internal/testbed/golden"
)

// envInt returns a number from an environment variable, or fallback if it is not set or not a
// number. The variables allow longer manual runs.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// fleetConfig returns the configuration for a seed: five processes and three jobs. Even seeds have voters
// with disks, and two seeds with 3 voters alternate with two with 5.
func fleetConfig(seed uint64) Config {
	return Config{Processes: 5, Voters: 3 + 2*int(seed/2%2), Jobs: 3, Disks: seed%2 == 0, Seed: seed}
}

// outcome holds the totals and the first failure of many plans. It is safe for concurrent use.
type outcome struct {
	mu                               sync.Mutex
	acceptedEffects, rejectedEffects int
	failure                          error   // of the first plan that failed; nil if none has
	failedPlan                       []Fault // the faults of that plan
}

// add adds the results of a plan that was played.
func (o *outcome) add(r *Run, plan []Fault, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acceptedEffects += r.AcceptedEffects
	o.rejectedEffects += r.RejectedEffects
	if err != nil && o.failure == nil {
		o.failure, o.failedPlan = err, plan
	}
}

// failed reports whether a plan has failed.
func (o *outcome) failed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failure != nil
}

// logFailedPlan logs the faults of the plan that failed first.
func (o *outcome) logFailedPlan(t *testing.T) {
	t.Helper()
	for _, f := range o.failedPlan {
		t.Logf("fault in the failed plan: %v", f)
	}
}

// play plays the plans of n seeds, starting with first, on all processors. It stops after the first
// failure.
func play(first, n int, config func(seed uint64) Config) *outcome {
	o := &outcome{}
	golden.InParallel(first, first+n, func(seed int) {
		if o.failed() {
			return
		}
		r := New(config(uint64(seed)))
		plan := r.Faults()
		o.add(r, plan, r.Play())
	})
	return o
}

// TestPlans plays plans of faults, which are checked at every step. The environment variables
// OWNERS_FIRST and OWNERS_SEEDS set the first seed and the number of plans.
func TestPlans(t *testing.T) {
	o := play(envInt("OWNERS_FIRST", 1), envInt("OWNERS_SEEDS", 40), fleetConfig)
	if o.failure != nil {
		t.Errorf("first failed plan: %v", o.failure)
		o.logFailedPlan(t)
	}
	if o.acceptedEffects < 1000 || o.rejectedEffects == 0 {
		t.Errorf("%d effects accepted and %d rejected as stale, want at least 1000 and 1: too few for the checks to mean anything", o.acceptedEffects, o.rejectedEffects)
	}
	t.Logf("%d effects accepted, %d rejected as stale", o.acceptedEffects, o.rejectedEffects)
}

// TestInjectedFaults tests that the checks detect each injected fault within 1,000 plans. firstSeed
// is at or shortly before the seed of a plan that detects it, which keeps the test short. The
// environment variable OWNERS_FIRST overrides it; 1 starts with the first plan.
func TestInjectedFaults(t *testing.T) {
	for _, c := range []struct {
		name      string
		inject    func(c *Config)
		firstSeed int
	}{
		{"the disk skips a sync", func(c *Config) { c.Disks, c.SkipSync = true, true }, 1},
		{"a voter that has just started does not abstain", func(c *Config) { c.Disks, c.ProgramFaults.SkipAbstention = false, true }, 425},
		{"a lease starts at its reply", func(c *Config) { c.ProgramFaults.StartLeaseAtReply = true }, 118},
		{"a receiver forgets its fencing tokens", func(c *Config) { c.ProgramFaults.ForgetTokens = true }, 1},
	} {
		o := play(envInt("OWNERS_FIRST", c.firstSeed), 1000, func(seed uint64) Config {
			cfg := fleetConfig(seed)
			c.inject(&cfg)
			return cfg
		})
		if o.failure == nil {
			t.Errorf("%s: not detected in 1,000 plans from seed %d on", c.name, envInt("OWNERS_FIRST", c.firstSeed))
			continue
		}
		t.Logf("%s: detected: %v", c.name, o.failure)
		o.logFailedPlan(t)
	}
}
