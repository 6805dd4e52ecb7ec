package experiment

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// experiment is an experiment that the run command starts by its name.
type experiment struct {
	name, short string // name on the command line, and a summary for the list command
	run         func(e *Env, r *Report) error
}

// experiments lists all experiments in the order in which the list command prints them.
var experiments = []experiment{
	{"tls-cost", "what TLS to servers costs: handshakes, lines, memory; about 90 s", tlsCost},
	{"tls-rotation", "six replacements of certificates under load; 35 s", tlsRotation},
	{"tls-storm", "500 clients of a drained server reconnect with handshakes at once; 25 s", tlsStorm},
	{"ops-upgrade", "20 hot restarts under load, and a death at each step of one; 60 s", opsUpgrade},
	{"ops-hand", "a suspended host, through list changes and hot restarts; 45 s", opsSuspend},
	{"ops-figures", "metrics against the counts of clients and hosts, operators' calls under load, CPU; 45 s", opsMetrics},
	{"member-kill", "one, and a third, of 5 and 15 processes killed, 20 turns; 5 min", memberKill},
	{"member-pause", "a process paused for up to 10 s; 40 s", memberPause},
	{"member-loss", "a fifth of all datagrams lost for 5 minutes, then a death; 5.5 min", memberLoss},
	{"member-cut", "links cut in one direction, and two processes cut off; 60 s", memberCut},
	{"member-cost", "cost of failure detectors, in virtual time; 60 s", memberCost},
	{"owner-late", "owners that act late: paused, delayed, or cut off in one direction; 4 min", ownerLate},
	{"owner-chaos", "a fault every 2 s for two minutes, under clients and operators; 4.5 min", ownerChaos},
	{"owner-disk", "each disk fault at each replica; 5 min", ownerDisk},
	{"owner-handover", "jobs of processes that shut down or are replaced; 90 s", ownerHandover},
	{"owner-cost", "cost of owners, 3 and 5 replicas, with disks and without; 5 min", ownerCost},
	{"rules-agree", "a change each 200 ms, 500 placements a second, a fault every 2 s; 5 min", rulesAgree},
	{"rules-cut", "a change beside each cut, pause and death of a process; 5 min", rulesCut},
	{"bad-clients", "sound clients beside bad ones, at the platform's largest and smallest limits; 4 min", badClients},
	{"tls-bad", "every faulty server, its outcome and reason; 20 s", tlsBad},
}

// program holds the global flags and the result of the experiments.
type program struct {
	self      string // path of croftlock-experiment
	proxy     string // path of the croftlock program that experiments run
	earlier   string // path of an earlier croftlock build; empty if there is none
	reportDir string // directory for reports; if empty, none are saved
	boundsOK  bool   // whether all bounds so far were met
}

// Main runs croftlock-experiment's command line, which has the commands of this package and the given
// ones. It returns the exit status: 1 after an error or a missed bound, otherwise 0.
func Main(args []string, commands ...*cobra.Command) int {
	self, _ := os.Executable()
	p := &program{self: self, boundsOK: true}
	root := &cobra.Command{Use: "croftlock-experiment", Short: "Experiments with croftlock on loopback", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&p.proxy, "croftlock", filepath.Join(filepath.Dir(self), "croftlock"), "the program to run")
	root.PersistentFlags().StringVar(&p.earlier, "earlier", "", "an earlier build: in ops-upgrade it and the program replace each other in turn")
	root.PersistentFlags().StringVar(&p.reportDir, "out", "", "directory in which to save the report as JSON")
	root.AddCommand(fleetCommand(), membersCommand(), simCommand(), listCommand(), p.runCommand(), p.demoCommand(), relayCommand())
	root.AddCommand(commands...)
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "croftlock-experiment:", err)
		return 1
	}
	if !p.boundsOK {
		return 1
	}
	return 0
}

// listCommand returns the command that prints the names and summaries of all experiments.
func listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "Name the experiments", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			for _, e := range experiments {
				fmt.Fprintf(cmd.OutOrStdout(), "%-14s %s\n", e.name, e.short)
			}
		}}
}

// runCommand returns the command that runs the named experiments in sequence. It stops at the first
// one that returns an error; a missed bound does not stop it.
func (p *program) runCommand() *cobra.Command {
	return &cobra.Command{Use: "run NAME...", Short: "Run experiments; exit with status 1 if a bound is missed",
		Example: "  croftlock-experiment run tls-bad tls-storm --out reports", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			for _, name := range args {
				found := experimentNamed(name)
				if found == nil {
					return fmt.Errorf("no experiment %q; croftlock-experiment list names them", name)
				}
				if err := p.run(*found); err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
			}
			return nil
		}}
}

// demoCommand returns the command that runs the demo.
func (p *program) demoCommand() *cobra.Command {
	return &cobra.Command{Use: "demo", Short: "A discovery, three servers, one proxy and some clients, on loopback",
		Example: "  croftlock-experiment demo", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return p.run(experiment{name: "demo", run: demo}) }}
}

// relayCommand returns the hidden command that experiments run as a separate relay process.
func relayCommand() *cobra.Command {
	var o relayOptions
	c := &cobra.Command{Use: "relay", Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return o.run() }}
	c.Flags().StringVar(&o.upstream, "to", "", "")
	c.Flags().StringVar(&o.trust, "trust", "", "")
	c.Flags().StringVar(&o.serverName, "name", "", "")
	return c
}

// experimentNamed returns the experiment with the given name, or nil if there is none.
func experimentNamed(name string) *experiment {
	for i := range experiments {
		if experiments[i].name == name {
			return &experiments[i]
		}
	}
	return nil
}

// run runs an experiment, prints its report and saves it if p.reportDir is set.
func (p *program) run(x experiment) error {
	r, err := x.runInOwnFolder(&Env{Croftlock: p.proxy, EarlierBuild: p.earlier, Self: p.self})
	if err != nil {
		return err
	}
	r.Print(os.Stdout)
	p.boundsOK = p.boundsOK && r.OK()
	if p.reportDir != "" {
		return r.Save(p.reportDir)
	}
	return nil
}

// runInOwnFolder runs the experiment with a temporary directory as e.Dir, which it removes afterwards.
func (x experiment) runInOwnFolder(e *Env) (*Report, error) {
	if _, err := os.Stat(e.Croftlock); err != nil {
		return nil, fmt.Errorf("the program to run (set by --croftlock): %v", err)
	}
	dir, err := os.MkdirTemp("", "croftlock-experiment")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	defer cleanUpOnInterrupt(dir)()
	defer killAll()
	e.Dir = dir
	e.Logf = func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, "%s "+format+"\n", append([]any{time.Now().UTC().Format("15:04:05")}, args...)...)
	}
	r := &Report{Name: x.name, StartedAt: time.Now()}
	err = x.run(e, r)
	r.Took = time.Since(r.StartedAt)
	return r, err
}

// cleanUpOnInterrupt kills the experiment's processes, removes dir and exits with status 130 on SIGINT
// or SIGTERM, until end is called.
func cleanUpOnInterrupt(dir string) (end func()) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		if _, ok := <-stop; ok {
			killAll()
			os.RemoveAll(dir)
			os.Exit(130)
		}
	}()
	return func() { signal.Stop(stop); close(stop) }
}
