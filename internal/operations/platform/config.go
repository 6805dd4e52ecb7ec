// Package platform reads what the platform tells a proxy: the JSON file that NODE_CONFIG names, and its environment. It owns
// what follows from the limits in it, too: how many clients, dials and newcomers fit.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/cluster"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/fleet/peers"
	"croftlock/internal/operations/balancerconfig"
)

// Config is what a proxy is told at its start.
type Config struct {
	Name, Listen, Discovery string
	Admin                   string // where operators call; "": nowhere
	Seed                    int64
	Limits                  Limits
	Known                   proxy.Change
	Settings                balancer.Config
	DelayInLoad             bool // hosts tell of loads and of delays
	Peers                   peers.Addresses
	Reports                 []string // the fields of load reports; none: there are none
	InAnswers               bool     // which come behind answers too
}

// Limits are the platform's.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Load reads the file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN and NODE_DISCOVERY, where set, win over
// it: they say the same unless an operator means them to differ.
func Load(env func(string) string) (*Config, error) {
	path := env("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set: it names the configuration file")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %v", err)
	}
	c, err := Parse(data, env)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %v", path, err)
	}
	return c, nil
}

// Parse reads the file's bytes.
func Parse(data []byte, env func(string) string) (*Config, error) {
	var f struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Admin     string          `json:"admin_addr"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
		Own       string          `json:"peer_listen"`
		Peers     []string        `json:"peers"`
		All       string          `json:"peers_all"`
	}
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Admin: f.Admin, Limits: f.Limits,
		Peers: peers.Addresses{Listen: f.Own, Peers: f.Peers, All: f.All}}
	for _, v := range []struct {
		to   *string
		name string
	}{{&c.Name, "NODE_NAME"}, {&c.Listen, "NODE_LISTEN"}, {&c.Discovery, "NODE_DISCOVERY"}, {&c.Admin, "NODE_ADMIN_ADDR"}} {
		if s := env(v.name); s != "" {
			*v.to = s
		}
	}
	for what, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s %q is no address with a port", what, addr)
		}
	}
	if c.Admin != "" {
		host, port, err := net.SplitHostPort(c.Admin)
		if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || host != "" && net.ParseIP(host) == nil || n == 0 {
			return nil, fmt.Errorf("admin_addr %q is no IP address with a port", c.Admin)
		}
		if c.Admin == c.Listen {
			return nil, fmt.Errorf("admin_addr %q is the address that clients use (listen)", c.Admin)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed %q is no hexadecimal number", f.Seed)
	}
	c.Seed = int64(seed)
	if len(f.Settings) == 0 {
		return nil, errors.New("no settings")
	}
	if c.Settings, err = balancerconfig.Decode(f.Settings); err != nil {
		return nil, err
	}
	var notes struct {
		Extra struct {
			Load  bool `json:"tells_load"`
			Delay bool `json:"tells_delay"`
		} `json:"extra"`
		Report struct {
			How    string   `json:"how"`
			Fields []string `json:"fields"`
		} `json:"report"`
	}
	if err := json.Unmarshal(f.Settings, &notes); err != nil {
		return nil, err
	}
	c.DelayInLoad = notes.Extra.Load && notes.Extra.Delay
	if notes.Report.How != "none" {
		c.Reports, c.InAnswers = notes.Report.Fields, notes.Report.How == "answers"
	}
	if len(f.Known) > 0 {
		if c.Known, err = cluster.Parse(f.Known); err != nil {
			return nil, fmt.Errorf("known: %v", err)
		}
	}
	c.Known.Kind = balancer.ListCached
	return c, nil
}

// Reload reads the file again, for a program that runs on old. The file's discovery wins here: the environment
// still holds the one from the start. It names what differs but takes effect at the next start only: the address
// listened on, the limits and what the module was told bind what is already open.
func Reload(env func(string) string, old *Config) (c *Config, later []string, err error) {
	c, err = Load(func(name string) string {
		if name == "NODE_DISCOVERY" {
			return ""
		}
		return env(name)
	})
	if err != nil {
		return nil, nil, err
	}
	for _, v := range []struct {
		name string
		same bool
	}{{"name", c.Name == old.Name}, {"listen", c.Listen == old.Listen}, {"admin_addr", c.Admin == old.Admin}, {"limits", c.Limits == old.Limits},
		{"settings", reflect.DeepEqual(c.Settings, old.Settings) && c.DelayInLoad == old.DelayInLoad}} {
		if !v.same {
			later = append(later, v.name)
		}
	}
	return c, later, nil
}

// spare is how many descriptors are kept for what is neither a client's nor a host's: the standard three, the pollers,
// the listener, discovery, the configuration file, and clients that are accepted but not looked at yet.
const spare = 24

// Spare is how many of them a second process of this proxy may hold that are not its clients'.
func (c *Config) Spare() int { return spare + c.Callers() }

// Dialers is how many connections may be opening at a time. Each may hold a descriptor for a request that has given its
// dial up.
func (c *Config) Dialers() int {
	if c.Limits.Sockets <= 0 {
		return 32
	}
	return min(32, max(8, c.Limits.Sockets/16))
}

// Newcomers is how many clients may be connected without a request.
func (c *Config) Newcomers() int {
	if c.Limits.Sockets <= 0 {
		return 1024
	}
	return max(8, c.Limits.Sockets/8)
}

// Callers is how many operators' calls may be connected.
func (c *Config) Callers() int {
	switch {
	case c.Admin == "":
		return 0
	case c.Limits.Sockets <= 0:
		return 32
	}
	return min(32, max(4, c.Limits.Sockets/32))
}

// Probers is how many connections may be open to ask hosts how loaded they are.
func (c *Config) Probers() int {
	switch {
	case !c.Settings.MayHealthCheck || len(c.Reports) == 0:
		return 0
	case c.Limits.Sockets <= 0:
		return 256
	}
	return max(4, c.Limits.Sockets/16)
}

// Sessions is how many clients with a request fit the limit on descriptors: each may need one more, to its upstream
// host.
func (c *Config) Sessions() int {
	if c.Limits.Sockets <= 0 {
		return 1 << 20
	}
	return max(1, (c.Limits.Sockets-spare-c.Dialers()-c.Newcomers()-c.Callers()-c.Probers())/2)
}

// Procs is how many threads may run Go code: more than the cores only adds switching.
func (c *Config) Procs() int { return max(1, int(c.Limits.Cores)) }

// MemoryLimit is what the garbage collector works towards: past it the platform kills the proxy, and stacks, the
// runtime's own structures and the files of a private $TMPDIR count too.
func (c *Config) MemoryLimit() int64 {
	if c.Limits.MemoryMB <= 0 {
		return 1 << 40
	}
	return int64(c.Limits.MemoryMB * 0.7 * (1 << 20))
}
