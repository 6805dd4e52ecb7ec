// Package simulation plays a fleet's owners in virtual time: the program's own ownership, consensus and leases, with processes that pause and
// die, links that lose, duplicate, delay and cut messages, disks that fail and clocks that drift. It owns the plans of faults and the checks of
// what must hold at every step. The same seed plays the same run.
package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/ownership"
)

// Time is virtual nanoseconds.
type Time = int64

// Units of Time.
const (
	Ms  = Time(1e6)
	Sec = Time(1e9)
)

const (
	stepInterval = 10 * Ms
	tickInterval = 50 * Ms // between two ticks of one process, true time
	// faultFreeTime is played after the last fault; by its end every job must have an owner.
	faultFreeTime = 40 * Sec

	defaultFaultPeriod = 30 * Sec
)

// Config describes a run. The first Voters of Processes are the voters.
type Config struct {
	Processes, Voters, Jobs int
	Disks                   bool // voters keep their state on disk (consensus), or else in memory (ownership.Quorum)
	Seed                    uint64
	FaultPeriod             Time // the period in which faults begin; default 30 s
	NoFaults                bool // no faults at all
	// Faults of the program, which the checks have to find: injected ones, and a disk that loses with a crash what it has acknowledged.
	ProgramFaults ownership.FaultInjection
	SkipSync      bool
}

// ErrCheckFailed is returned where a check has failed.
var ErrCheckFailed = errors.New("a check failed")

// Stats are what happened in a run. Checks that hold mean nothing where nothing happened.
type Stats struct {
	AcceptedEffects    int    // accepted by receivers
	RejectedEffects    int    // stale, as reported to owners
	JobStarts          int    // of jobs
	Checkpoints        int    // checkpoints stored
	Elections          int    // elections of a leader of the group
	UncertainElections int    // those after which the table may lack something
	OwnerGaps          []Time // times without an owner, of all jobs
	MessagesSent       int    // messages
	BytesSent          int    // of them
}

// Run is one fleet.
type Run struct {
	Stats
	cfg       Config
	rng       *rand.Rand
	now       Time
	processes []*process
	network   *network
	checks    *checks
	plan      []Fault // still to begin
	active    []Fault
	// damagedDisks are the voters whose disk was lost or put back: no more than a minority.
	damagedDisks map[int]bool
	// onSend is called with each message, also with those that are lost; nil: it is not.
	onSend func(from int, peer uint32, group bool, message []byte)
}

// New makes a fleet and starts its processes.
func New(c Config) *Run {
	if c.FaultPeriod <= 0 {
		c.FaultPeriod = defaultFaultPeriod
	}
	r := &Run{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 77)), checks: newChecks(), damagedDisks: map[int]bool{}}
	r.network = newNetwork(c.Processes)
	for i := range c.Processes {
		p := &process{
			index:     i,
			name:      fmt.Sprintf("p%d", i),
			disk:      r.newDisk(),
			clockRate: 0.99 + 0.02*r.rng.Float64(),
			clockZero: r.rng.Int64N(1000 * Sec),
		}
		r.network.peers[consensus.PeerID(p.name)] = i
		r.processes = append(r.processes, p)
	}
	if !c.NoFaults {
		r.plan = Plan(r.rng, c)
	}
	for _, p := range r.processes {
		r.start(p)
	}
	return r
}

func (r *Run) newDisk() *consensus.MemoryStore {
	return &consensus.MemoryStore{SkipSync: r.cfg.SkipSync}
}

// Faults is the plan, without the faults that have begun.
func (r *Run) Faults() []Fault { return slices.Clone(r.plan) }

// Play plays the faults and then calm time. The error is ErrCheckFailed, with the violations.
func (r *Run) Play() error {
	for end := r.endTime(); r.now < end && r.checks.passed(); r.now += stepInterval {
		r.beginFaults()
		r.endFaults()
		r.deliverDue()
		for _, p := range r.processes {
			r.stepProcess(p)
		}
		r.checkOwners()
	}
	if r.checks.passed() {
		r.checkSettled()
	}
	if !r.checks.passed() {
		return fmt.Errorf("%w: seed %d, %d processes, %d voters, disks %t: %s",
			ErrCheckFailed, r.cfg.Seed, r.cfg.Processes, r.cfg.Voters, r.cfg.Disks, strings.Join(r.checks.violations, "; "))
	}
	return nil
}

func (r *Run) endTime() Time {
	end := r.cfg.FaultPeriod + faultFreeTime
	for _, f := range r.plan {
		end = max(end, f.BeginsAt+f.Duration+faultFreeTime)
	}
	return end
}

func (r *Run) beginFaults() {
	for len(r.plan) > 0 && r.plan[0].BeginsAt <= r.now {
		f := r.plan[0]
		r.plan = r.plan[1:]
		r.beginFault(f)
		r.active = append(r.active, f)
	}
}

func (r *Run) endFaults() {
	for i := 0; i < len(r.active); i++ {
		if f := r.active[i]; f.BeginsAt+f.Duration <= r.now {
			r.active = slices.Delete(r.active, i, i+1)
			i--
			r.endFault(f)
		}
	}
}
