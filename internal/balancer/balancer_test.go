package balancer

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

func TestNothingGoesToDrainingOrRemovedHosts(t *testing.T) {
	f := start(t, settings(), fleet(2)...)
	f.listChanged(listed("s00", Draining))
	for i := range 6 {
		if f.serve(fmt.Sprint(i)) == "s00" {
			t.Fatalf("request %d went to s00, which is draining, expected s01", i)
		}
	}
	f.b.ListReceived(f.now, ListFull, []ListedHost{listed("s00", Ready)})
	if got := f.serve("z"); got != "s00" {
		t.Fatalf("the request went to %s, which the full list does not name, expected s00", got)
	}
}

func TestNoHostQueuesThenRejects(t *testing.T) {
	f := start(t, settings())
	f.request("r")
	f.run(3 * sec)
	if f.answers["r"] != 1 || f.failed["r"] {
		t.Fatalf("expected one rejection and no other answer, got effects %v", f.trace)
	}
	if f.rejected["r"] == 0 {
		t.Fatalf("r was rejected with Retry-After %d, expected a Retry-After above 0", f.rejected["r"])
	}
}

func TestNotIdempotentIsNotRetriedOnceItMayHaveRun(t *testing.T) {
	cfg := settings()
	cfg.Classes[0].Idempotency = NotIdempotent
	f := start(t, cfg, fleet(4)...)
	f.request("a")
	f.end("a", ConnectFailed) // proves that it has not run
	if len(f.attemptsStarted) != 2 {
		t.Fatalf("%d attempts after a failed connect, expected 2", len(f.attemptsStarted))
	}
	f.end("a", Timeout)
	if len(f.attemptsStarted) != 2 || !f.failed["a"] || f.answers["a"] != 1 {
		t.Fatalf("a request that is not idempotent and may have run must fail once, got effects %v", f.trace)
	}
}

func TestKeyedRetryStaysInDedupScopeAndWindow(t *testing.T) {
	cfg := settings()
	class := &cfg.Classes[0]
	class.Idempotency, class.DedupScope, class.DedupWindow = IdempotentWithKey, ScopeZone, sec
	hosts := fleet(6)
	for i := range hosts {
		hosts[i].Zone = []string{"a", "b"}[i%2]
	}
	f := start(t, cfg, hosts...)
	f.request("r")
	zone := f.b.byID[f.lastAttempt().host].zone
	for range 2 {
		f.end("r", Error)
		if f.b.byID[f.lastAttempt().host].zone != zone {
			t.Fatalf("r was retried at %s, outside its dedup scope, the zone of %s",
				f.lastAttempt().host, f.attemptsStarted[0].host)
		}
	}
	f.now += 2 * sec
	n := len(f.attemptsStarted)
	f.end("r", Error)
	if len(f.attemptsStarted) != n || !f.failed["r"] {
		t.Fatalf("%d attempts of r after its dedup window, answered with a failure: %t; expected %d, and true "+
			"since not all hosts discard repeats of its key", len(f.attemptsStarted), f.failed["r"], n)
	}
}

func TestPollBackoffIsBounded(t *testing.T) {
	cfg := settings()
	cfg.PollsDiscovery = true
	f := start(t, cfg, fleet(3)...)
	for range 12 {
		n := len(f.watches)
		before := f.now
		for len(f.watches) == n && f.now < before+20*sec {
			f.run(50 * ms)
		}
		if f.now-before > cfg.PollInterval*3/4 {
			t.Fatalf("no poll of the discovery service for %d ms after a failure, expected one within %d ms",
				(f.now-before)/ms, cfg.PollInterval*3/4/ms)
		}
		f.b.ListReceived(f.now, ListFailed, nil)
	}
}

// TestModuleSize checks that the files in the list "policy" of deploy/balancer.toml, the decision
// module, and their lines are short.
func TestModuleSize(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, list, _ := strings.Cut(string(deploy), "policy = [")
	list, _, _ = strings.Cut(list, "]")
	const maxLines, maxColumns = 250, 110 // maxLines is the limit for every file of the project
	for _, name := range strings.Split(list, ",") {
		data, err := os.ReadFile("../../" + strings.Trim(name, "\" "))
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for _, text := range strings.Split(strings.ReplaceAll(string(data), "\t", "    "), "\n") {
			if strings.TrimSpace(text) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(text); n > maxColumns {
				t.Errorf("%s: a line of %d columns, at most %d allowed: %s", name, n, maxColumns, text)
			}
		}
		if lines < 10 || lines > maxLines {
			t.Errorf("%s: %d lines that are not blank, expected 10 to %d", name, lines, maxLines)
		}
	}
}

func TestUnusableSettings(t *testing.T) {
	for name, modify := range map[string]func(*Config){
		"no class":                     func(c *Config) { c.Classes = nil },
		"no instances":                 func(c *Config) { c.Instances = 0 },
		"no attempts":                  func(c *Config) { c.MaxAttempts = 0 },
		"no deadline":                  func(c *Config) { c.Classes[0].Deadline = 0 },
		"longest ejection < first one": func(c *Config) { c.EjectionInitial, c.EjectionMax = 10, 5 },
	} {
		cfg := settings()
		modify(&cfg)
		if _, err := New(cfg, 1, &fake{}); err == nil {
			t.Errorf("%s: New(%+v) accepted the settings, expected an error", name, cfg)
		}
	}
}
