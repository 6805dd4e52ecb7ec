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

// Rig is a set of croftlock processes that communicate through a mesh, which forwards their datagrams
// and can lose, delay or duplicate them.
type Rig struct {
	Mesh   *fake.Mesh
	Procs  []*Process // current process of each index
	env    *Env
	dir    string
	setups []Setup  // configuration of each process
	admin  []string // admin address of each process

	mu           sync.Mutex // protects incarnations
	incarnations []*Process // all processes that were ever started, of all indices
}

// RigOptions configure the processes of a rig.
type RigOptions struct {
	Processes        int        // number of processes
	Seed             uint64     // seed of the mesh's random faults
	Key              string     // seals datagrams between the processes; empty means unsealed
	SettingsSections string     // more sections of the settings file; DIR stands for Rig.Dir
	LogLevel         string     // level of the log; empty means info
	Upstreams        *upstreams // hosts with their discovery, used instead of Discovery; may be nil
	// Discovery is the discovery of all processes; nil means Upstreams, Discoveries or an address
	// that refuses connections.
	Discovery *fake.Discovery
	// Discoveries holds one discovery per process, so that their lists can differ, and overrides
	// the other two. Its length is 0 or Processes.
	Discoveries []*fake.Discovery
	Env         []string // additional environment variables of each process, NAME=VALUE
}

// NewRig starts n processes that communicate through a mesh with the given seed. key seals the
// datagrams between them; if it is empty, they are not sealed. env is added to the environment of
// each process.
func NewRig(e *Env, n int, seed uint64, key string, env ...string) (*Rig, error) {
	return NewRigWithOptions(e, RigOptions{Processes: n, Seed: seed, Key: key, Env: env})
}

// NewRigWithOptions starts processes that communicate through a mesh.
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

// prepareProcess creates the folders and the settings file of process i and returns its setup.
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

// writeSettings writes the settings file of process i and returns its path.
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

// programFor returns the program for processes with the given settings sections: replicas with a
// disk need croftlock-voter. An empty result means Env.Croftlock.
func (e *Env) programFor(sections string) string {
	if strings.Contains(sections, "(dir ") && filepath.Base(e.Croftlock) == "croftlock" {
		return e.Croftlock + "-voter"
	}
	return ""
}

// discoveryOf returns the discovery address and the initial endpoint list of process i. Without a
// discovery, both contain an address that refuses connections.
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

// Dir returns the folder that all incarnations of process i use.
func (r *Rig) Dir(i int) string { return filepath.Join(r.dir, fmt.Sprintf("own%d", i)) }

// Admin returns the address of the admin interface of process i.
func (r *Rig) Admin(i int) string { return r.admin[i] }

// socket returns the path of the member agent socket of process i.
func (r *Rig) socket(i int) string { return filepath.Join(r.dir, fmt.Sprintf("n%d.sock", i)) }

// Start starts process i, or a new incarnation of it.
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

// Replace performs a hot restart of process i: it starts a new process that takes over, and stops
// the old one by SIGTERM once the new one is ready.
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

// Suspend suspends or resumes the only host of process i by an operator's call. The process stores
// the change on its disk.
func (r *Rig) Suspend(i int, suspended bool) error {
	action := "resume"
	if suspended {
		action = "suspend"
	}
	status, body, _, err := CallAdmin(r.admin[i], "POST", "/v1/catalogue-servers/s0/"+action)
	if err == nil && status != 200 {
		err = fmt.Errorf("%s of host s0 at process %d: status %d, %s", action, i, status, body)
	}
	return err
}

// RequestMemberReport requests the view that process i has of the members.
func (r *Rig) RequestMemberReport(i int) (memberagent.Report, error) {
	return memberagent.RequestReport(r.socket(i))
}

// SendOwnerRequest sends a request to the owner agent of process i.
func (r *Rig) SendOwnerRequest(i int, q owneragent.Request) (owneragent.Reply, error) {
	return owneragent.SendRequest(filepath.Join(r.Dir(i), "owners.sock"), q)
}

// Close kills the current processes, paused ones included, and closes the mesh.
func (r *Rig) Close() {
	for _, p := range r.Procs {
		if p != nil {
			p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
	r.Mesh.Close()
}
