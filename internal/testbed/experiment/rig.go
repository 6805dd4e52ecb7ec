package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/membership/simulation"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/testbed/fake"
)

// Rig is several processes of the program, with a network between them that can have faults.
type Rig struct {
	Mesh   *fake.Mesh
	Procs  []*Process // the running process of each name
	env    *Env
	dir    string
	setups []Setup  // what each process is started with
	admin  []string // address of each process's admin interface

	mu           sync.Mutex // protects all
	incarnations []*Process // every incarnation that was started, of every name
}

// RigOptions configure a rig's processes.
type RigOptions struct {
	Processes        int        // number of processes
	Seed             uint64     // of the mesh's random faults
	Key              string     // seals the datagrams between the processes; "": they are not sealed
	SettingsSections string     // further sections of the settings file; DIR stands for a folder of each process's own
	LogLevel         string     // of the log; "": info
	Upstreams        *upstreams // hosts with their discovery; nil: Discovery, Discoveries, or none that answers
	// Discovery is that of all processes.
	Discovery *fake.Discovery
	// Discoveries are one for each process, so that their lists can differ.
	Discoveries []*fake.Discovery
	Env         []string // added to each process's environment
}

// NewRig starts n processes that reach one another through a mesh; env is added to each one's environment. key seals the datagrams between
// them; "": they are not sealed.
func NewRig(e *Env, n int, seed uint64, key string, env ...string) (*Rig, error) {
	return NewRigWithOptions(e, RigOptions{Processes: n, Seed: seed, Key: key, Env: env})
}

// NewRigWithOptions starts processes that reach one another through a mesh.
func NewRigWithOptions(e *Env, o RigOptions) (*Rig, error) {
	if o.LogLevel == "" {
		o.LogLevel = "info"
	}
	if len(o.Discoveries) > 0 && len(o.Discoveries) != o.Processes {
		return nil, fmt.Errorf("%d discoveries for %d processes", len(o.Discoveries), o.Processes)
	}
	dir, err := os.MkdirTemp(e.Dir, "rig")
	if err != nil {
		return nil, err
	}
	r := &Rig{env: e, dir: dir, Procs: make([]*Process, o.Processes), admin: make([]string, o.Processes)}
	if r.Mesh, err = fake.NewMesh(o.Processes, o.Seed); err != nil {
		return nil, err
	}
	for i := range o.Processes {
		s, err := r.prepareProcess(i, o)
		if err != nil {
			return nil, err
		}
		r.setups = append(r.setups, s)
	}
	for i := range o.Processes {
		if err := r.Start(i); err != nil {
			r.Close()
			return nil, err
		}
	}
	return r, nil
}

// prepareProcess makes the folders and the settings file of process i.
func (r *Rig) prepareProcess(i int, o RigOptions) (Setup, error) {
	if err := os.Mkdir(r.Dir(i), 0o700); err != nil {
		return Setup{}, err
	}
	settings, err := r.writeSettings(i, o)
	if err != nil {
		return Setup{}, err
	}
	listen, err := FreeAddr()
	if err != nil {
		return Setup{}, err
	}
	tmp := filepath.Join(r.dir, fmt.Sprintf("tmp%d", i))
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return Setup{}, err
	}
	discovery, known := o.discoveryOf(i)
	return Setup{Program: r.env.programFor(o.SettingsSections), Listen: listen, TmpDir: tmp, Name: simulation.Name(i), Discovery: discovery, InitialList: known,
		Settings: settings, Cores: 0.5, MaxDescriptors: 1024, MemoryMB: 64, Env: o.Env}, nil
}

// writeSettings writes process i's settings file and returns its path.
func (r *Rig) writeSettings(i int, o RigOptions) (string, error) {
	keys := ""
	if o.Key != "" {
		path := filepath.Join(r.dir, "key")
		if err := os.WriteFile(path, []byte(o.Key), 0o600); err != nil {
			return "", err
		}
		keys = fmt.Sprintf(" (keys %q)", path)
	}
	peers := strings.Join(r.Mesh.PeerAddrs(i), " ")
	text := fmt.Sprintf("(log (level %s) (repeat 0))\n", o.LogLevel) +
		fmt.Sprintf("(membership (on on) (fleet lab) (listen %q) (peers %q) (socket %q)%s)\n", r.Mesh.ListenAddr(i), peers, r.socket(i), keys) +
		strings.ReplaceAll(o.SettingsSections, "DIR", r.Dir(i)) + "\n"
	path := filepath.Join(r.dir, fmt.Sprintf("n%d.sexp", i))
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// programFor is the program for processes with these sections: replicas with a disk need croftlock-voter. "": Env.Croftlock.
func (e *Env) programFor(sections string) string {
	if strings.Contains(sections, "(dir ") && filepath.Base(e.Croftlock) == "croftlock" {
		return e.Croftlock + "-voter"
	}
	return ""
}

// discoveryOf returns the address of process i's discovery, and the endpoint list that it starts with. Without a discovery both name an address
// that refuses connections.
func (o *RigOptions) discoveryOf(i int) (discovery string, known fake.List) {
	d := o.Discovery
	if o.Upstreams != nil {
		d = o.Upstreams.discovery
	}
	if len(o.Discoveries) > 0 {
		d = o.Discoveries[i]
	}
	if d != nil {
		return d.Addr(), d.List()
	}
	const unused = "127.0.0.1:1"
	return unused, fake.List{Rev: 1, Complete: true, Targets: []fake.Entry{{UID: "s0", Endpoint: unused, State: "up", Weight: 1}}}
}

// Dir is the folder of a process and its later incarnations.
func (r *Rig) Dir(i int) string { return filepath.Join(r.dir, fmt.Sprintf("own%d", i)) }

// Admin is the address of a process's admin interface.
func (r *Rig) Admin(i int) string { return r.admin[i] }

func (r *Rig) socket(i int) string { return filepath.Join(r.dir, fmt.Sprintf("n%d.sock", i)) }

// Start starts a process, or a new incarnation of it.
func (r *Rig) Start(i int) (err error) {
	s := r.setups[i]
	if s.Admin, err = FreeAddr(); err != nil {
		return err
	}
	r.admin[i] = s.Admin
	if r.Procs[i], err = r.env.Proxy(s); err == nil {
		r.mu.Lock()
		r.incarnations = append(r.incarnations, r.Procs[i])
		r.mu.Unlock()
	}
	return err
}

// Replace is a hot restart of process i: a new process takes over, and the old one gets SIGTERM.
func (r *Rig) Replace(i int) error {
	old := r.Procs[i]
	if err := r.Start(i); err != nil {
		return err
	}
	if err := AwaitReady(r.admin[i], 20*time.Second); err != nil {
		return err
	}
	return old.Stop()
}

// Suspend suspends a process's one host by an operator's call, or resumes it; the process saves that on its disk.
func (r *Rig) Suspend(i int, suspended bool) error {
	action := "resume"
	if suspended {
		action = "suspend"
	}
	status, body, _, err := CallAdmin(r.admin[i], "POST", "/v1/catalogue-servers/s0/"+action)
	if err == nil && status != 200 {
		err = fmt.Errorf("%s: %d %s", action, status, body)
	}
	return err
}

// RequestMemberReport requests a process's view of the members.
func (r *Rig) RequestMemberReport(i int) (memberagent.Report, error) {
	return memberagent.RequestReport(r.socket(i))
}

// SendOwnerRequest sends a request to a process's owner agent.
func (r *Rig) SendOwnerRequest(i int, q owneragent.Request) (owneragent.Reply, error) {
	return owneragent.SendRequest(filepath.Join(r.Dir(i), "owners.sock"), q)
}

// Close kills all processes and ends the mesh.
func (r *Rig) Close() {
	for _, p := range r.Procs {
		if p != nil {
			p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
	r.Mesh.Close()
}
