package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

// proxySite is one proxy of the deployment: the addresses and files that its processes share.
type proxySite struct {
	s         *stage
	name      string
	listen    string
	discovery string // as the platform names it in the environment
	tmp       string
	config    string
	settings  map[string]any
	known     map[string]any
	file      string // the operators' settings file; empty if there is none
	more      map[string]any
	process   *process
}

// newProxySite prepares a proxy's folder. me is its number among total proxies.
func (s *stage) newProxySite(name string, me, total int, discovery string, known map[string]any) *proxySite {
	dir := filepath.Join(s.dir, name)
	if err := os.MkdirAll(filepath.Join(dir, "tmp"), 0o700); err != nil {
		s.cannotRun("%v", err)
	}
	p := &proxySite{s: s, name: name, listen: s.freeAddr(), discovery: discovery, tmp: filepath.Join(dir, "tmp"), config: filepath.Join(dir, "config.json"),
		settings: valleySettings(me, total), known: known, more: map[string]any{}}
	p.writeConfig(discovery)
	return p
}

// writeConfig replaces the file of the configuration by one that names this discovery.
func (p *proxySite) writeConfig(discovery string) {
	config := map[string]any{"name": p.name, "listen": p.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": p.known, "settings": p.settings}
	for k, v := range p.more {
		config[k] = v
	}
	data, err := json.Marshal(config)
	if err == nil {
		err = os.WriteFile(p.config+".new", data, 0o600)
	}
	if err == nil {
		err = os.Rename(p.config+".new", p.config)
	}
	if err != nil {
		p.s.cannotRun("%v", err)
	}
}

// valleySettings returns the settings of the page WIRE for a deployment of this many proxies, which may not send messages.
func valleySettings(me, total int) map[string]any {
	const ms = 1000000
	org := func(name string, share, rate float64) map[string]any {
		return map[string]any{"name": name, "fraction": share, "quota_per_s": rate}
	}
	return map[string]any{
		"bounds": map[string]any{"cancelling": true, "connect_timeout": 250 * ms, "cpu_us_per_request": 0.0, "cpu_us_per_s": 800000, "idle_close": 5000 * ms, "max_open": 1000000,
			"max_retry_after": 2000 * ms, "may_tell": false, "multiplex": 1048576, "probes": false, "retry_after": true, "second_copies": false, "try_limit": 5},
		"client_habits": map[string]any{"marks_retry": true},
		"contract": map[string]any{"answer_slack": 8 * ms, "cold_from": 0.14, "drain_grace": 250 * ms, "fall": 2000 * ms, "fall_multiple": 4.0,
			"must_ask_in": 10000 * ms, "warm_up": 23000 * ms},
		"discovery": "subscribe",
		"extra": map[string]any{"groups": true, "message_aim": []int{150 * ms}, "mode": "proxy", "park": 0, "tells_delay": true, "tells_load": true,
			"tenant_quota_connections": []float64{92, 66, 28, 14}},
		"family": "conn",
		"goal":   map[string]any{"whole": 0.65, "worst_class": 0.0, "worst_tenant": 0.1, "worst_window": 0.25},
		"lanes": []any{map[string]any{"deadline": 4800 * ms, "dedup_scope": "all", "gain": 1.0, "key_ttl": 5000 * ms, "late_worth": 0.0, "name": "catalogue-session",
			"on_time": 800 * ms, "semantics": "read_like", "stream": true}},
		"layers": []string{"catalogue-servers"}, "me": me, "my_zone": "kathmandu",
		"orgs":             []any{org("central-library", 0.46, 4), org("lalitpur-branch", 0.33, 3), org("bhaktapur-branch", 0.14, 1), org("kirtipur-branch", 0.07, 1)},
		"over_share_worth": 0.1, "peers_total": total,
		"report": map[string]any{"fields": []string{}, "how": "none"},
		"skus":   []string{"type-a", "type-b"}, "step": 2 * ms,
		"tariffs": map[string]any{"connection": 0.0, "cross_zone": 0.1, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.034, "moves": 0.01, "origin": 0.0,
			"peer": 0.0067, "probe": 0.0, "waste": 0.2},
		"tier": 0, "weights": "nominal", "worth_by": "request", "zones": []string{"kathmandu", "pokhara", "biratnagar"},
	}
}

// process is one process of a proxy.
type process struct {
	site  *proxySite
	label string
	admin string
	cmd   *exec.Cmd
	ended chan struct{}

	mu    sync.Mutex
	log   []string
	endAt time.Time
}

// endedAt returns when the process ended, or now if it still runs.
func (q *process) endedAt() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.endAt.IsZero() {
		return time.Now()
	}
	return q.endAt
}

// start starts the run line of the deploy file as the platform does.
func (p *proxySite) start(label string) *process {
	return p.startProgram(label, deployLine(p.s, "run"))
}

// deployLine returns the value of one line of deploy/balancer.toml.
func deployLine(s *stage, key string) string {
	data, err := os.ReadFile(filepath.Join(s.root, "deploy", "balancer.toml"))
	if err != nil {
		s.cannotRun("%v", err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, key+" = \""); ok {
			value, _, _ := strings.Cut(rest, "\"")
			return value
		}
	}
	s.cannotRun("deploy/balancer.toml has no %s", key)
	return ""
}

func (p *proxySite) startProgram(label, command string) *process {
	s := p.s
	q := &process{site: p, label: label, admin: s.freeAddr(), ended: make(chan struct{})}
	q.cmd = exec.Command("/bin/sh", "-c", command)
	q.cmd.Dir = s.root
	q.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + p.tmp, "NODE_NAME=" + p.name, "NODE_LISTEN=" + p.listen, "NODE_DISCOVERY=" + p.discovery,
		"NODE_CONFIG=" + p.config, "NODE_ADMIN_ADDR=" + q.admin}
	if p.file != "" {
		q.cmd.Env = append(q.cmd.Env, "CROFTLOCK_SETTINGS="+p.file)
	}
	out, err := q.cmd.StderrPipe()
	if err != nil {
		s.cannotRun("%v", err)
	}
	q.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := q.cmd.Start(); err != nil {
		s.cannotRun("%v", err)
	}
	s.mu.Lock()
	s.procs = append(s.procs, q)
	s.mu.Unlock()
	s.note("process %s started, pid %d", label, q.cmd.Process.Pid)
	go q.readLog(out)
	return q
}

// readLog copies the process's log to the record, until the process ends.
func (q *process) readLog(out io.Reader) {
	in := bufio.NewScanner(out)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		q.mu.Lock()
		q.log = append(q.log, in.Text())
		q.mu.Unlock()
		q.site.s.note("log %s %s", q.label, in.Text())
	}
	q.cmd.Wait()
	q.mu.Lock()
	q.endAt = time.Now()
	q.mu.Unlock()
	q.site.s.note("process %s ended: %v", q.label, q.cmd.ProcessState)
	close(q.ended)
}

// logged reports whether the process has logged a line with this text.
func (q *process) logged(text string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, line := range q.log {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

func (q *process) signal(sig syscall.Signal) {
	q.site.s.say("signal %v to %s", sig, q.label)
	q.cmd.Process.Signal(sig)
}

// hasEnded reports whether the process has ended.
func (q *process) hasEnded() bool {
	select {
	case <-q.ended:
		return true
	default:
		return false
	}
}

// call makes an operator's call, and returns the status, 0 if there was no answer.
func (q *process) call(method, path string) (status int, body string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, _ := http.NewRequest(method, "http://"+q.admin+path, nil)
	r, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	var b bytes.Buffer
	b.ReadFrom(r.Body)
	return r.StatusCode, b.String()
}

// waitReady waits until the process says yes to readyz, and returns when it did.
func (q *process) waitReady(limit time.Duration) time.Time {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, _ := q.call("GET", "/v1/readyz"); status == 200 {
			q.site.s.say("%s says yes to readyz", q.label)
			return time.Now()
		}
		if q.hasEnded() {
			break
		}
	}
	q.site.s.cannotRun("%s was not ready within %v", q.label, limit)
	return time.Time{}
}

// replace plays the platform's replacement of old: it starts the next process, calls meanwhile, if it is not nil,
// as soon as that runs, waits for its yes, and ends old with SIGTERM, and with SIGKILL 3.75 s later.
func (p *proxySite) replace(old *process, label string, meanwhile func(next *process)) (next *process, yes time.Time) {
	p.s.say("replacing %s by %s", old.label, label)
	next = p.start(label)
	if meanwhile != nil {
		go meanwhile(next)
	}
	yes = next.waitReady(6 * time.Second)
	old.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-old.ended:
		case <-time.After(3750 * time.Millisecond):
			old.signal(syscall.SIGKILL)
		}
	}()
	return next, yes
}

// ping does what the platform's front does with a new process: it waits for PONG.
func (p *proxySite) ping(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", p.listen, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprint(c, "PING\r\n")
		line, _ := bufio.NewReader(c).ReadString('\n')
		c.Close()
		if line == "PONG\r\n" {
			return
		}
	}
	p.s.cannotRun("%s did not answer PING within %v", p.name, limit)
}
