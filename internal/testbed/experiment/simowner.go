package experiment

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"croftlock/internal/fleet/ownership/simulation"
	"croftlock/internal/testbed/parallel"
)

// simCommand plays the program's own decisions in virtual time.
func simCommand() *cobra.Command {
	root := &cobra.Command{Use: "sim", Short: "Play decisions in virtual time, many plans of faults"}
	var o simOptions
	owner := &cobra.Command{Use: "owner", Args: cobra.NoArgs, Short: "Owners, with 3 and 5 voters, with disks and without",
		Example: "  croftlock-experiment sim owner --seeds 2000\n  croftlock-experiment sim owner --seeds 1000 --plant skip-sync",
		RunE:    func(cmd *cobra.Command, _ []string) error { return o.run(cmd.OutOrStdout()) }}
	owner.Flags().IntVar(&o.firstSeed, "first", 1, "first seed")
	owner.Flags().IntVar(&o.seeds, "seeds", 2000, "how many")
	owner.Flags().IntVar(&o.show, "show", 1, "failures printed with their plans")
	owner.Flags().StringVar(&o.plantedFault, "plant", "", "a fault to plant: skip-sync, eager, from-answer or forget")
	root.AddCommand(owner)
	return root
}

// simOptions say which plans are played.
type simOptions struct {
	firstSeed, seeds int    // seeds from first on
	show             int    // failures that are printed with their plans
	plantedFault     string // in plants: a fault that the simulation has to find
}

// run plays the plans, on all cores, and prints the sums.
func (o *simOptions) run(out io.Writer) error {
	plant, known := plantedFaults[o.plantedFault]
	if !known {
		return fmt.Errorf("no fault %q to plant; skip-sync, eager, from-answer and forget are known", o.plantedFault)
	}
	startedAt := time.Now()
	sum := simTotals{out: out, show: o.show}
	parallel.ForEach(o.firstSeed, o.firstSeed+o.seeds, func(i int) {
		seed := uint64(i)
		c := simulation.Config{Processes: 5, Voters: 3 + 2*int(seed/2%2), Jobs: 3, Disks: seed%2 == 0, Seed: seed}
		plant(&c)
		sum.play(c)
	})
	sum.print(o, time.Since(startedAt))
	if sum.failed > 0 {
		return fmt.Errorf("first found at seed %d", sum.firstFailed)
	}
	return nil
}

// simTotals adds up the plans' results.
type simTotals struct {
	out  io.Writer
	show int // failures that are printed

	mu          sync.Mutex
	totals      simulation.Run // sums
	failed      int
	firstFailed uint64 // smallest seed that failed
}

// play plays one plan and adds its result.
func (s *simTotals) play(c simulation.Config) {
	r := simulation.New(c)
	plan := r.Faults()
	err := r.Play()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.recordFailure(c.Seed, plan, err)
	}
	s.totals.AcceptedEffects += r.AcceptedEffects
	s.totals.RejectedEffects += r.RejectedEffects
	s.totals.JobStarts += r.JobStarts
	s.totals.Checkpoints += r.Checkpoints
	s.totals.Elections += r.Elections
	s.totals.UncertainElections += r.UncertainElections
	s.totals.OwnerGaps = append(s.totals.OwnerGaps, r.OwnerGaps...)
}

// recordFailure records a plan that failed, and prints the first ones.
func (s *simTotals) recordFailure(seed uint64, plan []simulation.Fault, err error) {
	if s.failed == 0 || seed < s.firstFailed {
		s.firstFailed = seed
	}
	if s.failed++; s.failed > s.show {
		return
	}
	fmt.Fprintf(s.out, "%v\n", err)
	for _, f := range plan {
		fmt.Fprintf(s.out, "  %v\n", f)
	}
}

// print writes the sums.
func (s *simTotals) print(o *simOptions, took time.Duration) {
	slices.Sort(s.totals.OwnerGaps)
	fmt.Fprintf(s.out, "%d plans from seed %d on in %v: %d failed; %d effects accepted, %d stale ones rejected, %d jobs started, %d checkpoints stored, %d elections, %d of them uncertain\n",
		o.seeds, o.firstSeed, took.Round(time.Second), s.failed, s.totals.AcceptedEffects, s.totals.RejectedEffects, s.totals.JobStarts, s.totals.Checkpoints, s.totals.Elections, s.totals.UncertainElections)
	if n := len(s.totals.OwnerGaps); n > 0 {
		fmt.Fprintf(s.out, "without an owner, %d times: median %d ms, p99 %d ms (plans also cut majorities off)\n", n, s.totals.OwnerGaps[n/2]/simulation.Ms, s.totals.OwnerGaps[n*99/100]/simulation.Ms)
	}
}

// plantedFaults are the faults that can be planted in the program's decisions.
var plantedFaults = map[string]func(c *simulation.Config){
	"":            func(*simulation.Config) {},
	"skip-sync":   func(c *simulation.Config) { c.Disks, c.SkipSync = true, true },
	"eager":       func(c *simulation.Config) { c.Disks, c.ProgramFaults.SkipAbstention = false, true },
	"from-answer": func(c *simulation.Config) { c.ProgramFaults.StartLeaseAtReply = true },
	"forget":      func(c *simulation.Config) { c.ProgramFaults.ForgetTokens = true },
}
