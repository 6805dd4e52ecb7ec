// Package platform reads the platform's configuration of a proxy: the JSON file that NODE_CONFIG
// names, and the environment. It also derives from the limits in it how many clients, dials and
// health checks fit.
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

// Config is the configuration with which a proxy starts.
type Config struct {
	Name             string
	Listen           string // host:port for clients
	Discovery        string // host:port of discovery
	Admin            string // IP:port for operators' calls; "" means no admin interface
	Seed             int64  // of the balancer's random numbers
	Limits           Limits
	CachedList       proxy.WatchEvent // the endpoint list in the file
	Settings         balancer.Config
	DelayInLoad      bool // whether hosts report a connection's load and their message delay in the same form
	Peers            peers.Addresses
	ReportFields     []string // the fields of a load report, in order; empty if hosts send none
	ReportsInAnswers bool     // whether hosts send load reports with their answers
}

// Limits holds the platform's limits of a proxy. A limit of zero or less means that none is known, and
// defaults apply.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"` // MiB
	Sockets  int     `json:"sockets"`   // file descriptors
}

// Errors for an incomplete configuration.
var (
	ErrNoConfigFile = errors.New("NODE_CONFIG is not set: it names the configuration file")
	ErrNoSettings   = errors.New("no settings")
)

// Load reads the file that NODE_CONFIG names. env returns an environment variable, or "" if it is
// not set. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_ADMIN_ADDR override the file if they are
// set. The platform sets them to the file's values; an operator may set others.
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

// configFile is the JSON file that NODE_CONFIG names.
type configFile struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Admin      string          `json:"admin_addr"`
	Seed       string          `json:"seed"` // 64 bits in hexadecimal
	Limits     Limits          `json:"limits"`
	Known      json.RawMessage `json:"known"` // an endpoint list
	Settings   json.RawMessage `json:"settings"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
}

// reportSettings is the part of the settings that describes load reports.
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

// Parse parses the content of the file that NODE_CONFIG names. env returns an environment variable, or
// "" if it is not set; variables override the file as in Load. Errors name the field that is invalid.
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
		return nil, fmt.Errorf("seed %q is not a hexadecimal number of at most 64 bits", f.Seed)
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

// applyEnvironment overrides fields by the environment variables that are set.
func (c *Config) applyEnvironment(env func(string) string) {
	for _, v := range []struct {
		target *string
		name   string
	}{{&c.Name, "NODE_NAME"}, {&c.Listen, "NODE_LISTEN"}, {&c.Discovery, "NODE_DISCOVERY"}, {&c.Admin, "NODE_ADMIN_ADDR"}} {
		if s := env(v.name); s != "" {
			*v.target = s
		}
	}
}

// checkAddresses returns an error for an invalid address, or an admin address that equals the
// clients'.
func (c *Config) checkAddresses() error {
	for _, v := range []struct{ field, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(v.addr); err != nil {
			return fmt.Errorf("%s %q is not an address with a port", v.field, v.addr)
		}
	}
	switch {
	case c.Admin == "":
		return nil
	case !isIPPort(c.Admin):
		return fmt.Errorf("admin_addr %q is not an IP address with a port", c.Admin)
	case c.Admin == c.Listen:
		return fmt.Errorf("admin_addr %q is the address that clients use (listen)", c.Admin)
	}
	return nil
}

// isIPPort reports whether addr is an IP address with a port other than 0. An empty IP address, which
// stands for all addresses, is valid.
func isIPPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host != "" && net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n != 0
}

// parseSettings parses the platform's settings object and sets Settings, DelayInLoad, ReportFields and
// ReportsInAnswers.
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
