package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"

	"croftlock/brain"
	"croftlock/internal/cluster"
	"croftlock/internal/proxy"
	"croftlock/internal/wire"
)

// config is what a proxy is told at its start.
type config struct {
	name, listen, discovery string
	seed                    int64
	limits                  limits
	known                   proxy.Change
	settings                brain.Config
	delayInLoad             bool // hosts tell of loads and of delays
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// loadConfig reads the file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN and NODE_DISCOVERY, where set, win over
// it: they say the same unless an operator means them to differ.
func loadConfig(env func(string) string) (*config, error) {
	path := env("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set: it names the configuration file")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %v", err)
	}
	c, err := parseConfig(data, env)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %v", path, err)
	}
	return c, nil
}

func parseConfig(data []byte, env func(string) string) (*config, error) {
	var f struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	c := &config{name: f.Name, listen: f.Listen, discovery: f.Discovery, limits: f.Limits}
	for _, v := range []struct {
		to   *string
		name string
	}{{&c.name, "NODE_NAME"}, {&c.listen, "NODE_LISTEN"}, {&c.discovery, "NODE_DISCOVERY"}} {
		if s := env(v.name); s != "" {
			*v.to = s
		}
	}
	for what, addr := range map[string]string{"listen": c.listen, "discovery": c.discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s %q is no address with a port", what, addr)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed %q is no hexadecimal number", f.Seed)
	}
	c.seed = int64(seed)
	if len(f.Settings) == 0 {
		return nil, errors.New("no settings")
	}
	if c.settings, err = wire.Config(f.Settings); err != nil {
		return nil, err
	}
	var notes struct {
		Extra struct {
			Load  bool `json:"tells_load"`
			Delay bool `json:"tells_delay"`
		} `json:"extra"`
	}
	if err := json.Unmarshal(f.Settings, &notes); err != nil {
		return nil, err
	}
	c.delayInLoad = notes.Extra.Load && notes.Extra.Delay
	if len(f.Known) > 0 {
		if c.known, err = cluster.Parse(f.Known); err != nil {
			return nil, fmt.Errorf("known: %v", err)
		}
	}
	c.known.Kind = brain.ListCached
	return c, nil
}

// reloadConfig reads the file again, for a program that runs on old. The file's discovery wins here: the environment
// still holds the one from the start. It names what differs but takes effect at the next start only: the address
// listened on, the limits and what the module was told bind what is already open.
func reloadConfig(env func(string) string, old *config) (c *config, later []string, err error) {
	c, err = loadConfig(func(name string) string {
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
	}{{"name", c.name == old.name}, {"listen", c.listen == old.listen}, {"limits", c.limits == old.limits},
		{"settings", reflect.DeepEqual(c.settings, old.settings) && c.delayInLoad == old.delayInLoad}} {
		if !v.same {
			later = append(later, v.name)
		}
	}
	return c, later, nil
}

// spare is how many descriptors are kept for what is neither a client's nor a host's: the standard three, the pollers,
// the listener, discovery, the configuration file, and clients that are accepted but not looked at yet.
const spare = 24

// dialers is how many connections may be opening at a time. Each may hold a descriptor for a request that has given its
// dial up.
func (c *config) dialers() int {
	if c.limits.Sockets <= 0 {
		return 32
	}
	return min(32, max(8, c.limits.Sockets/16))
}

// newcomers is how many clients may be connected without a request.
func (c *config) newcomers() int {
	if c.limits.Sockets <= 0 {
		return 1024
	}
	return max(8, c.limits.Sockets/8)
}

// sessions is how many clients with a request fit the limit on descriptors: each may need one more, to its upstream
// host.
func (c *config) sessions() int {
	if c.limits.Sockets <= 0 {
		return 1 << 20
	}
	return max(1, (c.limits.Sockets-spare-c.dialers()-c.newcomers())/2)
}

// procs is how many threads may run Go code: more than the cores only adds switching.
func (c *config) procs() int { return max(1, int(c.limits.Cores)) }

// memoryLimit is what the garbage collector works towards: past it the platform kills the proxy, and stacks, the
// runtime's own structures and the files of a private $TMPDIR count too.
func (c *config) memoryLimit() int64 {
	if c.limits.MemoryMB <= 0 {
		return 1 << 40
	}
	return int64(c.limits.MemoryMB * 0.7 * (1 << 20))
}
