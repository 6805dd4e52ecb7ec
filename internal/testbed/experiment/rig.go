package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/membership/simulation"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/testbed/fake"
)

// Rig is several processes of the program with faults between them.
type Rig struct {
	Mesh  *fake.Mesh
	Procs []*Process
	env   *Env
	dir   string
	setup []Setup
	admin []string // where each one's operators call
	mu    sync.Mutex
	all   []*Process // every life that was begun
}

// NewRig starts n processes that know one another through a mesh; run is added to each one's environment. key, if any, seals what
// they tell one another.
func NewRig(e *Env, n int, seed uint64, key string, run ...string) (*Rig, error) {
	return NewRigWith(e, RigOptions{N: n, Seed: seed, Key: key, Env: run})
}

// NewOwners is NewRig with more sections in each process's file, in which DIR stands for a folder of its own.
func NewOwners(e *Env, n int, seed uint64, key, sections string, run ...string) (*Rig, error) {
	return NewRigWith(e, RigOptions{N: n, Seed: seed, Key: key, Sections: sections, Env: run})
}

// NewRigWith starts processes that know one another through a mesh.
func NewRigWith(e *Env, o RigOptions) (*Rig, error) {
	n, key, sections, run := o.N, o.Key, o.Sections, o.Env
	if o.Level == "" {
		o.Level = "info"
	}
	setup := Setup{Discovery: "127.0.0.1:1", Known: fake.List{Rev: 1, All: true, Targets: []fake.Entry{{UID: "s0", Endpoint: "127.0.0.1:1", State: "up", Weight: 1}}}}
	if o.Fleet != nil {
		o.Discovery = o.Fleet.discovery
	}
	if o.Discovery != nil {
		setup.Discovery, setup.Known = o.Discovery.Addr(), o.Discovery.List()
	}
	if len(o.Discoveries) > 0 && len(o.Discoveries) != n {
		return nil, fmt.Errorf("%d discoveries for %d processes", len(o.Discoveries), n)
	}
	dir, err := os.MkdirTemp(e.Dir, "rig")
	if err != nil {
		return nil, err
	}
	r := &Rig{env: e, dir: dir, Procs: make([]*Process, n), admin: make([]string, n)}
	if r.Mesh, err = fake.NewMesh(n, o.Seed); err != nil {
		return nil, err
	}
	for i := range n {
		if len(o.Discoveries) > 0 {
			setup.Discovery, setup.Known = o.Discoveries[i].Addr(), o.Discoveries[i].List()
		}
		text := fmt.Sprintf("(membership (on on) (fleet lab) (listen %q) (peers %q) (socket %q)", r.Mesh.Own(i), strings.Join(r.Mesh.Peers(i), " "), r.socket(i))
		if key != "" {
			path := filepath.Join(dir, "key")
			if err := os.WriteFile(path, []byte(key), 0o600); err != nil {
				return nil, err
			}
			text += fmt.Sprintf(" (keys %q)", path)
		}
		path := filepath.Join(dir, fmt.Sprintf("n%d.sexp", i))
		own := r.Dir(i)
		if err := os.Mkdir(own, 0o700); err != nil {
			return nil, err
		}
		more := strings.ReplaceAll(sections, "DIR", own)
		if err := os.WriteFile(path, []byte(fmt.Sprintf("(log (level %s) (repeat 0))\n", o.Level)+text+")\n"+more+"\n"), 0o600); err != nil {
			return nil, err
		}
		listen, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		tmp := filepath.Join(dir, fmt.Sprintf("tmp%d", i))
		if err := os.Mkdir(tmp, 0o700); err != nil {
			return nil, err
		}
		program := ""
		if strings.Contains(sections, "(dir ") && filepath.Base(e.Croftlock) == "croftlock" {
			program = e.Croftlock + "-voter" // the program that keeps votes on a disk
		}
		r.setup = append(r.setup, Setup{Program: program, Listen: listen, Tmp: tmp, Name: simulation.Name(i), Discovery: setup.Discovery, Known: setup.Known,
			Settings: path, Cores: 0.5, Sockets: 1024, MemoryMB: 64, Env: run})
	}
	for i := range n {
		if err := r.Start(i); err != nil {
			r.Close()
			return nil, err
		}
	}
	return r, nil
}

// Dir is a process's own folder, which outlives it.
func (r *Rig) Dir(i int) string { return filepath.Join(r.dir, fmt.Sprintf("own%d", i)) }

// Owners asks a process about the fleet's owners.
func (r *Rig) Owners(i int, q owneragent.Request) (owneragent.Reply, error) {
	return owneragent.Ask(filepath.Join(r.Dir(i), "owners.sock"), q)
}

func (r *Rig) socket(i int) string { return filepath.Join(r.dir, fmt.Sprintf("n%d.sock", i)) }

// Start begins a process, or a new life of it.
func (r *Rig) Start(i int) (err error) {
	s := r.setup[i]
	if s.Admin, err = FreeAddr(); err != nil {
		return err
	}
	r.admin[i] = s.Admin
	if r.Procs[i], err = r.env.Proxy(s); err == nil {
		r.mu.Lock()
		r.all = append(r.all, r.Procs[i])
		r.mu.Unlock()
	}
	return err
}

// Replace starts another process in a process's place, as a release does, and ends the one before in order.
func (r *Rig) Replace(i int) error {
	old := r.Procs[i]
	if err := r.Start(i); err != nil {
		return err
	}
	if err := Ready(r.admin[i], 20*time.Second); err != nil {
		return err
	}
	return old.Stop()
}

// Suspend has a process's operators take its one host out, or call it back; what is kept of that goes to its disk.
func (r *Rig) Suspend(i int, out bool) error {
	word := "resume"
	if out {
		word = "suspend"
	}
	status, body, _, err := Call(r.admin[i], "POST", "/v1/catalogue-servers/s0/"+word)
	if err == nil && status != 200 {
		err = fmt.Errorf("%s: %d %s", word, status, body)
	}
	return err
}

// Ask asks a process who is there.
func (r *Rig) Ask(i int) (memberagent.Report, error) { return memberagent.Ask(r.socket(i)) }

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

// Holders asks all processes but some which jobs they own. A job that two own counts for none, and what is odd is told.
func (r *Rig) Holders(but ...int) (map[string]int, string) {
	out, odd := map[string]int{}, ""
	for i := range r.Procs {
		if slices.Contains(but, i) {
			continue
		}
		rep, err := r.Owners(i, owneragent.Request{Do: "owners"})
		if err != nil {
			return nil, err.Error()
		}
		for job := range rep.Owned {
			if j, two := out[job]; two {
				odd = fmt.Sprintf("n%d and n%d both own %s", j, i, job)
			}
			out[job] = i
		}
	}
	if odd != "" {
		return nil, odd
	}
	return out, ""
}

// CheckTokens looks through all processes' logs, those of this rig's whole time: no token of a job was begun by two processes.
func (r *Rig) CheckTokens() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	by := map[string]string{}
	for life, p := range r.all {
		for _, l := range p.Log("event=job_acquired ") {
			key := field(l, "job") + " " + field(l, "token")
			me := fmt.Sprintf("life %d, at %s", life, p.Addr)
			if o, taken := by[key]; taken && o != me {
				return fmt.Errorf("token %s was begun by %s and by %s", key, o, me)
			}
			by[key] = me
		}
	}
	if len(by) == 0 {
		return errors.New("no job was ever begun")
	}
	return nil
}

func field(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// Cut cuts a process from all others, in both directions, or heals that.
func (r *Rig) Cut(i int, on bool) {
	for j := range r.Procs {
		if i != j {
			r.Mesh.Set(i, j, func(l *fake.Link) { l.Cut = on })
			r.Mesh.Set(j, i, func(l *fake.Link) { l.Cut = on })
		}
	}
}

// Full has a process's disk without room, and with it again.
func (r *Rig) Full(i int) (begin, end func() error) {
	begin, end, _ = r.effect(simulation.Fault{Kind: "full", Process: i})
	return begin, end
}
