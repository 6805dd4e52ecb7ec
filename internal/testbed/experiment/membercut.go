package experiment

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/testbed/fake"
)

// linkCut is a set of cut links among five processes.
type linkCut struct {
	name             string
	cut              func(from, to int) bool // reports whether the link is cut
	mayBeUnreachable []int                   // processes that the majority may report as unreachable
	reportedBy       int                     // process that must report the cut link; -1 if none
}

// linkCuts lists the cuts of the experiment member-cut, in order.
var linkCuts = []linkCut{
	{"1 to 2", func(from, to int) bool { return from == 1 && to == 2 }, nil, 2},
	{"1 inbound", func(_, to int) bool { return to == 1 }, nil, 1},
	{"1 outbound", func(from, _ int) bool { return from == 1 }, []int{1}, -1},
	{"0, 1 from 2, 3, 4", func(from, to int) bool { return (from < 2) != (to < 2) }, []int{0, 1}, -1},
}

// cutDuration is the duration of each cut.
const cutDuration = 8 * time.Second

// memberCut cuts one link in one direction, then all links to a process, all links from it, and all
// links between two processes and the other three.
func memberCut(e *Env, r *Report) error {
	rig, err := NewRig(e, 5, 1, sealKey)
	if err != nil {
		return err
	}
	defer rig.Close()
	const table = "cuts among five, 8 s each"
	r.StartTable(table, "cut", "wrongly unreachable", "cut link reported after", "all alive after healing")
	for _, c := range linkCuts {
		if _, ok := rig.AwaitAllAlive(30 * time.Second); !ok {
			return fmt.Errorf("%s: not all processes are alive after 30 s, before the cut", c.name)
		}
		rig.applyToLinks(c.cut, func(l *fake.Link) { l.Cut = true })
		seen, err := c.observe(rig)
		if err != nil {
			return err
		}
		rig.applyToLinks(c.cut, func(l *fake.Link) { l.Cut = false })
		recovered, ok := rig.AwaitAllAlive(20 * time.Second)
		if !ok {
			return fmt.Errorf("%s: not all processes are alive 20 s after the cut ended", c.name)
		}
		r.AddRow(table, c.name, seen.falselyUnreachable, seen.reportedAfter, recovered)
		r.Check(seen.falselyUnreachable == 0, c.name+": the majority has no process as unreachable that it hears", seen.falselyUnreachable)
		r.Check(recovered < 3*time.Second, c.name+": all alive within 3 s of healing", recovered)
		if c.reportedBy >= 0 {
			r.Check(seen.reportedAfter >= 0 && seen.reportedAfter < 3*time.Second, c.name+": the cut link is reported within 3 s", seen.reportedAfter)
		}
	}
	return nil
}

// cutObservation summarizes a process's view of the members during a cut.
type cutObservation struct {
	reportedAfter      time.Duration // from the cut to the report of the cut link; -1 if not reported
	falselyUnreachable int           // members wrongly unreachable or gone, added up over all polls
}

// observe polls the view of process 3, which is in the majority during every cut, for the duration
// of the cut.
func (c *linkCut) observe(rig *Rig) (seen cutObservation, err error) {
	seen.reportedAfter = -1
	for startedAt := time.Now(); time.Since(startedAt) < cutDuration; time.Sleep(50 * time.Millisecond) {
		report, err := rig.RequestMemberReport(3)
		if err != nil {
			return seen, err
		}
		for _, m := range report.Members {
			if m.Slot == c.reportedBy && len(m.Unheard) > 0 && seen.reportedAfter < 0 {
				seen.reportedAfter = time.Since(startedAt)
			}
			if (m.State == "unreachable" || m.State == "gone") && !slices.Contains(c.mayBeUnreachable, m.Slot) {
				seen.falselyUnreachable++
			}
		}
	}
	return seen, nil
}

// membersCommand returns the command that prints a running proxy's view of the members.
func membersCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "members SOCKET", Short: "Ask a running proxy for its view of the members", Args: cobra.ExactArgs(1),
		Long:    "Asks over the Unix socket that the settings file sets, such as (membership (socket \"/run/croftlock/members.sock\")).",
		Example: "  croftlock-experiment members /run/croftlock/members.sock --json",
		RunE: func(cmd *cobra.Command, args []string) error {
			report, err := memberagent.RequestReport(args[0])
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(report)
			}
			return report.Print(cmd.OutOrStdout())
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}
