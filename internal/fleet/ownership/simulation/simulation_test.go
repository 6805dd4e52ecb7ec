package simulation

import (
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
)

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func config(seed uint64) Config {
	return Config{Processes: 5, Voters: 3 + 2*int(seed/2%2), Jobs: 3, Disks: seed%2 == 0, Seed: seed}
}

// outcome is what came of many plans.
type outcome struct {
	effects, refused int
	failure          error // the first; nil: none
	plan             []Fault
}

func (o *outcome) add(r *Run, plan []Fault, err error) {
	o.effects, o.refused = o.effects+r.Effects, o.refused+r.Rejected
	if err != nil && o.failure == nil {
		o.failure, o.plan = err, plan
	}
}

func (o *outcome) logPlan(t *testing.T) {
	t.Helper()
	for _, f := range o.plan {
		t.Log(f)
	}
}

// play plays seeds on all processors, up to the first failure.
func play(first, n int, config func(seed uint64) Config) (o outcome) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := range seeds {
				r := New(config(seed))
				plan := r.Faults()
				err := r.Play()
				mu.Lock()
				o.add(r, plan, err)
				mu.Unlock()
			}
		}()
	}
	failed := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return o.failure != nil
	}
	for seed := first; seed < first+n && !failed(); seed++ {
		seeds <- uint64(seed)
	}
	close(seeds)
	wg.Wait()
	return o
}

// TestPlans: OWNERS_SEEDS plans of faults from OWNERS_FIRST on, each checked at every step.
func TestPlans(t *testing.T) {
	o := play(envInt("OWNERS_FIRST", 1), envInt("OWNERS_SEEDS", 40), config)
	if o.failure != nil {
		t.Error(o.failure)
		o.logPlan(t)
	}
	if o.effects < 1000 || o.refused == 0 {
		t.Errorf("%d effects taken and %d refused show nothing", o.effects, o.refused)
	}
	t.Logf("%d effects taken, %d refused", o.effects, o.refused)
}

// TestPlantedFaults: each fault that was put in is found. By hand all plans from the first on are played; here those that lie just before one that
// finds it.
func TestPlantedFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant func(c *Config)
		first int
	}{
		{"a sync skipped", func(c *Config) { c.Disks, c.SkipSync = true, true }, 1},
		{"a voter that has started does not abstain", func(c *Config) { c.Disks, c.ProgramFaults.SkipAbstention = false, true }, 425},
		{"a lease counted from its answer", func(c *Config) { c.ProgramFaults.LeaseFromAnswer = true }, 118},
		{"a receiver forgets its fence", func(c *Config) { c.ProgramFaults.ForgetTokens = true }, 1},
	} {
		o := play(envInt("OWNERS_FIRST", c.first), 1000, func(s uint64) Config {
			x := config(s)
			c.plant(&x)
			return x
		})
		if o.failure == nil {
			t.Errorf("%s: not found in 1,000 plans", c.name)
			continue
		}
		t.Logf("%s: %v", c.name, o.failure)
		o.logPlan(t)
	}
}
