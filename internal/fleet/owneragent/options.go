package owneragent

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/operations/settings"
)

// Options are the section (owners …).
type Options struct {
	On     bool
	Group  string
	Voters []string
	Dir    string // "": voters keep nothing on disk
	MostKB int
	Hosts  bool
	Pace   int // moves a second over the whole fleet; 0: not paced
	Drill  int
	Each   int // milliseconds between two numbers of a drill
	Socket string
	Rules  Rules
}

// Section is the operators' say.
func Section() settings.Section {
	return settings.Section{Name: "owners", Doc: "one owner at a time for the fleet's work", Bind: func(f *settings.Form) any {
		o := Options{Group: "croftlock", MostKB: 8192, Each: 100}
		f.Bool("on", "whether this proxy takes part; membership has to be on too", &o.On)
		f.Text("group", "name of the group of voters; others' messages are refused", "a name", &o.Group, func(s string) bool { return s != "" && len(s) <= 64 })
		var list string
		f.Text("voters", "names of the proxies that vote, 1 to 7, the same list everywhere, with spaces between", "names", &list, func(s string) bool {
			o.Voters = strings.Fields(s)
			sorted := slices.Clone(o.Voters)
			slices.Sort(sorted)
			return len(sorted) > 0 && len(sorted) <= 7 && len(slices.Compact(sorted)) == len(o.Voters)
		})
		f.Path("dir", "folder in which a voter keeps its log and votes, on a disk that lasts; without it voters go by memory", &o.Dir)
		f.Int("most_kb", "bound of a voter's store, in KiB", &o.MostKB, 1024, 1<<20)
		f.Bool("hosts", "whether hosts can be taken out for the whole fleet: croftlock fleet suspend ID", &o.Hosts)
		f.Int("pace", "clients that all proxies together may send away a second; 0: not bounded", &o.Pace, 0, 100000)
		f.Int("drill", "jobs that only tell every proxy a number, to try the fleet's owners", &o.Drill, 0, 500)
		f.Int("drill_ms", "time between two such numbers, in milliseconds", &o.Each, 20, 60000)
		f.Path("socket", "Unix socket at which operators ask: croftlock owners, group, fleet", &o.Socket)
		o.Rules.bind(f)
		if o.On && len(o.Voters) == 0 {
			f.Fault("voters", "no voters, expected the names of 1 to 7 proxies")
		}
		return o
	}}
}

// Check looks at what the section refers to. member is the section (membership …).
func (o Options) Check(member memberagent.Options) error {
	if !o.On {
		return nil
	}
	if !member.On {
		return errors.New("owners need membership: (membership (on on) ...)")
	}
	if o.Dir == "" {
		return nil
	}
	if OpenVoter == nil {
		return fmt.Errorf("dir: %w", errNoVoters)
	}
	info, err := os.Stat(o.Dir)
	if err == nil && !info.IsDir() {
		err = fmt.Errorf("%s is no folder", o.Dir)
	}
	if err != nil {
		return fmt.Errorf("dir: %w", err)
	}
	return nil
}

// Planted is a fault that experiments put in, to show that they find it. No file and no argument of the program sets it.
var Planted string

// more are jobs that tests add.
var more map[string]jobs.Job
