// Package simulation plays a fleet's owners in virtual time: the program's own ownership, consensus and leases, with processes that sleep and
// die, links that lose, double, delay and cut, disks that fail and clocks that run apart. It owns the plans of faults and the checks of
// what must hold at every step. The same seed plays the same run.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/ownership"
)

// Time is virtual nanoseconds.
type Time = int64

const (
	Ms  = Time(1e6)
	Sec = Time(1e9)

	step = 10 * Ms
)

// Config is a run.
type Config struct {
	Processes, Voters, Jobs int
	Disks                   bool
	Seed                    uint64
	Lasts                   Time // of the faults; 0: 30 s
	Calm                    bool // no faults at all
	// Planted faults.
	SkipSync, Eager, FromAnswer, Forget bool
}

type mail struct {
	from, to int
	group    bool
	data     []byte
	at       Time
	n        int
}

type process struct {
	name   string
	life   uint64
	up     bool
	core   *ownership.Core
	group  ownership.Group
	raft   *consensus.Core
	table  *ownership.Table
	fence  *ownership.Fence
	disk   *consensus.MemoryStore
	copied *consensus.StoredState
	paused Time // until then
	tickAt Time // true time
	offset Time
	rate   float64
	wall   Time // off by
	queue  []mail
	acts   []func() // checked before the process slept, done after
	jobs   map[string]*job
	taken  map[string]ownership.FencingToken // since this receiver began, as the checks see it
}

type job struct {
	token, number uint64
	stepAt        Time // local
}

// Run is one fleet.
type Run struct {
	cfg     Config
	rng     *rand.Rand
	now     Time
	ps      []*process
	peers   map[uint32]int
	mails   []mail
	n       int
	cut     [][]int
	loss    float64
	holds   []Time // messages of a process are held back until then
	plan    []Fault
	ends    []Fault
	owners  map[string]string // by job and token
	top     map[string]uint64 // highest token begun
	acked   map[string]uint64 // highest number noted for sure
	damaged map[int]bool
	broken  []string
	// What was done, for the checks' own sake: a run in which nothing happens shows nothing.
	Effects, Refused, Starts, Notes, Leads, Unsure int
	// Gaps are how long jobs were without an owner, once they had one.
	Gaps        []Time
	ownedAt     map[string]Time
	Sent, Bytes int
	// sent is told of each message before the network has it; nil: nobody is.
	sent func(from int, peer uint32, group bool, message []byte)
}

// New makes a fleet.
func New(c Config) *Run {
	if c.Lasts <= 0 {
		c.Lasts = 30 * Sec
	}
	r := &Run{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 77)), peers: map[uint32]int{}, owners: map[string]string{}, top: map[string]uint64{}, acked: map[string]uint64{},
		holds: make([]Time, c.Processes), ownedAt: map[string]Time{}}
	for i := range c.Processes {
		p := &process{name: fmt.Sprintf("p%d", i), disk: &consensus.MemoryStore{SkipSync: c.SkipSync}, rate: 0.99 + 0.02*r.rng.Float64(), offset: r.rng.Int64N(1000 * Sec)}
		r.peers[consensus.PeerID(p.name)] = i
		r.ps = append(r.ps, p)
		r.cut = append(r.cut, make([]int, c.Processes))
	}
	if !c.Calm {
		r.plan = Plan(r.rng, c)
	}
	for i := range r.ps {
		r.start(i)
	}
	return r
}

func (r *Run) local(p *process) Time { return p.offset + Time(float64(r.now)*p.rate) }

func (r *Run) fail(format string, args ...any) {
	if len(r.broken) < 5 {
		r.broken = append(r.broken, fmt.Sprintf("at %d ms: ", r.now/Ms)+fmt.Sprintf(format, args...))
	}
}

// start begins a new life of a process.
func (r *Run) start(i int) {
	p := r.ps[i]
	p.life = uint64(r.now/Ms)<<8 + uint64(i) + 1
	p.up, p.paused, p.queue, p.acts, p.core, p.group, p.raft = true, 0, nil, nil, nil, nil, nil
	p.offset = r.rng.Int64N(1000 * Sec)
	p.table, p.jobs, p.taken = ownership.NewTable(), map[string]*job{}, map[string]ownership.FencingToken{}
	p.fence = &ownership.Fence{Forget: r.cfg.Forget}
	var voters, jobs []string
	for v := range r.cfg.Voters {
		voters = append(voters, r.ps[v].name)
	}
	for j := range r.cfg.Jobs {
		jobs = append(jobs, fmt.Sprintf("job%d", j))
	}
	if i < r.cfg.Voters {
		machines := map[byte]consensus.Machine{ownership.Machine: p.table}
		seed := r.rng.Uint64()
		if r.cfg.Disks {
			c, err := consensus.Open(consensus.Config{Group: "sim", Name: p.name, InitialVoters: voters, Seed: seed, ElectionTicks: 6, SnapshotEvery: 40, KeepBehindSnapshot: 10}, p.disk, machines, groupSide{r, i})
			if err == nil {
				p.raft, p.group = c, c
			}
		} else {
			q, err := ownership.NewQuorum(ownership.QuorumConfig{Group: "sim", Name: p.name, Voters: voters, Seed: seed, Clock: (r.now + p.wall + 100000*Sec) / (10 * Ms),
				Eager: r.cfg.Eager, FromAnswer: r.cfg.FromAnswer}, machines, groupSide{r, i})
			if err != nil {
				panic(err)
			}
			p.group = q
		}
	}
	var err error
	p.core, err = ownership.New(ownership.Config{Name: p.name, Incarnation: p.life, Voters: voters, Jobs: jobs, Wall: func() int64 { return (r.now + p.wall) / Ms },
		FromAnswer: r.cfg.FromAnswer}, p.group, p.table, p.fence, side{r, i})
	if err != nil {
		panic(err)
	}
	p.tickAt = r.now + r.rng.Int64N(50*Ms)
}

func (r *Run) kill(i int, loseDisk bool) {
	p := r.ps[i]
	if !p.up {
		return
	}
	p.up = false
	p.disk.Crash()
	if loseDisk {
		p.disk = &consensus.MemoryStore{SkipSync: r.cfg.SkipSync}
	}
}

func (r *Run) send(from int, peer uint32, group bool, msg []byte) {
	to, ok := r.peers[peer]
	r.Sent++
	r.Bytes += len(msg)
	if r.sent != nil {
		r.sent(from, peer, group, msg)
	}
	if !ok || r.cut[from][to] > 0 {
		return
	}
	times := 1
	if r.loss > 0 && r.rng.Float64() < r.loss {
		times = 2
	}
	for range times {
		if r.rng.Float64() < r.loss {
			continue
		}
		at := r.now + Ms + r.rng.Int64N(4*Ms)
		if r.loss > 0 && r.rng.IntN(5) == 0 {
			at += r.rng.Int64N(300 * Ms)
		}
		r.n++
		r.mails = append(r.mails, mail{from, to, group, slices.Clone(msg), max(at, r.holds[from]), r.n})
	}
}

func (r *Run) deliver(m mail) {
	p := r.ps[m.to]
	if !p.up {
		return
	}
	if r.now < p.paused {
		if len(p.queue) < 64 {
			p.queue = append(p.queue, m)
		}
		return
	}
	from, now := consensus.PeerID(r.ps[m.from].name), r.local(p)
	if m.group {
		if p.group != nil {
			p.group.Receive(now, from, m.data)
		}
		return
	}
	p.core.Receive(now, from, m.data)
}
