package soak

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"croftlock/internal/testbed/experiment"
)

// Command returns the soak command of croftlock-experiment, which runs several seeds in sequence.
// It fails if a rule was broken or a run had errors.
func Command() *cobra.Command {
	var opt Options
	var seeds uint64
	var program string
	self, _ := os.Executable()
	c := &cobra.Command{Use: "soak", Short: "Run many processes under overlapping faults, seed after seed; exit 1 if a rule was broken",
		Example: "  croftlock-experiment soak --seed 1 --seeds 20 --proxies 20 --length 30s", Args: cobra.NoArgs}
	c.Flags().Uint64Var(&opt.Seed, "seed", 1, "the first seed")
	c.Flags().Uint64Var(&seeds, "seeds", 1, "number of seeds")
	c.Flags().IntVar(&opt.Proxies, "proxies", 20, "number of proxies, 10 to 40")
	c.Flags().IntVar(&opt.Hosts, "hosts", 12, "number of catalogue servers")
	c.Flags().DurationVar(&opt.Length, "length", 30*time.Second, "time in which clients connect")
	c.Flags().Float64Var(&opt.Rate, "rate", 6, "requests per second at each proxy")
	c.Flags().IntVar(&opt.FaultCount, "faults", 120, "number of faults in that time")
	c.Flags().BoolVar(&opt.FailSystemCalls, "calls", true, "make system calls fail")
	c.Flags().BoolVar(&opt.Rules, "rules", false, "turn on the operators' settings, with rules that refuse a tenant")
	c.Flags().StringVar(&opt.LogDir, "logs", "", "directory for the processes' logs at debug level")
	c.Flags().StringVar(&program, "croftlock", filepath.Join(filepath.Dir(self), "croftlock"), "the program to run")
	c.RunE = func(*cobra.Command, []string) error {
		violations := 0
		for first := opt.Seed; opt.Seed < first+seeds; opt.Seed++ {
			n, err := runOne(program, opt)
			if err != nil {
				return err
			}
			violations += n
		}
		if violations > 0 {
			return errors.New("rules were broken")
		}
		return nil
	}
	return c
}

// runOne runs one seed and prints its result. The count of violations includes errors of the run
// itself.
func runOne(program string, opt Options) (violations int, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	r, err := Run(&experiment.Env{Croftlock: program, Dir: dir}, opt)
	if err != nil {
		return 0, err
	}
	fmt.Println(r)
	for _, v := range r.Violations {
		fmt.Println("  ", v)
	}
	for _, err := range r.Errors {
		fmt.Println("   error:", err)
	}
	return len(r.Violations) + len(r.Errors), nil
}
