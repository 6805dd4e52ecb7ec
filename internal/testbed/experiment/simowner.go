package experiment

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"croftlock/internal/fleet/ownership/simulation"
)

// simCommand plays the program's own decisions in virtual time.
func simCommand() *cobra.Command {
	root := &cobra.Command{Use: "sim", Short: "Play decisions in virtual time, many plans of faults"}
	var first, seeds, show int
	var fault string
	owner := &cobra.Command{Use: "owner", Args: cobra.NoArgs, Short: "Owners, with 3 and 5 voters, with disks and without",
		Example: "  croftlock-experiment sim owner --seeds 2000\n  croftlock-experiment sim owner --seeds 1000 --plant skip-sync",
		RunE: func(cmd *cobra.Command, _ []string) error {
			plant, known := plants[fault]
			if !known {
				return fmt.Errorf("no fault %q to plant; skip-sync, eager, from-answer and forget are known", fault)
			}
			began := time.Now()
			var mu sync.Mutex
			var sum simulation.Run
			var first1 error
			bad, at := 0, 0
			next := make(chan uint64)
			var busy sync.WaitGroup
			for range runtime.GOMAXPROCS(0) {
				busy.Add(1)
				go func() {
					defer busy.Done()
					for s := range next {
						c := simulation.Config{Processes: 5, Voters: 3 + 2*int(s/2%2), Jobs: 3, Disks: s%2 == 0, Seed: s}
						plant(&c)
						r := simulation.New(c)
						plan := r.Faults()
						err := r.Play()
						mu.Lock()
						if err != nil {
							if bad++; bad <= show {
								fmt.Fprintf(cmd.OutOrStdout(), "%v\n", err)
								for _, f := range plan {
									fmt.Fprintf(cmd.OutOrStdout(), "  %v\n", f)
								}
							}
							if first1 == nil || int(s) < at {
								first1, at = err, int(s)
							}
						}
						sum.Effects, sum.Refused, sum.Starts, sum.Notes = sum.Effects+r.Effects, sum.Refused+r.Refused, sum.Starts+r.Starts, sum.Notes+r.Notes
						sum.Leads, sum.Unsure, sum.Gaps = sum.Leads+r.Leads, sum.Unsure+r.Unsure, append(sum.Gaps, r.Gaps...)
						mu.Unlock()
					}
				}()
			}
			for s := first; s < first+seeds; s++ {
				next <- uint64(s)
			}
			close(next)
			busy.Wait()
			slices.Sort(sum.Gaps)
			fmt.Fprintf(cmd.OutOrStdout(), "%d plans from %d on in %v: %d failed; %d effects taken, %d old ones refused, %d beginnings, %d notes kept, %d leads, %d of them unsure\n",
				seeds, first, time.Since(began).Round(time.Second), bad, sum.Effects, sum.Refused, sum.Starts, sum.Notes, sum.Leads, sum.Unsure)
			if n := len(sum.Gaps); n > 0 {
				fmt.Fprintf(cmd.OutOrStdout(), "without an owner, %d times: median %d ms, p99 %d ms (plans cut majorities off, too)\n", n, sum.Gaps[n/2]/simulation.Ms, sum.Gaps[n*99/100]/simulation.Ms)
			}
			if bad > 0 {
				return fmt.Errorf("first found at seed %d", at)
			}
			return nil
		}}
	owner.Flags().IntVar(&first, "first", 1, "first seed")
	owner.Flags().IntVar(&seeds, "seeds", 2000, "how many")
	owner.Flags().IntVar(&show, "show", 1, "failures printed with their plans")
	owner.Flags().StringVar(&fault, "plant", "", "a fault to plant: skip-sync, eager, from-answer or forget")
	root.AddCommand(owner)
	return root
}

var plants = map[string]func(c *simulation.Config){
	"":            func(*simulation.Config) {},
	"skip-sync":   func(c *simulation.Config) { c.Disks, c.SkipSync = true, true },
	"eager":       func(c *simulation.Config) { c.Disks, c.Eager = false, true },
	"from-answer": func(c *simulation.Config) { c.FromAnswer = true },
	"forget":      func(c *simulation.Config) { c.Forget = true },
}
