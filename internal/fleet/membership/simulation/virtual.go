// Package simulation plays a fleet of membership's processes in virtual time, with faults between them: it owns the clock, the network and
// the plan, and looks at every step whether what may never happen has happened. Each run follows from its seed and its plan.
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

// Units of it.
const (
	Ms  = Time(1e6)
	Sec = Time(1e9)
	// Turn is how often a process is given the chance to act.
	Turn = 50 * Ms
	// wallZero is the wall clock at the beginning.
	wallZero = Time(1.8e18)
)

// Fleet is all of them.
type Fleet struct {
	Nodes     []*Node
	Loss      float64 // of each datagram
	Twice     float64 // part that arrives twice
	Delay     Time    // one way
	Jitter    Time    // up to so much more: what is sent later may come sooner
	Cut       map[[2]int]bool
	Changes   func(at int, c membership.Change)
	Sent      func(from, slot int, datagram []byte) // is told of each datagram before the network has it; nil: nobody is
	Unchecked bool                                  // nothing is looked at: for large fleets, where that is most of the work
	Seeds     int                                   // over 0: processes know the addresses of so many, and learn the others'
	Broken    string                                // the first thing that may never happen and did
	now       Time
	seq       int
	rng       *rand.Rand
	queue     events
	plant     membership.Config
	left      map[int]bool
}

// New makes a fleet of n, all starting within a second. plant carries planted faults and times other than the usual.
func New(n int, seed uint64, plant membership.Config) *Fleet {
	f := &Fleet{Delay: 2 * Ms, Jitter: 2 * Ms, Cut: map[[2]int]bool{}, rng: rand.New(rand.NewPCG(seed, 7)), plant: plant, left: map[int]bool{}}
	for i := range n {
		f.Nodes = append(f.Nodes, &Node{fleet: f, i: i, seen: map[uint32]membership.Incarnation{}})
		f.At(Time(f.rng.Int64N(int64(Sec))), func() { f.Start(i) })
	}
	return f
}

// Now is the time.
func (f *Fleet) Now() Time { return f.now }

// At has something happen at a time.
func (f *Fleet) At(t Time, do func()) {
	f.seq++
	heap.Push(&f.queue, event{max(t, f.now), f.seq, do})
}

// addr is a process's address where they have to learn them.
func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
}

// Name is a process's.
func Name(i int) string { return fmt.Sprint("n", i) }

// Start begins a process, or a new life of it.
func (f *Fleet) Start(i int) {
	n := f.Nodes[i]
	cfg := f.plant
	cfg.Name, cfg.Fleet, cfg.Slots, cfg.OwnSlot, cfg.Seed = Name(i), "lab", len(f.Nodes), i, f.rng.Uint64()
	for s := range f.Seeds {
		cfg.Seeds = append(cfg.Seeds, addr(s))
	}
	cfg.Incarnation = membership.NewIncarnation((wallZero + f.now + n.Step) / Ms)
	core, err := membership.New(cfg, n)
	if err != nil {
		panic(err)
	}
	n.Core, n.Up, n.Asleep, n.inbox, n.ver, n.woke = core, true, false, nil, 0, 0
	clear(n.seen)
	delete(f.left, i)
	var turn func()
	turn = func() {
		if n.Core != core || !n.Up {
			return
		}
		n.turns++
		if !n.Asleep && !(n.Lame && n.turns%2 == 0) {
			n.act()
		}
		f.At(f.now+Turn, turn)
	}
	f.At(f.now+Time(f.rng.Int64N(int64(Turn))), turn)
}

// Kill ends a process without a word.
func (f *Fleet) Kill(i int) { f.Nodes[i].Up = false }

// Leave ends a process in order.
func (f *Fleet) Leave(i int) {
	n := f.Nodes[i]
	if n.Up && !n.Asleep {
		n.Core.Leave(f.now)
		n.Up = false
		f.left[i] = true
	}
}

// Pause stops a process as SIGSTOP does.
func (f *Fleet) Pause(i int) {
	if n := f.Nodes[i]; n.Up && !n.Asleep {
		n.Asleep, n.slept = true, f.now
	}
}

// Wake has a process that slept go on; what came meanwhile waits for it, as in a socket's buffer.
func (f *Fleet) Wake(i int) {
	n := f.Nodes[i]
	if n.Asleep && f.now-n.slept > Sec {
		n.woke = f.now
	}
	n.Asleep = false
}

func (f *Fleet) fail(format string, a ...any) {
	if f.Broken == "" {
		f.Broken = fmt.Sprintf("at %d ms: ", f.now/Ms) + fmt.Sprintf(format, a...)
	}
}

// heardByAll tells whether all processes that act, itself aside, have heard a member's life within a second.
func (f *Fleet) heardByAll(id uint32, slot int, life membership.Incarnation) bool {
	others := 0
	for i, o := range f.Nodes {
		if i == slot || !o.Up || o.Asleep {
			continue
		}
		others++
		ok := false
		for _, m := range o.Core.View() {
			ok = ok || m.ID == id && m.HeardHere > 0 && f.now-m.HeardHere < Sec && m.Incarnation.Start() == life.Start()
		}
		if !ok {
			return false
		}
	}
	return others > 1
}

// Run plays up to a time, or until something may never have happened.
func (f *Fleet) Run(until Time) {
	for len(f.queue) > 0 && f.queue[0].at <= until && f.Broken == "" {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = max(f.now, until)
}

// Sees is how one process holds another.
func (f *Fleet) Sees(i, j int) membership.State {
	id := membership.ID(Name(j))
	for _, m := range f.Nodes[i].Core.View() {
		if m.ID == id {
			return m.State
		}
	}
	return membership.Joining
}

// Agreed tells whether every process that acts holds every other for what it is, and all have the same view; why not, else.
func (f *Fleet) Agreed() (why string) {
	digest, first := uint32(0), -1
	for i, n := range f.Nodes {
		if !n.Up {
			continue
		}
		for j, o := range f.Nodes {
			if i == j {
				continue
			}
			s := f.Sees(i, j)
			switch {
			case o.Up && s != membership.Alive:
				return fmt.Sprintf("n%d holds n%d, which is there, for %s", i, j, s)
			case !o.Up && (s == membership.Alive || s == membership.Suspect):
				return fmt.Sprintf("n%d holds n%d, which is not there, for %s", i, j, s)
			}
		}
		if d := n.Core.Digest(); first < 0 {
			digest, first = d, i
		} else if d != digest {
			return fmt.Sprintf("n%d and n%d have other views", first, i)
		}
	}
	return ""
}
