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

// MaxCountedDeadline bounds a class's deadline as it counts for the time between SIGTERM and SIGKILL.
const MaxCountedDeadline = 3 * time.Second

// KillAfter is the earliest moment after SIGTERM at which a process may get SIGKILL.
func KillAfter(longest time.Duration) time.Duration {
	return min(longest, MaxCountedDeadline) + 700*time.Millisecond
}

// Options are a play's size and faults.
type Options struct {
	Seed            uint64
	Proxies         int
	Hosts           int
	Length          time.Duration
	Rate            float64 // requests a second at each proxy
	FaultCount      int     // drawn over the whole time
	FailSystemCalls bool    // system calls fail too
	SkewClocks      bool    // the system's clock is set while processes run and between them; the program must call SkewClock
	LogDir          string  // a folder for the processes' logs at debug level; "": none
}

// Fleet is the proxies of one play with their hosts, discoveries and clients.
type Fleet struct {
	options     Options
	env         *experiment.Env
	deadlineRNG *rand.Rand // draws the deadlines
	clockRNG    *rand.Rand // draws the clocks' offsets; protected by mu
	record      *Record
	classes     []experiment.Class
	shims       []*Shim // by proxy; none: no system calls fail
	nodes       []*Node
	stallMeter  *stallMeter
	workers     sync.WaitGroup // clients and faults

	mu       sync.Mutex // protects what follows
	hosts    []*Host
	requests []*clientRequest
	errors   []error // of the play itself
}

// fleetCount counts this process's fleets: each has addresses of its own.
var fleetCount int

// NewFleet starts hosts, discoveries and proxies, all at addresses that no other process uses.
func NewFleet(env *experiment.Env, opt Options) (*Fleet, error) {
	fleetCount++
	f := &Fleet{options: opt, env: env, record: NewRecord(), stallMeter: newStallMeter(),
		deadlineRNG: rand.New(rand.NewPCG(opt.Seed, 38)), clockRNG: rand.New(rand.NewPCG(opt.Seed, 39))}
	f.classes = randomClasses(f.deadlineRNG)
	for i := range opt.Hosts {
		h, err := NewHost(fmt.Sprintf("s-%d", i), zoneOf(i), f.address(hostAddress, i), f.record)
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

// randomClasses draws the three classes' deadlines; the first is the longest.
func randomClasses(rng *rand.Rand) []experiment.Class {
	const ms = time.Millisecond
	longest := []time.Duration{400 * ms, 1000 * ms, 2000 * ms, 3000 * ms, 4800 * ms, 9000 * ms}[rng.IntN(6)]
	return []experiment.Class{
		{Name: "safe", Deadline: longest, Idempotency: experiment.Idempotent},
		{Name: "keyed", Deadline: max(longest/2, 300*ms), Idempotency: experiment.IdempotentByKey, Window: time.Duration(200+rng.IntN(3000)) * ms},
		{Name: "unsafe", Deadline: max(longest*3/4, 300*ms), Idempotency: experiment.NonIdempotent},
	}
}

// zoneOf is the zone of host i: the hosts are spread over three.
func zoneOf(i int) string { return []string{"a", "b", "c"}[i%3] }

// The kinds of addresses: each has a range of its own.
const (
	proxyAddress = 1
	hostAddress  = 2
)

// address is a loopback address that only this play uses.
func (f *Fleet) address(kind, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", experiment.ProcessNetwork(), fleetCount%100, kind*80+i%80, experiment.ProcessPort()+i/80)
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
	n.setup = experiment.Setup{Name: fmt.Sprint("n", i), Listen: f.address(proxyAddress, i), Classes: f.classes, Cores: 0.5, MemoryMB: 96, MaxDescriptors: 1024,
		ConnectTimeout: 250 * time.Millisecond, TmpDir: dir}
	if f.options.LogDir != "" {
		n.setup.Settings = filepath.Join(f.env.Dir, "debug.sexp")
		if err := os.WriteFile(n.setup.Settings, []byte("(log (level debug) (repeat 0))"), 0o600); err != nil {
			return err
		}
	}
	if f.options.FailSystemCalls {
		f.shims = append(f.shims, NewShim(f.options.Seed*1000+uint64(i)))
	}
	f.nodes = append(f.nodes, n)
	return n.start()
}

// newDiscovery starts a proxy's discovery k, which records each list that it writes to the proxy.
func (f *Fleet) newDiscovery(n *Node, k int) (*fake.Discovery, error) {
	d, err := fake.NewDiscovery()
	if err != nil {
		return nil, err
	}
	for _, h := range f.hosts {
		d.Set(h.Entry("up"))
	}
	d.OnWritten(func(list fake.List) {
		n.mergeList(list)
		if running := n.running(); len(running) > 0 {
			n.recordList(running, list, fmt.Sprintf("discovery %d, revision %d, complete %t", k, list.Rev, list.Complete))
		}
	})
	return d, nil
}

// launch starts a proxy's process, behind its shim where it has one.
func (f *Fleet) launch(s experiment.Setup, number int) (*experiment.Process, error) {
	if f.options.SkewClocks {
		s.Env = append(s.Env[:len(s.Env):len(s.Env)], f.randomClockSkew())
	}
	if !f.options.FailSystemCalls {
		return f.env.Proxy(s)
	}
	return f.shims[number].Launch(f.env, s)
}

// Hosts are all hosts of the play.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Host(nil), f.hosts...)
}

// setState changes a host's state in the lists of all discoveries.
func (f *Fleet) setState(h *Host, state string) {
	for _, n := range f.nodes {
		for _, d := range n.discovery {
			d.Set(h.Entry(state))
		}
	}
}

// recordError records an error of the play itself, if there is one.
func (f *Fleet) recordError(err error) {
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.errors = append(f.errors, err)
	}
}

// Close ends all processes and fakes.
func (f *Fleet) Close() {
	for _, n := range f.nodes {
		for _, process := range n.processes {
			if process.proc != nil {
				process.proc.Kill()
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
		h.Crash()
	}
	f.stallMeter.stop()
}
