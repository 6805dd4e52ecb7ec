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

// CountedDeadline is the most that a class's deadline counts for in the time between SIGTERM and SIGKILL.
const CountedDeadline = 3 * time.Second

// KillAfter is the earliest moment after SIGTERM at which a process may get SIGKILL.
func KillAfter(longest time.Duration) time.Duration {
	return min(longest, CountedDeadline) + 700*time.Millisecond
}

// Options say what is played.
type Options struct {
	Seed    uint64
	Proxies int
	Hosts   int
	Length  time.Duration
	Rate    float64 // requests a second at each proxy
	Faults  int     // drawn for the whole time, beside those of every play
	Calls   bool    // system calls fail too
	Clocks  bool    // the system's clock is set while processes run and between them; the program must be one that BendClock was called in
	Logs    string  // a folder for the processes' logs at debug level; "": none
}

// Fleet is the proxies of one play with all that is around them.
type Fleet struct {
	opt     Options
	env     *experiment.Env
	rng     *rand.Rand
	clocks  *rand.Rand
	record  *Record
	classes []experiment.Class
	shims   []*Shim // by proxy; nil: its system calls are left alone
	nodes   []*Node
	slack   *stallMeter

	mu       sync.Mutex
	hosts    []*Host
	sessions []*asked
	errs     []error
	playing  sync.WaitGroup
}

var fleets int

// NewFleet starts hosts, discoveries and proxies. All of them have addresses of this process's own, so that no port can be taken by another.
func NewFleet(env *experiment.Env, opt Options) (*Fleet, error) {
	fleets++
	f := &Fleet{opt: opt, env: env, rng: rand.New(rand.NewPCG(opt.Seed, 38)), clocks: rand.New(rand.NewPCG(opt.Seed, 39)), record: NewRecord(), slack: newStallMeter()}
	longest := []time.Duration{400, 1000, 2000, 3000, 4800, 9000}[f.rng.IntN(6)] * time.Millisecond
	f.classes = []experiment.Class{{Name: "safe", Deadline: longest, Effect: experiment.Safe}, {Name: "keyed", Deadline: max(longest/2, 300*time.Millisecond), Effect: experiment.Keyed,
		Window: time.Duration(200+f.rng.IntN(3000)) * time.Millisecond}, {Name: "unsafe", Deadline: max(longest*3/4, 300*time.Millisecond), Effect: experiment.Unsafe}}
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

// zone spreads things over three zones.
func zone(i int) string { return []string{"a", "b", "c"}[i%3] }

// address is one of this play's own: loopback addresses that this process alone uses.
func (f *Fleet) address(kind, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", experiment.OwnNetwork(), fleets%100, kind*80+i%80, experiment.OwnPort()+i/80)
}

func (f *Fleet) longest() time.Duration { return f.classes[0].Deadline }

func (f *Fleet) addNode(i int) error {
	n := &Node{number: i, fleet: f, banning: map[string]bool{}}
	for k := range n.discovery {
		d, err := fake.NewDiscovery()
		if err != nil {
			return err
		}
		n.discovery[k] = d
		for _, h := range f.hosts {
			d.Set(h.Entry("up"))
		}
		d.OnWritten(func(l fake.List) {
			n.hold(l)
			if lives := n.running(); len(lives) > 0 {
				n.told(lives, l, fmt.Sprintf("discovery %d, version %d, whole %t", k, l.Rev, l.All))
			}
		})
	}
	n.hold(n.discovery[0].List())
	dir := filepath.Join(f.env.Dir, fmt.Sprintf("tmp%d", i))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	n.setup = experiment.Setup{Name: fmt.Sprint("n", i), Listen: f.address(1, i), Classes: f.classes, Cores: 0.5, MemoryMB: 96, Sockets: 1024,
		Connect: 250 * time.Millisecond, Tmp: dir}
	if f.opt.Logs != "" {
		n.setup.Settings = filepath.Join(f.env.Dir, "debug.sexp")
		if err := os.WriteFile(n.setup.Settings, []byte("(log (level debug) (repeat 0))"), 0o600); err != nil {
			return err
		}
	}
	if f.opt.Calls {
		s, err := NewShim(f.opt.Seed*1000 + uint64(i))
		if err != nil {
			return err
		}
		f.shims = append(f.shims, s)
	}
	f.nodes = append(f.nodes, n)
	return n.start()
}

// launch starts a proxy's process, behind its shim where it has one.
func (f *Fleet) launch(s experiment.Setup, number int) (*experiment.Process, error) {
	if f.opt.Clocks {
		s.Env = append(s.Env[:len(s.Env):len(s.Env)], f.drawClock())
	}
	if !f.opt.Calls {
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

// list has every discovery tell of a host's state.
func (f *Fleet) list(h *Host, state string) {
	for _, n := range f.nodes {
		for _, d := range n.discovery {
			d.Set(h.Entry(state))
		}
	}
}

func (f *Fleet) fail(err error) {
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.errs = append(f.errs, err)
	}
}

// Close ends all of it.
func (f *Fleet) Close() {
	for _, n := range f.nodes {
		for _, l := range n.all {
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
	f.slack.stop()
}

// stallMeter measures for how long this machine keeps a process from running.
type stallMeter struct {
	mu   sync.Mutex
	most time.Duration
	end  chan struct{}
}

func newStallMeter() *stallMeter {
	m := &stallMeter{end: make(chan struct{})}
	go func() {
		const step = 5 * time.Millisecond
		for last := time.Now(); ; {
			select {
			case <-m.end:
				return
			case <-time.After(step):
				m.mu.Lock()
				m.most = max(m.most, time.Since(last)-step)
				m.mu.Unlock()
				last = time.Now()
			}
		}
	}()
	return m
}

func (m *stallMeter) value() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.most
}

func (m *stallMeter) stop() { close(m.end) }
