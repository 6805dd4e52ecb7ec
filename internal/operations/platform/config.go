// Package platform reads the platform's configuration of a proxy: the JSON file that NODE_CONFIG names, and its environment. It owns
// what follows from the limits in it, too: how many clients, dials and health checks fit.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/cluster"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/fleet/peers"
	"croftlock/internal/operations/balancerconfig"
)

// Config is a proxy's configuration at its start.
type Config struct {
	Name             string
	Listen           string // host:port for clients
	Discovery        string // host:port
	Admin            string // host:port for operators' calls; "": nowhere
	Seed             int64
	Limits           Limits
	CachedList       proxy.WatchEvent // the endpoint list that the file has
	Settings         balancer.Config
	DelayInLoad      bool // hosts report loads and delays
	Peers            peers.Addresses
	ReportFields     []string // the fields of load reports; none: there are none
	ReportsInAnswers bool     // load reports come behind answers too
}

// Limits are the platform's; 0: none is known.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"` // MiB
	Sockets  int     `json:"sockets"`   // file descriptors
}

// Errors of a configuration that lacks something.
var (
	ErrNoConfigFile = errors.New("NODE_CONFIG is not set: it names the configuration file")
	ErrNoSettings   = errors.New("no settings")
)

// Load reads the file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_ADMIN_ADDR, where set, win over
// it: they say the same unless an operator means them to differ.
func Load(env func(string) string) (*Config, error) {
	path := env("NODE_CONFIG")
	if path == "" {
		return nil, ErrNoConfigFile
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(data, env)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// configFile is the JSON that NODE_CONFIG names.
type configFile struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Admin      string          `json:"admin_addr"`
	Seed       string          `json:"seed"` // hexadecimal
	Limits     Limits          `json:"limits"`
	Known      json.RawMessage `json:"known"` // an endpoint list
	Settings   json.RawMessage `json:"settings"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
}

// reportSettings is what the settings say of load reports.
type reportSettings struct {
	Extra struct {
		Load  bool `json:"tells_load"`
		Delay bool `json:"tells_delay"`
	} `json:"extra"`
	Report struct {
		How    string   `json:"how"`
		Fields []string `json:"fields"`
	} `json:"report"`
}

// Parse reads the file's bytes. An error names the field at fault.
func Parse(data []byte, env func(string) string) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Admin: f.Admin, Limits: f.Limits,
		Peers: peers.Addresses{Listen: f.PeerListen, Peers: f.Peers, Broadcast: f.PeersAll}}
	c.applyEnvironment(env)
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed %q is no hexadecimal number", f.Seed)
	}
	c.Seed = int64(seed)
	if err := c.parseSettings(f.Settings); err != nil {
		return nil, err
	}
	if len(f.Known) > 0 {
		if c.CachedList, err = cluster.ParseList(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	c.CachedList.Kind = balancer.ListCached
	return c, nil
}

// applyEnvironment takes what the environment says.
func (c *Config) applyEnvironment(env func(string) string) {
	for _, v := range []struct {
		to   *string
		name string
	}{{&c.Name, "NODE_NAME"}, {&c.Listen, "NODE_LISTEN"}, {&c.Discovery, "NODE_DISCOVERY"}, {&c.Admin, "NODE_ADMIN_ADDR"}} {
		if s := env(v.name); s != "" {
			*v.to = s
		}
	}
}

func (c *Config) checkAddresses() error {
	for _, v := range []struct{ field, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(v.addr); err != nil {
			return fmt.Errorf("%s %q is no address with a port", v.field, v.addr)
		}
	}
	switch {
	case c.Admin == "":
		return nil
	case !isIPPort(c.Admin):
		return fmt.Errorf("admin_addr %q is no IP address with a port", c.Admin)
	case c.Admin == c.Listen:
		return fmt.Errorf("admin_addr %q is the address that clients use (listen)", c.Admin)
	}
	return nil
}

func isIPPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host != "" && net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n != 0
}

func (c *Config) parseSettings(data json.RawMessage) (err error) {
	if len(data) == 0 {
		return ErrNoSettings
	}
	if c.Settings, err = balancerconfig.Decode(data); err != nil {
		return err
	}
	var r reportSettings
	if err := json.Unmarshal(data, &r); err != nil {
		return err
	}
	c.DelayInLoad = r.Extra.Load && r.Extra.Delay
	if r.Report.How != "none" {
		c.ReportFields, c.ReportsInAnswers = r.Report.Fields, r.Report.How == "answers"
	}
	return nil
}
