package simulation

import (
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
)

func number(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

func config(seed uint64) Config {
	return Config{Processes: 5, Voters: 3 + 2*int(seed/2%2), Jobs: 3, Disks: seed%2 == 0, Seed: seed}
}

// play plays seeds on all processors, and gives the first that fails.
func play(first, n int, config func(seed uint64) Config) (effects, refused int, plan []Fault, worst error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for s := range next {
				r := New(config(s))
				p := r.plan
				err := r.Play()
				mu.Lock()
				effects, refused = effects+r.Effects, refused+r.Refused
				if err != nil && worst == nil {
					worst, plan = err, p
				}
				mu.Unlock()
			}
		}()
	}
	for s := first; s < first+n; s++ {
		mu.Lock()
		found := worst != nil
		mu.Unlock()
		if found {
			break
		}
		next <- uint64(s)
	}
	close(next)
	wg.Wait()
	return effects, refused, plan, worst
}

// TestPlans: OWNERS_SEEDS plans of faults from OWNERS_FIRST on, each checked at every step.
func TestPlans(t *testing.T) {
	effects, refused, plan, err := play(number("OWNERS_FIRST", 1), number("OWNERS_SEEDS", 40), config)
	if err != nil {
		t.Error(err)
		for _, f := range plan {
			t.Log(f)
		}
	}
	if effects < 1000 || refused == 0 {
		t.Errorf("%d effects taken and %d refused show nothing", effects, refused)
	}
	t.Logf("%d effects taken, %d refused", effects, refused)
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
		{"a voter that has started does not abstain", func(c *Config) { c.Disks, c.Eager = false, true }, 425},
		{"a lease counted from its answer", func(c *Config) { c.FromAnswer = true }, 118},
		{"a receiver forgets its fence", func(c *Config) { c.Forget = true }, 1},
	} {
		_, _, plan, err := play(number("OWNERS_FIRST", c.first), 1000, func(s uint64) Config {
			x := config(s)
			c.plant(&x)
			return x
		})
		if err == nil {
			t.Errorf("%s: not found in 1,000 plans", c.name)
		} else {
			t.Logf("%s: %v", c.name, err)
			for _, f := range plan {
				t.Log(f)
			}
		}
	}
}
