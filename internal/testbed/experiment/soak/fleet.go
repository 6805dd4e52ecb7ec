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

// MaxCountedDeadline is the longest deadline that KillAfter takes into account. Longer deadlines
// count as this one.
const MaxCountedDeadline = 3 * time.Second

// KillAfter returns the shortest time after SIGTERM at which the platform may send SIGKILL to a
// proxy process. longest is the longest deadline of the proxy's classes.
func KillAfter(longest time.Duration) time.Duration {
	return min(longest, MaxCountedDeadline) + 700*time.Millisecond
}

// Options configures a run.
type Options struct {
	Seed            uint64        // of all random choices
	Proxies         int           // number of proxies
	Hosts           int           // number of upstream hosts
	Length          time.Duration // time in which clients connect and faults start
	Rate            float64       // requests per second at each proxy
	FaultCount      int           // number of faults, which start at random times during Length
	FailSystemCalls bool          // makes system calls of the proxies fail; the program must call ExecBehindShim
	SkewClocks      bool          // changes each process's wall clock, also while it runs; the program must call SkewClock
	Rules           bool          // turns on the operators' settings: the fleet agrees on rules that refuse a tenant
	LogDir          string        // directory for the processes' logs at debug level; if empty, no logs are saved
}

// Fleet contains the proxies of one run with their hosts, discovery services and clients.
type Fleet struct {
	options     Options
	env         *experiment.Env
	deadlineRNG *rand.Rand // for the classes' deadlines and windows
	clockRNG    *rand.Rand // for the clocks' offsets; protected by mu
	record      *Record
	classes     []experiment.Class
	shims       []*Shim // by proxy number; empty if no system calls fail
	nodes       []*Node
	stallMeter  *stallMeter
	workers     sync.WaitGroup // goroutines of clients, faults and shims
	// voterRestart is held while a voter of the fleet's rules is replaced, and for a while after.
	voterRestart sync.Mutex

	mu       sync.Mutex // protects the fields below and clockRNG
	hosts    []*Host
	requests []*clientRequest
	usedIDs  []*usedIDRequest
	errors   []error // of the run itself
}

// fleetCount is the number of fleets made by this process. It gives each fleet addresses of its
// own.
var fleetCount int

// NewFleet starts hosts, discovery services and proxies. Hosts and proxies listen at addresses that
// no other process uses. If a proxy does not start, NewFleet returns the fleet with the error, and
// the caller must close it. If a host does not start, the returned fleet is nil.
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
	if opt.Rules {
		return f, f.agreeOnRules()
	}
	return f, nil
}

// randomClasses returns three classes with random deadlines. The first class has the longest
// deadline.
func randomClasses(rng *rand.Rand) []experiment.Class {
	const ms = time.Millisecond
	longest := []time.Duration{400 * ms, 1000 * ms, 2000 * ms, 3000 * ms, 4800 * ms, 9000 * ms}[rng.IntN(6)]
	return []experiment.Class{
		{Name: "safe", Deadline: longest, Idempotency: experiment.Idempotent},
		{Name: "keyed", Deadline: max(longest/2, 300*ms), Idempotency: experiment.IdempotentByKey, Window: time.Duration(200+rng.IntN(3000)) * ms},
		{Name: "unsafe", Deadline: max(longest*3/4, 300*ms), Idempotency: experiment.NonIdempotent},
	}
}

// zoneOf returns the zone of host i. The hosts are spread over three zones.
func zoneOf(i int) string { return []string{"a", "b", "c"}[i%3] }

// The kinds of addresses. Each kind has its own range.
const (
	proxyAddress = 1
	hostAddress  = 2
	peerAddress  = 3 // of a proxy, for datagrams of the other proxies
)

// address returns the loopback address of the proxy or host i, which only this fleet uses.
func (f *Fleet) address(kind, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", experiment.ProcessNetwork(), fleetCount%100, kind*80+i%80, experiment.ProcessPort()+i/80)
}

// longestDeadline returns the longest deadline of all classes.
func (f *Fleet) longestDeadline() time.Duration { return f.classes[0].Deadline }

// addNode adds proxy i with its two discovery services and starts it.
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
	if err := f.writeSettings(n); err != nil {
		return err
	}
	if f.options.FailSystemCalls {
		f.shims = append(f.shims, NewShim(f.options.Seed*1000+uint64(i)))
	}
	f.nodes = append(f.nodes, n)
	return n.start()
}

// writeSettings writes the operators' settings file of a proxy, if it needs one.
func (f *Fleet) writeSettings(n *Node) error {
	text := ""
	if f.options.LogDir != "" {
		text = "(log (level debug) (repeat 0))\n"
	}
	if f.options.Rules {
		text += f.rulesSettings(n.number)
	}
	if text == "" {
		return nil
	}
	n.setup.Settings = filepath.Join(f.env.Dir, fmt.Sprintf("n%d.sexp", n.number))
	return os.WriteFile(n.setup.Settings, []byte(text), 0o600)
}

// newDiscovery starts discovery service k of a proxy. Each list that it writes to the proxy is
// recorded.
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

// launch starts a process of a proxy. If system calls are to fail, it starts the process behind the
// proxy's shim.
func (f *Fleet) launch(s experiment.Setup, number int) (*experiment.Process, error) {
	if f.options.SkewClocks {
		s.Env = append(s.Env[:len(s.Env):len(s.Env)], f.randomClockSkew())
	}
	if !f.options.FailSystemCalls {
		return f.env.Proxy(s)
	}
	return f.shims[number].Launch(f.env, s)
}

// Hosts returns all hosts of the fleet.
func (f *Fleet) Hosts() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Host(nil), f.hosts...)
}

// setState sets a host's state in the lists of all discovery services.
func (f *Fleet) setState(h *Host, state string) {
	for _, n := range f.nodes {
		for _, d := range n.discovery {
			d.Set(h.Entry(state))
		}
	}
}

// recordError records an error of the run itself. It ignores nil.
func (f *Fleet) recordError(err error) {
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.errors = append(f.errors, err)
	}
}

// Close kills all processes and stops all fakes.
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
