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

// minDrillIntervalMS bounds Options.DrillIntervalMS from below.
const minDrillIntervalMS = 20

// Options are the section (owners ...).
type Options struct {
	Enabled         bool
	Group           string   // name of the group of voters; messages of others are rejected; default croftlock
	Voters          []string // names of those that vote, the same list everywhere
	Dir             string   // folder of a voter's store; "": voters keep their state in memory
	MaxStoreKB      int      // bound of that store, KiB; default 8192
	SuspendHosts    bool     // hosts can be suspended fleet-wide
	MigrationRate   int      // migrations a second fleet-wide; 0: not paced
	Drills          int      // number of drill jobs
	DrillIntervalMS int      // time between two numbers of a drill, milliseconds; default 100
	Socket          string   // Unix socket for operators; "": none
	Rules           RulesOptions
}

// Section is the section (owners ...) of the operators' file.
func Section() settings.Section {
	return settings.Section{Name: "owners", Doc: "one owner at a time for the fleet's work", Bind: func(f *settings.Form) any {
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
			f.Fault("voters", "no voters, expected the names of 1 to 7 proxies")
		}
		return o
	}}
}

// maxVoters bounds the voters of the section.
const maxVoters = 7

// setVoters takes the names, and reports whether they are 1 to maxVoters different ones.
func (o *Options) setVoters(names string) bool {
	o.Voters = strings.Fields(names)
	sorted := slices.Clone(o.Voters)
	slices.Sort(sorted)
	return len(sorted) > 0 && len(sorted) <= maxVoters && len(slices.Compact(sorted)) == len(o.Voters)
}

// Check looks at what the section refers to. member is the section (membership …).
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

// testJobs are jobs that tests add.
var testJobs map[string]jobs.Job
