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

// simCommand returns the command that simulates the program's decisions in virtual time.
func simCommand() *cobra.Command {
	root := &cobra.Command{Use: "sim", Short: "Simulate decisions in virtual time under many plans of faults"}
	var o simOptions
	owner := &cobra.Command{Use: "owner", Args: cobra.NoArgs, Short: "Simulate owners with 3 and 5 voters, with and without disks",
		Example: "  croftlock-experiment sim owner --seeds 2000\n  croftlock-experiment sim owner --seeds 1000 --plant skip-sync",
		RunE:    func(cmd *cobra.Command, _ []string) error { return o.run(cmd.OutOrStdout()) }}
	owner.Flags().IntVar(&o.firstSeed, "first", 1, "first seed")
	owner.Flags().IntVar(&o.seeds, "seeds", 2000, "number of seeds")
	owner.Flags().IntVar(&o.maxPrinted, "show", 1, "number of failures to print with their plans")
	owner.Flags().StringVar(&o.injectedFault, "plant", "", "fault to inject into the program: skip-sync, eager, from-answer or forget")
	root.AddCommand(owner)
	return root
}

// simOptions specify the plans that are simulated.
type simOptions struct {
	firstSeed, seeds int    // the first seed, and the number of seeds
	maxPrinted       int    // number of failures to print with their plans
	injectedFault    string // key of injectableFaults; a fault that the simulation must detect
}

// run simulates the plans on all cores and prints the totals. It returns an error if a plan failed.
func (o *simOptions) run(out io.Writer) error {
	inject, known := injectableFaults[o.injectedFault]
	if !known {
		return fmt.Errorf("unknown fault %q; known faults are skip-sync, eager, from-answer and forget", o.injectedFault)
	}
	startedAt := time.Now()
	totals := simTotals{out: out, maxPrinted: o.maxPrinted}
	parallel.ForEach(o.firstSeed, o.firstSeed+o.seeds, func(i int) {
		seed := uint64(i)
		c := simulation.Config{Processes: 5, Voters: 3 + 2*int(seed/2%2), Jobs: 3, Disks: seed%2 == 0, Seed: seed}
		inject(&c)
		totals.simulate(c)
	})
	totals.print(o, time.Since(startedAt))
	if totals.failed > 0 {
		return fmt.Errorf("%d of %d plans failed, the first at seed %d", totals.failed, o.seeds, totals.firstFailed)
	}
	return nil
}

// simTotals adds up the results of the plans.
type simTotals struct {
	out        io.Writer
	maxPrinted int // number of failures to print

	mu          sync.Mutex     // protects the fields below
	totals      simulation.Run // sums of the counts, and all owner gaps
	failed      int            // number of plans that failed
	firstFailed uint64         // smallest seed that failed; 0 if none has
}

// simulate simulates one plan and adds its result.
func (s *simTotals) simulate(c simulation.Config) {
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

// recordFailure counts a failed plan, and prints it if fewer than s.maxPrinted failures have been
// printed.
func (s *simTotals) recordFailure(seed uint64, plan []simulation.Fault, err error) {
	if s.failed == 0 || seed < s.firstFailed {
		s.firstFailed = seed
	}
	if s.failed++; s.failed > s.maxPrinted {
		return
	}
	fmt.Fprintf(s.out, "%v\n", err)
	for _, f := range plan {
		fmt.Fprintf(s.out, "  %v\n", f)
	}
}

// print writes the totals.
func (s *simTotals) print(o *simOptions, took time.Duration) {
	slices.Sort(s.totals.OwnerGaps)
	fmt.Fprintf(s.out, "%d plans from seed %d on in %v: %d failed; %d effects accepted, %d stale ones rejected, %d jobs started, %d checkpoints stored, %d elections, %d of them uncertain\n",
		o.seeds, o.firstSeed, took.Round(time.Second), s.failed, s.totals.AcceptedEffects, s.totals.RejectedEffects, s.totals.JobStarts, s.totals.Checkpoints, s.totals.Elections, s.totals.UncertainElections)
	if n := len(s.totals.OwnerGaps); n > 0 {
		fmt.Fprintf(s.out, "without an owner, %d times: median %d ms, p99 %d ms (plans also cut majorities off)\n", n, s.totals.OwnerGaps[n/2]/simulation.Ms, s.totals.OwnerGaps[n*99/100]/simulation.Ms)
	}
}

// injectableFaults holds the faults that can be injected into the program's decisions, by the value of
// --plant.
var injectableFaults = map[string]func(c *simulation.Config){
	"":            func(*simulation.Config) {},
	"skip-sync":   func(c *simulation.Config) { c.Disks, c.SkipSync = true, true },
	"eager":       func(c *simulation.Config) { c.Disks, c.ProgramFaults.SkipAbstention = false, true },
	"from-answer": func(c *simulation.Config) { c.ProgramFaults.StartLeaseAtReply = true },
	"forget":      func(c *simulation.Config) { c.ProgramFaults.ForgetTokens = true },
}
