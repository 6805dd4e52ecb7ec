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

// memberCut cuts links in one direction, makes one deaf and one mute, and cuts two off from three.
func memberCut(e *Env, r *Report) error {
	rig, err := NewRig(e, 5, 1, labKey)
	if err != nil {
		return err
	}
	defer rig.Close()
	const table = "cuts among five, 8 s each"
	r.Head(table, "cut", "held for unreachable, not meant", "link named after", "views alike after healing")
	for _, c := range []struct {
		name string
		cut  func(i, j int) bool
		lost []int // whom the others may hold for unreachable
		by   int   // who is to say that it does not hear
	}{
		{"1 to 2", func(i, j int) bool { return i == 1 && j == 2 }, nil, 2},
		{"1 deaf", func(i, j int) bool { return j == 1 }, nil, 1},
		{"1 mute", func(i, j int) bool { return i == 1 }, []int{1}, -1},
		{"0, 1 from 2, 3, 4", func(i, j int) bool { return (i < 2) != (j < 2) }, []int{0, 1}, -1},
	} {
		if _, ok := rig.Whole(30 * time.Second); !ok {
			return fmt.Errorf("%s: not whole before", c.name)
		}
		set := func(on bool) {
			for i := range 5 {
				for j := range 5 {
					if i != j && c.cut(i, j) {
						rig.Mesh.Set(i, j, func(l *fake.Link) { l.Cut = on })
					}
				}
			}
		}
		set(true)
		began, named, wrong := time.Now(), time.Duration(-1), 0
		for time.Since(began) < 8*time.Second {
			rep, err := rig.Ask(3)
			if err != nil {
				return err
			}
			for _, m := range rep.Members {
				if m.Slot == c.by && len(m.Unheard) > 0 && named < 0 {
					named = time.Since(began)
				}
				if (m.State == "unreachable" || m.State == "gone") && !slices.Contains(c.lost, m.Slot) {
					wrong++
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		set(false)
		heal, ok := rig.Whole(20 * time.Second)
		if !ok {
			return fmt.Errorf("%s: not whole 20 s after healing", c.name)
		}
		r.Row(table, c.name, wrong, named, heal)
		r.Hold(wrong == 0, c.name+": the majority gives nobody up whom it hears", wrong)
		r.Hold(heal < 3*time.Second, c.name+": views alike within 3 s of healing", heal)
		if c.by >= 0 {
			r.Hold(named >= 0 && named < 3*time.Second, c.name+": the cut is named within 3 s", named)
		}
	}
	return nil
}

// membersCommand asks a running proxy who is there.
func membersCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "members SOCKET", Short: "Ask a running proxy which others are there", Args: cobra.ExactArgs(1),
		Long:    "Asks over the Unix socket that the operators' file names: (membership (socket \"/run/croftlock/members.sock\")).",
		Example: "  croftlock-experiment members /run/croftlock/members.sock --json",
		RunE: func(cmd *cobra.Command, args []string) error {
			rep, err := memberagent.Ask(args[0])
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(rep)
			}
			return rep.Print(cmd.OutOrStdout())
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}
