package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// MaxCountedDeadline is the most that a class's deadline counts for in the time between SIGTERM and SIGKILL.
const MaxCountedDeadline = 3 * time.Second

// KillAfter is the earliest moment after SIGTERM at which a process may get SIGKILL.
func KillAfter(longest time.Duration) time.Duration {
	return min(longest, MaxCountedDeadline) + 700*time.Millisecond
}

// Options say what is played.
type Options struct {
	Seed       uint64
	Proxies    int
	Hosts      int
	Length     time.Duration
	Rate       float64 // requests a second at each proxy
	Faults     int     // drawn for the whole time, beside those of every play
	FailCalls  bool    // system calls fail too
	BendClocks bool    // the system's clock is set while processes run and between them; the program must be one that BendClock was called in
	Logs       string  // a folder for the processes' logs at debug level; "": none
}

// Fleet is the proxies of one play with all that is around them.
type Fleet struct {
	options Options
	env     *experiment.Env
	rng     *rand.Rand // draws the deadlines
	clocks  *rand.Rand // draws how clocks go; protected by mu
	record  *Record
	classes []experiment.Class
	shims   []*Shim // by proxy; none: system calls are left alone
	nodes   []*Node
	stalls  *stallMeter
	workers sync.WaitGroup // clients and faults

	mu       sync.Mutex // protects what follows
	hosts    []*Host
	sessions []*clientRequest
	errors   []error // of the play itself
}

// fleetCount counts this process's fleets: each has addresses of its own.
var fleetCount int

// NewFleet starts hosts, discoveries and proxies. All of them have addresses of this process's own, so that no port can be taken by another.
func NewFleet(env *experiment.Env, opt Options) (*Fleet, error) {
	fleetCount++
	f := &Fleet{options: opt, env: env, record: NewRecord(), stalls: newStallMeter(),
		rng: rand.New(rand.NewPCG(opt.Seed, 38)), clocks: rand.New(rand.NewPCG(opt.Seed, 39))}
	f.classes = drawClasses(f.rng)
	for i := range opt.Hosts {
		h, err := NewHost(fmt.Sprintf("s-%d", i), zone(i), f.address(2, i), f.record)
		if err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
	}
	for i := range opt.Proxies {
		if err := f.addNode(i); err != nil {
			return f, err
		}
	}
	return f, nil
}

// drawClasses draws the three classes' deadlines; the first is the longest.
func drawClasses(rng *rand.Rand) []experiment.Class {
	const ms = time.Millisecond
	longest := []time.Duration{400 * ms, 1000 * ms, 2000 * ms, 3000 * ms, 4800 * ms, 9000 * ms}[rng.IntN(6)]
	return []experiment.Class{
		{Name: "safe", Deadline: longest, Effect: experiment.Safe},
		{Name: "keyed", Deadline: max(longest/2, 300*ms), Effect: experiment.Keyed, Window: time.Duration(200+rng.IntN(3000)) * ms},
		{Name: "unsafe", Deadline: max(longest*3/4, 300*ms), Effect: experiment.Unsafe},
	}
}

// zone spreads things over three zones.
func zone(i int) string { return []string{"a", "b", "c"}[i%3] }

// address is one of this play's own: loopback addresses that this process alone uses.
func (f *Fleet) address(kind, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", experiment.OwnNetwork(), fleetCount%100, kind*80+i%80, experiment.OwnPort()+i/80)
}

// longestDeadline is the longest of all classes.
func (f *Fleet) longestDeadline() time.Duration { return f.classes[0].Deadline }

// addNode adds proxy i with its discoveries, and starts it.
func (f *Fleet) addNode(i int) error {
	n := &Node{number: i, fleet: f, suspending: map[string]bool{}}
	for k := range n.discovery {
		d, err := f.newDiscovery(n, k)
		if err != nil {
			return err
		}
		n.discovery[k] = d
	}
	n.mergeList(n.discovery[0].List())
	dir := filepath.Join(f.env.Dir, fmt.Sprintf("tmp%d", i))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	n.setup = experiment.Setup{Name: fmt.Sprint("n", i), Listen: f.address(1, i), Classes: f.classes, Cores: 0.5, MemoryMB: 96, Sockets: 1024,
		Connect: 250 * time.Millisecond, Tmp: dir}
	if f.options.Logs != "" {
		n.setup.Settings = filepath.Join(f.env.Dir, "debug.sexp")
		if err := os.WriteFile(n.setup.Settings, []byte("(log (level debug) (repeat 0))"), 0o600); err != nil {
			return err
		}
	}
	if f.options.FailCalls {
		f.shims = append(f.shims, NewShim(f.options.Seed*1000+uint64(i)))
	}
	f.nodes = append(f.nodes, n)
	return n.start()
}

// newDiscovery starts a proxy's discovery k, which notes what it writes to the proxy.
func (f *Fleet) newDiscovery(n *Node, k int) (*fake.Discovery, error) {
	d, err := fake.NewDiscovery()
	if err != nil {
		return nil, err
	}
	for _, h := range f.hosts {
		d.Set(h.Entry("up"))
	}
	d.OnWritten(func(l fake.List) {
		n.mergeList(l)
		if running := n.running(); len(running) > 0 {
			n.recordList(running, l, fmt.Sprintf("discovery %d, version %d, whole %t", k, l.Rev, l.All))
		}
	})
	return d, nil
}

// launch starts a proxy's process, behind its shim where it has one.
func (f *Fleet) launch(s experiment.Setup, number int) (*experiment.Process, error) {
	if f.options.BendClocks {
		s.Env = append(s.Env[:len(s.Env):len(s.Env)], f.drawClock())
	}
	if !f.options.FailCalls {
		return f.env.Proxy(s)
	}
	return f.shims[number].Launch(f.env, s)
}

// Hosts are those that there have been.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Host(nil), f.hosts...)
}

// setState has every discovery list a host in a state.
func (f *Fleet) setState(h *Host, state string) {
	for _, n := range f.nodes {
		for _, d := range n.discovery {
			d.Set(h.Entry(state))
		}
	}
}

// recordError notes an error of the play itself; nil is none.
func (f *Fleet) recordError(err error) {
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.errors = append(f.errors, err)
	}
}

// Close ends all of it.
func (f *Fleet) Close() {
	for _, n := range f.nodes {
		for _, l := range n.incarnations {
			if l.proc != nil {
				l.proc.Kill()
			}
		}
		for _, d := range n.discovery {
			d.Close()
		}
	}
	for _, s := range f.shims {
		s.Close()
	}
	for _, h := range f.Hosts() {
		h.Down()
	}
	f.stalls.stop()
}
