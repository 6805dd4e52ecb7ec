package simulation

import (
	"fmt"
	"maps"
	"slices"

	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/ownership"
)

// process is a member of the fleet, through all its incarnations.
type process struct {
	index int
	name  string

	// State that lasts across incarnations.
	disk       *consensus.MemoryStore // unused if the fleet has no disks
	diskCopy   *consensus.StoredState // to be restored when faultCopyBack ends; nil if there is none
	clockRate  float64                // rate of the monotonic clock relative to virtual time, 0.99 to 1.01
	wallOffset Time                   // how far the wall clock is ahead of virtual time; negative if behind

	// State of the present incarnation.
	incarnation uint64
	running     bool // whether the process is running, possibly paused
	core        *ownership.Core
	group       ownership.Group // nil if the process is not a voter or could not open its disk
	raft        *consensus.Core // the same group as a consensus.Core if it has a disk; otherwise nil
	table       *ownership.Table
	fence       *ownership.Fence
	clockZero   Time                              // reading of the monotonic clock at virtual time 0
	nextTickAt  Time                              // in virtual time
	pausedUntil Time                              // end of the pause in virtual time; 0 once the process has continued
	jobs        map[string]*job                   // jobs that the process runs, by name
	accepted    map[string]ownership.FencingToken // token of the last effect (message from the owner) applied, by job; kept for the checks

	// What a paused process handles when it continues.
	queue        []envelope // messages received during the pause
	checkedSends []func()   // sends of effects for which it checked its lease before the pause
}

// job is a job that a process runs, from Start to Stop.
type job struct {
	token, sequence uint64 // token of the grant, and number of the last effect; a checkpoint stored with that effect has the same number
	nextStepAt      Time   // by the process's monotonic clock
}

const (
	jobStepInterval      = 100 * Ms
	checkpointEvery      = 3 // one in this many effects of a job stores a checkpoint
	maxQueuedWhilePaused = 64
)

// localTime returns the reading of a process's monotonic clock.
func (r *Run) localTime(p *process) Time { return p.clockZero + Time(float64(r.now)*p.clockRate) }

// awake reports whether a process is running and not paused.
func (r *Run) awake(p *process) bool { return p.running && r.now >= p.pausedUntil }

// start starts a new incarnation of a process.
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

// jobName returns the name of the job with index i.
func jobName(i int) string { return fmt.Sprintf("job%d", i) }

// voterNames returns the names of the voters, which are the first processes.
func (r *Run) voterNames() (names []string) {
	for i := range r.cfg.Voters {
		names = append(names, r.processes[i].name)
	}
	return names
}

// openGroup opens a voter's group. A voter whose disk can't be opened has no group.
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
	// The offset of 100000 s keeps the clock above 0, however far faultClock sets it back.
	cfg := ownership.QuorumConfig{Group: "sim", Name: p.name, Voters: r.voterNames(), Seed: seed, WallClockAtStart: (r.now + p.wallOffset + 100000*Sec) / (10 * Ms),
		Faults: r.cfg.ProgramFaults}
	q, err := ownership.NewQuorum(cfg, machines, groupEffects{r, p})
	if err != nil {
		panic(err)
	}
	p.group = q
}

// kill stops a process abruptly. Data that its disk has not synced is lost, and the whole disk is
// lost if loseDisk is set.
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

// restart kills a process, if it is running, and starts it again with its disk.
func (r *Run) restart(p *process) {
	r.kill(p, false)
	r.start(p)
}

// stepProcess runs a process for one step, unless it is paused or not running.
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

// wake continues a process after a pause. The process first sends the effects for which it checked
// its lease before the pause, and then handles its queued messages.
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

// tick runs a tick of the Core, and then a step of each job that is due and that the process owns.
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

// jobNames returns the names of the jobs that the process runs, sorted so that a run can be repeated.
func (p *process) jobNames() []string { return slices.Sorted(maps.Keys(p.jobs)) }

// nextEffect returns a function that sends a job's next effect to all processes, and every
// checkpointEvery effects a checkpoint to the coordinator. The caller has checked that the process
// owns the job. The function does nothing if the process has been restarted since.
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

// checkpointOf returns the checkpoint that a job stores under a number.
func checkpointOf(number uint64) []byte { return []byte(fmt.Sprint(number)) }
