// Package simulation runs a fleet of membership's processes in virtual time, with faults between them. It owns the clock, the network and
// the plan of faults, and checks at every step that no invariant is violated. A run follows from its seed and its plan alone.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"croftlock/internal/fleet/membership"
)

// Time is nanoseconds since the run began.
type Time = int64

// Units of Time, and the interval of a process's turns.
const (
	Ms  = Time(1e6)
	Sec = Time(1e9)
	// TurnInterval is how often a process gets a turn.
	TurnInterval = 50 * Ms
)

const (
	// wallStart is the wall clock at the beginning, in Unix nanoseconds.
	wallStart = Time(1.8e18)
	// defaultDelay is a datagram's one-way delay, and usualJitter what may come on top of it.
	defaultDelay  = 2 * Ms
	defaultJitter = 2 * Ms
	// firstPort is the port of process 0, where processes learn addresses.
	firstPort = 1000
)

// link is the way from one process to another.
type link struct{ source, destination int }

// Fleet is all processes of a run and the network between them.
type Fleet struct {
	Nodes       []*Node
	Loss        float64 // probability that a datagram is lost
	Duplication float64 // probability that a datagram arrives twice
	Delay       Time    // of a datagram, one way
	Jitter      Time    // at most so much more: a later datagram may overtake an earlier one
	CutLinks    map[link]bool
	OnChange    func(at int, c membership.Change)
	OnSend      func(from, slot int, datagram []byte) // is called with each datagram before faults of the network apply; nil: not called
	SkipChecks  bool                                  // no invariant is checked: in large fleets that is most of the work
	Seeds       int                                   // above 0: each process knows the addresses of the first so many, and learns the others'
	Violation   string                                // the first violated invariant

	now       Time
	lastEvent int
	rng       *rand.Rand
	queue     eventQueue
	planted   membership.Config
}

// New makes a fleet of n, all starting within a second. planted carries planted faults, and durations other than the defaults.
func New(n int, seed uint64, planted membership.Config) *Fleet {
	f := &Fleet{Delay: defaultDelay, Jitter: defaultJitter, CutLinks: map[link]bool{}, rng: rand.New(rand.NewPCG(seed, 7)), planted: planted}
	for i := range n {
		f.Nodes = append(f.Nodes, &Node{fleet: f, index: i, newest: map[uint32]membership.Incarnation{}})
		f.Schedule(Time(f.rng.Int64N(int64(Sec))), func() { f.Start(i) })
	}
	return f
}

// Now is the time of the run.
func (f *Fleet) Now() Time { return f.now }

// Schedule has something happen at a time, or now where that has passed.
func (f *Fleet) Schedule(t Time, run func()) {
	f.lastEvent++
	heap.Push(&f.queue, scheduledEvent{max(t, f.now), f.lastEvent, run})
}

// address is a process's, where processes learn addresses.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+i))
}

// Name is a process's name.
func Name(i int) string { return fmt.Sprint("n", i) }

// Start begins a process, or restarts it with a new incarnation.
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

// config is a process's configuration as it starts now.
func (f *Fleet) config(i int) membership.Config {
	cfg := f.planted
	cfg.Name, cfg.Fleet = Name(i), "lab"
	cfg.Slots, cfg.OwnSlot = len(f.Nodes), i
	cfg.Seed = f.rng.Uint64()
	for seed := range f.Seeds {
		cfg.Seeds = append(cfg.Seeds, address(seed))
	}
	cfg.Incarnation = membership.NewIncarnation((wallStart + f.now + f.Nodes[i].WallStep) / Ms)
	return cfg
}

// Kill ends a process at once.
func (f *Fleet) Kill(i int) { f.Nodes[i].Running = false }

// Leave shuts a process down in order.
func (f *Fleet) Leave(i int) {
	n := f.Nodes[i]
	if n.Running && !n.Paused {
		n.Core.Leave(f.now)
		n.Running = false
	}
}

// Pause stops a process as SIGSTOP does.
func (f *Fleet) Pause(i int) {
	if n := f.Nodes[i]; n.Running && !n.Paused {
		n.Paused, n.pausedAt = true, f.now
	}
}

// Resume has a paused process continue; datagrams that arrived meanwhile wait for it, as in a socket's buffer.
func (f *Fleet) Resume(i int) {
	n := f.Nodes[i]
	if n.Paused && f.now-n.pausedAt > Sec {
		n.resumedAt = f.now
	}
	n.Paused = false
}

// Run advances to a time, or until an invariant is violated.
func (f *Fleet) Run(until Time) {
	for len(f.queue) > 0 && f.queue[0].due <= until && f.Violation == "" {
		e := heap.Pop(&f.queue).(scheduledEvent)
		f.now = e.due
		e.run()
	}
	f.now = max(f.now, until)
}

// running counts the processes that run.
func (f *Fleet) running() (n int) {
	for _, node := range f.Nodes {
		if node.Running {
			n++
		}
	}
	return n
}
