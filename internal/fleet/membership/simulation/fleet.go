// Package simulation runs a fleet of processes with package membership in virtual time and injects faults.
// It owns the clock, the network and the plan of faults, and checks at every step that no invariant is
// violated. A run depends only on its seed and its plan.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"croftlock/internal/fleet/membership"
)

// Time is a time since the start of the run, or a duration, in nanoseconds.
type Time = int64

// Units of Time, and the interval of a process's turns.
const (
	Ms  = Time(1e6)
	Sec = Time(1e9)
	// TurnInterval is the time between two turns of a process, in which it calls Core.Tick.
	TurnInterval = 50 * Ms
)

const (
	// wallStart is the wall clock at the start of the run, in Unix nanoseconds.
	wallStart = Time(1.8e18)
	// defaultDelay is the one-way delay of a datagram, and defaultJitter the maximum random addition to it.
	defaultDelay  = 2 * Ms
	defaultJitter = 2 * Ms
	// firstPort is the port of process 0, if processes learn addresses.
	firstPort = 1000
)

// link is one direction between two processes, identified by their numbers.
type link struct{ source, destination int }

// Fleet holds the processes of a run and the network between them.
type Fleet struct {
	Nodes       []*Node       // by process number
	Loss        float64       // probability that a datagram is lost
	Duplication float64       // probability that a datagram arrives twice
	Delay       Time          // one-way delay of a datagram
	Jitter      Time          // maximum random addition to Delay; a later datagram may overtake an earlier one
	CutLinks    map[link]bool // links that lose all datagrams
	// OnChange, if not nil, is called with each change of the view of the process with the number at.
	OnChange func(at int, c membership.Change)
	// OnSend, if not nil, is called with each datagram before faults of the network apply. from is the
	// number of the sender, and slot the number that the sender uses for the receiver's address.
	OnSend func(from, slot int, datagram []byte)
	// SkipChecks disables the checks of invariants, which are most of the work in large fleets.
	SkipChecks bool
	// Seeds is the number of processes, from 0 on, whose addresses all processes know; they learn those
	// of the others. Zero means that all addresses are configured.
	Seeds     int
	Violation string // description of the first violated invariant; empty if there is none

	now        Time // since the start of the run
	lastEvent  int  // sequence number of the last scheduled event
	rng        *rand.Rand
	queue      eventQueue
	baseConfig membership.Config
}

// New returns a fleet of n processes, which all start within the first second. The configuration of each
// process is based on baseConfig, which may inject faults and set durations other than the defaults.
func New(n int, seed uint64, baseConfig membership.Config) *Fleet {
	f := &Fleet{Delay: defaultDelay, Jitter: defaultJitter, CutLinks: map[link]bool{}, rng: rand.New(rand.NewPCG(seed, 7)), baseConfig: baseConfig}
	for i := range n {
		f.Nodes = append(f.Nodes, &Node{fleet: f, index: i, newest: map[uint32]membership.Incarnation{}})
		f.Schedule(Time(f.rng.Int64N(int64(Sec))), func() { f.Start(i) })
	}
	return f
}

// Now returns the current time of the run.
func (f *Fleet) Now() Time { return f.now }

// Schedule schedules a call of run at time t, or at the current time if t has passed.
func (f *Fleet) Schedule(t Time, run func()) {
	f.lastEvent++
	heap.Push(&f.queue, scheduledEvent{max(t, f.now), f.lastEvent, run})
}

// address returns the address of process i, if processes learn addresses.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+i))
}

// Name returns the name of process i.
func Name(i int) string { return fmt.Sprint("n", i) }

// Start starts process i, or replaces it by one with a new incarnation. Its first turn, in which it calls
// Core.Tick, is within TurnInterval. Start panics if the configuration is invalid.
func (f *Fleet) Start(i int) {
	n := f.Nodes[i]
	core, err := membership.New(f.config(i), n)
	if err != nil {
		panic(err)
	}
	n.reset(core)
	var turn func()
	turn = func() {
		if n.Core != core || !n.Running {
			return
		}
		n.turns++
		if !n.Paused && !(n.Slow && n.turns%2 == 0) {
			n.takeTurn()
		}
		f.Schedule(f.now+TurnInterval, turn)
	}
	f.Schedule(f.now+Time(f.rng.Int64N(int64(TurnInterval))), turn)
}

// config returns the configuration of process i if it starts now.
func (f *Fleet) config(i int) membership.Config {
	cfg := f.baseConfig
	cfg.Name, cfg.Fleet = Name(i), "lab"
	cfg.Slots, cfg.OwnSlot = len(f.Nodes), i
	cfg.Seed = f.rng.Uint64()
	for seed := range f.Seeds {
		cfg.Seeds = append(cfg.Seeds, address(seed))
	}
	cfg.Incarnation = membership.NewIncarnation((wallStart + f.now + f.Nodes[i].WallStep) / Ms)
	return cfg
}

// Kill ends process i at once, as SIGKILL does.
func (f *Fleet) Kill(i int) { f.Nodes[i].Running = false }

// Leave shuts process i down gracefully. It does nothing if the process does not run or is paused.
func (f *Fleet) Leave(i int) {
	n := f.Nodes[i]
	if n.Running && !n.Paused {
		n.Core.Leave(f.now)
		n.Running = false
	}
}

// Pause pauses process i, as SIGSTOP does. It does nothing if the process does not run or is paused.
func (f *Fleet) Pause(i int) {
	if n := f.Nodes[i]; n.Running && !n.Paused {
		n.Paused, n.pausedAt = true, f.now
	}
}

// Resume resumes process i. Datagrams that arrived during the pause wait for it, as in a socket's buffer.
func (f *Fleet) Resume(i int) {
	n := f.Nodes[i]
	if n.Paused && f.now-n.pausedAt > Sec {
		n.resumedAt = f.now
	}
	n.Paused = false
}

// Run advances the run to time until. It skips the remaining events if an invariant is violated.
func (f *Fleet) Run(until Time) {
	for len(f.queue) > 0 && f.queue[0].due <= until && f.Violation == "" {
		e := heap.Pop(&f.queue).(scheduledEvent)
		f.now = e.due
		e.run()
	}
	f.now = max(f.now, until)
}

// running returns the number of running processes.
func (f *Fleet) running() (n int) {
	for _, node := range f.Nodes {
		if node.Running {
			n++
		}
	}
	return n
}
