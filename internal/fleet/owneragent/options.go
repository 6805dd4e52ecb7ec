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

// minDrillIntervalMS is the minimum of Options.DrillIntervalMS, in milliseconds.
const minDrillIntervalMS = 20

// Options holds the section (owners ...) of the settings file.
type Options struct {
	Enabled         bool     // whether this process takes part; default false
	Group           string   // name of the voters' group; messages of others are rejected; default "croftlock"
	Voters          []string // names of the members that vote; must be the same list at all members
	Dir             string   // directory of a voter's store; if empty, voters keep their state in memory
	MaxStoreKB      int      // maximum size of that store in KiB; default 8192
	SuspendHosts    bool     // whether hosts can be suspended fleet-wide; default false
	MigrationRate   int      // maximum number of migrations per second, fleet-wide; 0 means no limit
	Drills          int      // number of drill jobs; default 0
	DrillIntervalMS int      // time between two numbers of a drill in milliseconds; default 100
	Socket          string   // path of the Unix socket for operators; empty if there is none
	Rules           RulesOptions
}

// Section returns the declaration of the section (owners ...), whose value is an Options.
func Section() settings.Section {
	return settings.Section{Name: "owners", Doc: "one owner at a time for the fleet's work", Bind: func(f *settings.FieldSet) any {
		o := Options{Group: "croftlock", MaxStoreKB: 8192, DrillIntervalMS: 100}
		f.Bool("on", "whether this proxy takes part; membership has to be on too", &o.Enabled)
		f.Text("group", "name of the group of voters; others' messages are refused", "a name", &o.Group, func(s string) bool { return s != "" && len(s) <= 64 })
		var voters string
		f.Text("voters", "names of the proxies that vote, 1 to 7, the same list everywhere, with spaces between", "names", &voters, o.setVoters)
		f.Path("dir", "folder in which a voter keeps its log and votes, on a disk that lasts; without it voters go by memory", &o.Dir)
		f.Int("most_kb", "bound of a voter's store, in KiB", &o.MaxStoreKB, 1024, 1<<20)
		f.Bool("hosts", "whether hosts can be taken out for the whole fleet: croftlock fleet suspend ID", &o.SuspendHosts)
		f.Int("pace", "clients that all proxies together may send away a second; 0: not bounded", &o.MigrationRate, 0, 100000)
		f.Int("drill", "jobs that only tell every proxy a number, to try the fleet's owners", &o.Drills, 0, 500)
		f.Int("drill_ms", "time between two such numbers, in milliseconds", &o.DrillIntervalMS, minDrillIntervalMS, 60000)
		f.Path("socket", "Unix socket at which operators ask: croftlock owners, group, fleet", &o.Socket)
		o.Rules.bind(f)
		if o.Enabled && len(o.Voters) == 0 {
			f.AddFault("voters", "no voters, expected the names of 1 to 7 proxies")
		}
		return o
	}}
}

// maxVoters is the maximum number of voters in the section.
const maxVoters = 7

// setVoters sets the voters to the names, which are separated by spaces. It reports whether they
// are 1 to maxVoters different names.
func (o *Options) setVoters(names string) bool {
	o.Voters = strings.Fields(names)
	sorted := slices.Clone(o.Voters)
	slices.Sort(sorted)
	return len(sorted) > 0 && len(sorted) <= maxVoters && len(slices.Compact(sorted)) == len(o.Voters)
}

// Check returns an error if the section lacks something that it depends on: membership, whose
// section is member, the directory of the store, or voters on disk in this program.
func (o Options) Check(member memberagent.Options) error {
	if !o.Enabled {
		return nil
	}
	if !member.Enabled {
		return errors.New("owners need membership: (membership (on on) ...)")
	}
	if o.Dir == "" {
		return nil
	}
	if OpenVoter == nil {
		return fmt.Errorf("dir: %w", ErrDiskVotersUnsupported)
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

// testJobs holds additional jobs by name. Only tests set it.
var testJobs map[string]jobs.Job
