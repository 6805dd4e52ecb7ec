package lab

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"croftlock/internal/members"
	"croftlock/internal/membership"
	"croftlock/internal/membership/virtual"
	"croftlock/internal/settings"
	"croftlock/internal/standin"
)

// Rig is several processes of the program with faults between them.
type Rig struct {
	Mesh  *standin.Mesh
	Procs []*Process
	env   *Env
	dir   string
	setup []Setup
}

// NewRig starts n processes that know one another through a mesh; run is added to each one's environment. key, if any, seals what
// they tell one another.
func NewRig(e *Env, n int, seed uint64, key string, run ...string) (*Rig, error) {
	dir, err := os.MkdirTemp(e.Dir, "rig")
	if err != nil {
		return nil, err
	}
	r := &Rig{env: e, dir: dir, Procs: make([]*Process, n)}
	if r.Mesh, err = standin.NewMesh(n, seed); err != nil {
		return nil, err
	}
	for i := range n {
		text := fmt.Sprintf("(membership (on on) (fleet lab) (listen %q) (peers %q) (socket %q)", r.Mesh.Own(i), strings.Join(r.Mesh.Peers(i), " "), r.socket(i))
		if key != "" {
			path := filepath.Join(dir, "key")
			if err := os.WriteFile(path, []byte(key), 0o600); err != nil {
				return nil, err
			}
			text += fmt.Sprintf(" (keys %q)", path)
		}
		path := filepath.Join(dir, fmt.Sprintf("n%d.sexp", i))
		if err := os.WriteFile(path, []byte("(log (level info) (repeat 0))\n"+text+")\n"), 0o600); err != nil {
			return nil, err
		}
		r.setup = append(r.setup, Setup{Name: virtual.Name(i), Discovery: "127.0.0.1:1", Known: standin.List{Rev: 1, All: true, Targets: []standin.Entry{}},
			Settings: path, Cores: 0.5, Sockets: 256, MemoryMB: 64, Env: run})
	}
	for i := range n {
		if err := r.Start(i); err != nil {
			r.Close()
			return nil, err
		}
	}
	return r, nil
}

func (r *Rig) socket(i int) string { return filepath.Join(r.dir, fmt.Sprintf("n%d.sock", i)) }

// Start begins a process, or a new life of it.
func (r *Rig) Start(i int) (err error) {
	r.Procs[i], err = r.env.Proxy(r.setup[i])
	return err
}

// Ask asks a process who is there.
func (r *Rig) Ask(i int) (members.Report, error) { return members.Ask(r.socket(i)) }

// Sees is how one process holds another; "" where it does not answer.
func (r *Rig) Sees(i, j int) string {
	rep, err := r.Ask(i)
	if err != nil {
		return ""
	}
	for _, m := range rep.Members {
		if m.Slot == j {
			return m.State
		}
	}
	return membership.Joining.String()
}

// Until waits for something to hold, and tells how long that took.
func Until(within time.Duration, holds func() bool) (time.Duration, bool) {
	began := time.Now()
	for !holds() {
		if time.Since(began) > within {
			return within, false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began), true
}

// AllSee waits until each of some processes holds another for one of some states.
func (r *Rig) AllSee(within time.Duration, by []int, j int, states ...string) (time.Duration, bool) {
	return Until(within, func() bool {
		for _, i := range by {
			s := r.Sees(i, j)
			ok := false
			for _, want := range states {
				ok = ok || s == want
			}
			if i != j && !ok {
				return false
			}
		}
		return true
	})
}

// Whole waits until all processes hold all others for alive.
func (r *Rig) Whole(within time.Duration) (time.Duration, bool) {
	return Until(within, func() bool {
		for i := range r.Procs {
			for j := range r.Procs {
				if i != j && r.Sees(i, j) != "alive" {
					return false
				}
			}
		}
		return true
	})
}

// Close ends all of it.
func (r *Rig) Close() {
	for _, p := range r.Procs {
		if p != nil {
			p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
	r.Mesh.Close()
}

// ReadPlan reads a plan: S-expressions as virtual.Fault prints them, times in milliseconds.
func ReadPlan(name string, data []byte, processes int) ([]virtual.Fault, error) {
	root, faults := settings.Parse(name, data)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	var plan []virtual.Fault
	for _, line := range root.Values() {
		bad := func(what string) error { return fmt.Errorf("%s:%v: %s", name, line.Pos, what) }
		v := line.Values()
		if len(v) == 0 || len(v[0].Values()) > 0 {
			return nil, bad("expected (KIND (at MS) (for MS) (a N) ...)")
		}
		p := virtual.Fault{Kind: v[0].Text}
		if !virtual.Known(p.Kind) {
			return nil, bad(fmt.Sprintf("no fault %q", p.Kind))
		}
		for _, field := range v[1:] {
			w := field.Values()
			if len(w) != 2 {
				return nil, bad("expected (NAME NUMBER)")
			}
			x, err := strconv.ParseFloat(w[1].Text, 64)
			if err != nil || x < 0 || x > 1e9 {
				return nil, bad(fmt.Sprintf("%s: %q is no number from 0 to 1e9", w[0].Text, w[1].Text))
			}
			switch w[0].Text {
			case "at":
				p.At = int64(x)
			case "for":
				p.For = int64(x)
			case "a":
				p.A = int(x)
			case "b":
				p.B = int(x)
			case "part":
				p.Part = x
			default:
				return nil, bad(fmt.Sprintf("no field %q", w[0].Text))
			}
		}
		if p.A >= processes || p.B >= processes || p.Part > 1 {
			return nil, bad(fmt.Sprintf("a process under %d and a part up to 1 are possible", processes))
		}
		plan = append(plan, p)
	}
	return plan, nil
}

// Play has a plan's faults happen to real processes, and returns once the last one has ended.
func (r *Rig) Play(plan []virtual.Fault) error {
	type step struct {
		at time.Duration
		do func() error
	}
	var steps []step
	for _, p := range plan {
		begin, end, err := r.effect(p)
		if err != nil {
			return err
		}
		steps = append(steps, step{time.Duration(p.At) * time.Millisecond, begin}, step{time.Duration(p.At+p.For) * time.Millisecond, end})
	}
	began := time.Now()
	for len(steps) > 0 {
		next := 0
		for i := range steps {
			if steps[i].at < steps[next].at {
				next = i
			}
		}
		time.Sleep(time.Until(began.Add(steps[next].at)))
		if err := steps[next].do(); err != nil {
			return err
		}
		steps = append(steps[:next], steps[next+1:]...)
	}
	return nil
}

func (r *Rig) effect(p virtual.Fault) (begin, end func() error, err error) {
	n := len(r.Procs)
	nothing := func() error { return nil }
	links := func(which func(i, j int) bool, change func(l *standin.Link, on bool)) (func() error, func() error) {
		set := func(on bool) func() error {
			return func() error {
				for i := range n {
					for j := range n {
						if i != j && which(i, j) {
							r.Mesh.Set(i, j, func(l *standin.Link) { change(l, on) })
						}
					}
				}
				return nil
			}
		}
		return set(true), set(false)
	}
	cut := func(l *standin.Link, on bool) { l.Cut = on }
	part := func(on bool) float64 {
		if on {
			return p.Part
		}
		return 0
	}
	all := func(int, int) bool { return true }
	switch p.Kind {
	case "pause":
		return func() error { r.Procs[p.A].Signal(syscall.SIGSTOP); return nil }, func() error { r.Procs[p.A].Signal(syscall.SIGCONT); return nil }, nil
	case "kill":
		return func() error { r.Procs[p.A].Kill(); return nil }, nothing, nil
	case "restart":
		return func() error { r.Procs[p.A].Kill(); return nil }, func() error { return r.Start(p.A) }, nil
	case "leave":
		return func() error { return r.Procs[p.A].Stop() }, nothing, nil
	case "cut":
		begin, end = links(func(i, j int) bool { return i == p.A || j == p.A }, cut)
	case "one-way":
		begin, end = links(func(i, j int) bool { return i == p.A && j == p.B }, cut)
	case "deaf":
		begin, end = links(func(i, j int) bool { return j == p.A }, cut)
	case "mute":
		begin, end = links(func(i, j int) bool { return i == p.A }, cut)
	case "loss":
		begin, end = links(all, func(l *standin.Link, on bool) { l.Loss = part(on) })
	case "twice":
		begin, end = links(all, func(l *standin.Link, on bool) { l.Twice = part(on) })
	case "garbage":
		begin, end = links(all, func(l *standin.Link, on bool) { l.Garbage = part(on) })
	case "slow":
		begin, end = links(all, func(l *standin.Link, on bool) {
			if l.Jitter = 0; on {
				l.Jitter = 100 * time.Millisecond
			}
		})
	default:
		return nil, nil, fmt.Errorf("%s happens in virtual time only", p.Kind)
	}
	return begin, end, nil
}

// PlanText is a plan as ReadPlan reads it.
func PlanText(plan []virtual.Fault) string {
	var b bytes.Buffer
	for _, p := range plan {
		fmt.Fprintln(&b, p)
	}
	return b.String()
}
