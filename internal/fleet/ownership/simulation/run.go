// Package simulation runs a fleet of owners in virtual time. It runs the program's own code for
// ownership, consensus and leases, with processes that pause and die, links that lose, duplicate,
// delay and cut messages, disks that fail and clocks that drift. It generates the plans of faults
// and checks what must hold at every step. A run is determined by its seed.
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

// Time is a point in virtual time or a duration, in nanoseconds.
type Time = int64

// Units of Time.
const (
	Ms  = Time(1e6)
	Sec = Time(1e9)
)

const (
	stepInterval = 10 * Ms // of a run, between two checks
	tickInterval = 50 * Ms // between two ticks of a process, in virtual time
	// faultFreeTime is how long a run continues after its last fault. By its end every job must have an
	// owner.
	faultFreeTime = 40 * Sec

	defaultFaultPeriod = 30 * Sec
)

// Config configures a run.
type Config struct {
	Processes, Voters, Jobs int    // numbers of each; the first processes are the voters
	Disks                   bool   // whether voters keep their state on disk (package consensus); otherwise in memory (ownership.Quorum)
	Seed                    uint64 // determines the whole run
	FaultPeriod             Time   // the time from the start in which faults begin; zero or less means 30 s
	NoFaults                bool   // whether to plan no faults
	// ProgramFaults are injected into the program. The checks must detect them.
	ProgramFaults ownership.FaultInjection
	// SkipSync makes disks lose data in a crash that they have acknowledged as synced. The checks must
	// detect it.
	SkipSync bool
}

// ErrCheckFailed is wrapped by the error that Run.Play returns if a check has failed.
var ErrCheckFailed = errors.New("a check failed")

// Stats counts what happened in a run. The checks of a run in which nothing happened mean nothing.
type Stats struct {
	AcceptedEffects    int    // effects (messages from a job's owner) accepted by receivers
	RejectedEffects    int    // effects rejected as stale, as reported to their owners
	JobStarts          int    // starts of jobs
	Checkpoints        int    // checkpoints stored
	Elections          int    // elections of the group's leader
	UncertainElections int    // elections after which the table may lack committed commands
	OwnerGaps          []Time // length of each period in which a job had no owner, for all jobs
	MessagesSent       int    // messages sent, including lost ones
	BytesSent          int    // total size of these messages
}

// Run is a run of one fleet. Its methods must not be called concurrently.
type Run struct {
	Stats
	cfg       Config
	rng       *rand.Rand
	now       Time // since the start of the run
	processes []*process
	network   *network
	checks    *checks
	plan      []Fault // faults that have not begun, in order
	active    []Fault // faults that have begun and not ended
	// damagedDisks holds the voters whose disk was lost or replaced by an old copy: at most a minority.
	damagedDisks map[int]bool
	// onSend is called with each message that is sent, including lost ones. It may be nil.
	onSend func(from int, peer uint32, group bool, message []byte)
}

// New returns a run of a new fleet. It plans the fleet's faults and starts its processes.
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

// Faults returns the planned faults that have not begun, in order.
func (r *Run) Faults() []Fault { return slices.Clone(r.plan) }

// Play runs the fleet through its faults and faultFreeTime. If a check fails, it returns an error
// that wraps ErrCheckFailed and lists the violations.
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

// endTime returns when the run ends: faultFreeTime after the fault period and the last fault.
func (r *Run) endTime() Time {
	end := r.cfg.FaultPeriod + faultFreeTime
	for _, f := range r.plan {
		end = max(end, f.BeginsAt+f.Duration+faultFreeTime)
	}
	return end
}

// beginFaults begins the planned faults that are due.
func (r *Run) beginFaults() {
	for len(r.plan) > 0 && r.plan[0].BeginsAt <= r.now {
		f := r.plan[0]
		r.plan = r.plan[1:]
		r.beginFault(f)
		r.active = append(r.active, f)
	}
}

// endFaults ends the active faults whose duration has passed.
func (r *Run) endFaults() {
	for i := 0; i < len(r.active); i++ {
		if f := r.active[i]; f.BeginsAt+f.Duration <= r.now {
			r.active = slices.Delete(r.active, i, i+1)
			i--
			r.endFault(f)
		}
	}
}
