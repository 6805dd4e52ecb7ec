package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// platform starts proxies by the run line of the deploy file, in a temporary folder.
type platform struct {
	root, run, dir string
	rec            *record
	mu             sync.Mutex
	processes      []*process
}

// newPlatform reads the run line of deploy/balancer.toml below root.
func newPlatform(root string, rec *record) (*platform, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	p := &platform{root: root, rec: rec}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			p.run, _, _ = strings.Cut(rest, "\"")
		}
	}
	if p.run == "" {
		return nil, fmt.Errorf("no run line in the deploy file")
	}
	base := os.TempDir()
	if len(base) > 50 {
		base = "/tmp" // the operators' Unix sockets lie below it, and their paths are limited
	}
	p.dir, err = os.MkdirTemp(base, "review")
	return p, err
}

// given holds the ports that freePort has returned.
var given sync.Map

// freePort returns a free loopback address for TCP or UDP. Its port is below those that the system gives to outgoing connections, one
// of which could otherwise take it before the proxy listens.
func freePort(network string) string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		if _, known := given.LoadOrStore(address, true); known {
			continue
		}
		if network == "udp" {
			if c, err := net.ListenPacket("udp4", address); err == nil {
				c.Close()
				return address
			}
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

// proxy is one proxy: its addresses, its configuration and its private folder stay the same when its process is replaced.
type proxy struct {
	platform               *platform
	name, listen, tmp, dir string
	config                 map[string]any
	settings               string // path of the operators' file; "" if there is none
	current                *process
	starts                 int
}

// process is one run of a proxy.
type process struct {
	name, admin string
	cmd         *exec.Cmd
	done        chan struct{}
	logPath     string
}

// settingsJSON is the settings object, as the wire page prints it for this deployment, for a tier of proxies without zones apart.
func settingsJSON(me, total int) map[string]any {
	org := func(name string, fraction, quota float64) map[string]any {
		return map[string]any{"fraction": fraction, "name": name, "quota_per_s": quota}
	}
	return map[string]any{
		"bounds": map[string]any{"cancelling": true, "connect_timeout": 250000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 800000, "idle_close": 5000000000,
			"max_open": 1000000, "max_retry_after": 2000000000, "may_tell": true, "multiplex": 1048576, "probes": false, "retry_after": true,
			"second_copies": false, "try_limit": 5},
		"client_habits": map[string]any{"marks_retry": true},
		"contract": map[string]any{"answer_slack": 8000000, "cold_from": 0.14, "drain_grace": 250000000, "fall": 2000000000, "fall_multiple": 4.0,
			"must_ask_in": 10000000000, "warm_up": 23000000000},
		"discovery": "subscribe",
		"extra":     map[string]any{"groups": true, "message_aim": []int{150000000}, "mode": "proxy", "park": 0, "tells_delay": true, "tells_load": true},
		"family":    "conn",
		"goal":      map[string]any{"whole": 0.65, "worst_class": 0.0, "worst_tenant": 0.1, "worst_window": 0.25},
		"lanes": []any{map[string]any{"deadline": 4800000000, "dedup_scope": "all", "gain": 1.0, "key_ttl": 5000000000, "late_worth": 0.0,
			"name": "catalogue-session", "on_time": 800000000, "semantics": "read_like", "stream": true}},
		"layers": []string{"catalogue-servers"}, "me": me, "my_zone": "pokhara",
		"orgs":             []any{org("central-library", 0.46, 40), org("lalitpur-branch", 0.33, 30), org("bhaktapur-branch", 0.14, 10), org("kirtipur-branch", 0.07, 10)},
		"over_share_worth": 0.1, "peers_total": total,
		"report": map[string]any{"fields": []string{}, "how": "none"}, "skus": []string{"type-a", "type-b"}, "step": 2000000,
		"tariffs": map[string]any{"cross_zone": 0.1, "late_fail": 0.034, "moves": 0.01, "peer": 0.0067, "waste": 0.2},
		"tier":    0, "weights": "nominal", "worth_by": "request", "zones": []string{"pokhara"},
	}
}

// newProxies prepares n proxies of one tier. settings returns the operators' file of the proxy with a number, in whose text DIR
// stands for its folder; "" means none.
func (p *platform) newProxies(n int, d *discovery, settings func(i int) string) ([]*proxy, error) {
	var peers []string
	for range n {
		peers = append(peers, freePort("udp"))
	}
	var all []*proxy
	for i := range n {
		x := &proxy{platform: p, name: fmt.Sprintf("proxy-%d", i+1), listen: freePort("tcp")}
		x.dir = filepath.Join(p.dir, x.name)
		x.tmp = filepath.Join(x.dir, "tmp")
		if err := os.MkdirAll(x.tmp, 0o700); err != nil {
			return nil, err
		}
		x.config = map[string]any{"name": x.name, "listen": x.listen, "discovery": d.addr, "seed": fmt.Sprintf("8c1f30d27a5be9%02x", i),
			"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "peer_listen": peers[i], "peers": peers,
			"known": d.whole(), "settings": settingsJSON(i, n)}
		if settings != nil {
			x.settings = filepath.Join(x.dir, "operators.sexp")
			if err := os.WriteFile(x.settings, []byte(strings.ReplaceAll(settings(i), "DIR", x.dir)), 0o600); err != nil {
				return nil, err
			}
		}
		all = append(all, x)
	}
	return all, nil
}

// start starts a process of the proxy with a new address for operators and all else the same.
func (x *proxy) start() (*process, error) {
	x.starts++
	r := &process{name: fmt.Sprintf("%s run %d", x.name, x.starts), admin: freePort("tcp"), done: make(chan struct{})}
	x.config["admin_addr"] = r.admin
	data, err := json.MarshalIndent(x.config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(x.dir, "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	r.logPath = filepath.Join(x.dir, fmt.Sprintf("log%d", x.starts))
	log, err := os.Create(r.logPath)
	if err != nil {
		return nil, err
	}
	r.cmd = exec.Command("/bin/sh", "-c", x.platform.run)
	r.cmd.Dir, r.cmd.Stdout, r.cmd.Stderr = x.platform.root, log, log
	r.cmd.Env = append(os.Environ(), "NODE_NAME="+x.name, "NODE_LISTEN="+x.listen, "NODE_DISCOVERY="+x.config["discovery"].(string),
		"NODE_ADMIN_ADDR="+r.admin, "NODE_CONFIG="+path, "TMPDIR="+x.tmp)
	if x.settings != "" {
		r.cmd.Env = append(r.cmd.Env, "CROFTLOCK_SETTINGS="+x.settings)
	}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { r.cmd.Wait(); log.Close(); close(r.done) }()
	x.platform.mu.Lock()
	x.platform.processes = append(x.platform.processes, r)
	x.platform.mu.Unlock()
	x.platform.rec.say("%s started pid=%d", r.name, r.cmd.Process.Pid)
	return r, nil
}

// ended reports whether the process has ended.
func (r *process) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// awaitYes waits until the process says yes to readyz.
func (r *process) awaitYes(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status, _ := call(r.admin, "GET", "/v1/readyz"); status == 200 {
			return nil
		}
		if r.ended() {
			return fmt.Errorf("%s has ended", r.name)
		}
	}
	return fmt.Errorf("%s is not ready within %v", r.name, within)
}

// stop sends SIGTERM, and SIGKILL 3.7 s later: the longest deadline counts as 3 s, and 0.7 s more.
func (r *process) stop(rec *record) {
	rec.say("%s gets SIGTERM", r.name)
	r.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-r.done:
		rec.say("%s has ended", r.name)
	case <-time.After(3700 * time.Millisecond):
		rec.say("%s gets SIGKILL", r.name)
		r.cmd.Process.Kill()
		<-r.done
	}
}

// startFirst starts the proxy's first process and waits until it is ready.
func (x *proxy) startFirst() (err error) {
	if x.current, err = x.start(); err != nil {
		return err
	}
	return x.current.awaitYes(30 * time.Second)
}

// replace replaces the proxy's process while it serves. The new one has 6 s to say yes; after that the old one gets SIGTERM.
// between is called once the new one has said yes, and may take until those 6 s have passed.
func (x *proxy) replace(between func(next *process)) error {
	began := time.Now()
	next, err := x.start()
	if err != nil {
		return err
	}
	if err := next.awaitYes(6 * time.Second); err != nil {
		return err
	}
	x.platform.rec.say("%s says yes %d ms after its start", next.name, time.Since(began).Milliseconds())
	if between != nil {
		between(next)
	}
	time.Sleep(6*time.Second - time.Since(began))
	old := x.current
	x.current = next
	old.stop(x.platform.rec)
	return nil
}

// end ends all processes and removes the folder. With KEEP=1 the folder stays.
func (p *platform) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.processes {
		if !r.ended() {
			r.cmd.Process.Kill()
			<-r.done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(p.dir)
	} else {
		fmt.Println("kept", p.dir)
	}
}

// copyLog copies the lines of a process's log that contain one of the words to the record.
func (p *platform) copyLog(r *process, words ...string) {
	f, err := os.Open(r.logPath)
	if err != nil {
		return
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		for _, w := range words {
			if strings.Contains(lines.Text(), w) {
				p.rec.add("log of %s: %s", r.name, lines.Text())
				break
			}
		}
	}
}

// command runs a sub-command of croftlock as an operator and returns what it prints.
func (x *proxy) command(args ...string) string {
	c := exec.Command(filepath.Join(x.platform.root, "bin", "croftlock"), append(args, "--settings", x.settings)...)
	c.Dir = x.platform.root
	out, err := c.CombinedOutput()
	text := strings.TrimSpace(string(out))
	if err != nil {
		text += " (" + err.Error() + ")"
	}
	x.platform.rec.say("operator at %s: croftlock %s: %s", x.name, strings.Join(args, " "), strings.ReplaceAll(text, "\n", " | "))
	return text
}

// call makes an operator's call and returns the status, 0 if there was no answer within a second.
func call(admin, method, path string) (int, string) {
	req, _ := http.NewRequest(method, "http://"+admin+path, nil)
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}
