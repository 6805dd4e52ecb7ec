package platform

import (
	"strings"
	"testing"
)

// validConfig is the content of a valid configuration file. Tests change it by replacing parts.
const validConfig = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ffffffffffffffff",
"limits":{"cores":0.5,"memory_mb":192,"sockets":1024},"known":{"rev":7,"all":true,"targets":[]},
"settings":{"peers_total":1,"bounds":{"try_limit":5},"lanes":[{"name":"c","on_time":1,"deadline":2,"semantics":"read_like"}],
"extra":{"tells_load":true,"tells_delay":true}}}`

// TestConfig tests that an invalid configuration returns an error of one line, and that a valid one
// keeps within its limits.
func TestConfig(t *testing.T) {
	env := func(name string) string { return map[string]string{"NODE_LISTEN": "127.0.0.1:9"}[name] }
	c, err := Parse([]byte(validConfig), env)
	if err != nil {
		t.Fatal(err)
	}
	if c.Listen != "127.0.0.1:9" || c.CachedList.Version != 7 || c.Seed != -1 || !c.DelayInLoad || c.MaxThreads() != 1 ||
		2*c.MaxDownstreams()+c.MaxIdleClients()+c.MaxDials() > 1024-reservedDescriptors || 3*c.MaxDownstreams() < 1024 || c.MemoryLimit() >= 192<<20 {
		t.Errorf("Parse returned %+v, which differs from the file or exceeds its limits", c)
	}
	for _, change := range [][2]string{{"{", ""}, {"127.0.0.1:2", "nowhere"}, {`"seed":"ffffffffffffffff"`, `"seed":"x"`},
		{"read_like", "odd"}, {`"rev":7,`, ""}, {`"settings"`, `"other"`}} {
		_, err := Parse([]byte(strings.Replace(validConfig, change[0], change[1], 1)), env)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("with %q replaced by %q: error %v, want one of one line", change[0], change[1], err)
		}
	}
	for addr, valid := range map[string]bool{"127.0.0.1:7": true, "127.0.0.1:9": false, "127.0.0.1": false, "host:7": false, "127.0.0.1:0": false,
		"127.0.0.1:99999": false} {
		c, err := Parse([]byte(strings.Replace(validConfig, `"name"`, `"admin_addr":"`+addr+`","name"`, 1)), env)
		if (err == nil) != valid || valid && (c.Admin != addr || c.MaxAdminCallers() != 32) {
			t.Errorf("admin_addr %s: error %v, want valid %t; configuration %+v", addr, err, valid, c)
		}
	}
}
