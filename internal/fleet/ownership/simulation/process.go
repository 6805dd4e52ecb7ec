package simulation

import (
	"fmt"
	"maps"
	"slices"

	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/ownership"
)

// process is one member of the fleet through all its incarnations.
type process struct {
	index int
	name  string

	// Across incarnations.
	disk       *consensus.MemoryStore
	diskCopy   *consensus.StoredState // to be put back later; nil: none
	clockRate  float64                // of the monotonic clock
	wallOffset Time                   // of the wall clock

	// The present incarnation.
	incarnation uint64
	running     bool
	core        *ownership.Core
	group       ownership.Group // nil: no voter
	raft        *consensus.Core // the same, where it has a disk
	table       *ownership.Table
	fence       *ownership.Fence
	clockZero   Time // of the monotonic clock
	nextTickAt  Time // true time
	pausedUntil Time // 0: it runs
	jobs        map[string]*job
	accepted    map[string]ownership.FencingToken // last effect of each job, as the checks see it

	// For when a paused process wakes.
	queue        []envelope // received meanwhile
	checkedSends []func()   // effects for which it had checked its lease before the pause
}

// job is one that a process owns, from Start to Stop.
type job struct {
	token, sequence uint64
	nextStepAt      Time // local
}

const (
	jobStepInterval      = 100 * Ms
	checkpointEvery      = 3 // steps of a job
	maxQueuedWhilePaused = 64
)

func (r *Run) localTime(p *process) Time { return p.clockZero + Time(float64(r.now)*p.clockRate) }

func (r *Run) awake(p *process) bool { return p.running && r.now >= p.pausedUntil }

// start begins a new incarnation of a process.
func (r *Run) start(p *process) {
	p.incarnation = uint64(r.now/Ms)<<8 + uint64(p.index) + 1
	p.running, p.pausedUntil, p.queue, p.checkedSends = true, 0, nil, nil
	p.core, p.group, p.raft = nil, nil, nil
	p.clockZero = r.rng.Int64N(1000 * Sec)
	p.table, p.jobs, p.accepted = ownership.NewTable(), map[string]*job{}, map[string]ownership.FencingToken{}
	p.fence = &ownership.Fence{Faults: r.cfg.ProgramFaults}
	if p.index < r.cfg.Voters {
		r.openGroup(p)
	}
	cfg := ownership.Config{
		Name:        p.name,
		Incarnation: p.incarnation,
		Voters:      r.voterNames(),
		WallClock:   func() int64 { return (r.now + p.wallOffset) / Ms },
		Faults:      r.cfg.ProgramFaults,
	}
	for j := range r.cfg.Jobs {
		cfg.Jobs = append(cfg.Jobs, jobName(j))
	}
	core, err := ownership.New(cfg, p.group, p.table, p.fence, coreEffects{r, p})
	if err != nil {
		panic(err)
	}
	p.core = core
	p.nextTickAt = r.now + r.rng.Int64N(tickInterval)
}

func jobName(i int) string { return fmt.Sprintf("job%d", i) }

func (r *Run) voterNames() (names []string) {
	for i := range r.cfg.Voters {
		names = append(names, r.processes[i].name)
	}
	return names
}

// openGroup opens a voter's group. A voter whose disk can't be opened has none.
func (r *Run) openGroup(p *process) {
	machines := map[byte]consensus.Machine{ownership.MachineNumber: p.table}
	seed := r.rng.Uint64()
	if r.cfg.Disks {
		cfg := consensus.Config{Group: "sim", Name: p.name, InitialVoters: r.voterNames(), Seed: seed, ElectionTicks: 6, SnapshotEvery: 40, TrailingEntries: 10}
		if c, err := consensus.Open(cfg, p.disk, machines, groupEffects{r, p}); err == nil {
			p.raft, p.group = c, c
		}
		return
	}
	cfg := ownership.QuorumConfig{Group: "sim", Name: p.name, Voters: r.voterNames(), Seed: seed, WallClockAtStart: (r.now + p.wallOffset + 100000*Sec) / (10 * Ms),
		Faults: r.cfg.ProgramFaults}
	q, err := ownership.NewQuorum(cfg, machines, groupEffects{r, p})
	if err != nil {
		panic(err)
	}
	p.group = q
}

// kill ends a process without notice. What its disk has not synced is lost.
func (r *Run) kill(p *process, loseDisk bool) {
	if !p.running {
		return
	}
	p.running = false
	p.disk.Crash()
	if loseDisk {
		p.disk = r.newDisk()
	}
}

func (r *Run) restart(p *process) {
	r.kill(p, false)
	r.start(p)
}

// stepProcess gives a process its turn.
func (r *Run) stepProcess(p *process) {
	if !r.awake(p) {
		return
	}
	if p.pausedUntil > 0 {
		r.wake(p)
	}
	if r.now >= p.nextTickAt {
		p.nextTickAt = r.now + tickInterval
		r.tick(p)
	}
}

// wake has a process first send the effects that it had checked its lease for, and then read its messages.
func (r *Run) wake(p *process) {
	p.pausedUntil = 0
	for _, send := range p.checkedSends {
		send()
	}
	p.checkedSends = nil
	queue := p.queue
	p.queue = nil
	for _, e := range queue {
		r.deliver(e)
	}
}

// tick gives the Core its turn, and then each job whose lease lasts.
func (r *Run) tick(p *process) {
	now := r.localTime(p)
	p.core.Tick(now)
	for _, name := range p.jobNames() {
		j := p.jobs[name]
		if j == nil || now < j.nextStepAt || !p.core.IsOwner(now, name, j.token) {
			continue
		}
		j.nextStepAt = now + jobStepInterval
		r.nextEffect(p, name, j)()
	}
}

func (p *process) jobNames() []string { return slices.Sorted(maps.Keys(p.jobs)) }

// nextEffect is what a job does after its process has checked that it owns it: an effect for all receivers, and every checkpointEvery steps a
// checkpoint.
func (r *Run) nextEffect(p *process, name string, j *job) (send func()) {
	j.sequence++
	token, incarnation := ownership.FencingToken{Token: j.token, Sequence: j.sequence}, p.incarnation
	return func() {
		if !p.running || p.incarnation != incarnation {
			return
		}
		now := r.localTime(p)
		for _, to := range r.processes {
			p.core.SendEffect(now, consensus.PeerID(to.name), name, token, []byte("x"))
		}
		if token.Sequence%checkpointEvery == 0 {
			p.core.StoreCheckpoint(now, name, token.Token, token.Sequence, checkpointOf(token.Sequence))
		}
	}
}

// checkpointOf is what a job stores under a number.
func checkpointOf(number uint64) []byte { return []byte(fmt.Sprint(number)) }
