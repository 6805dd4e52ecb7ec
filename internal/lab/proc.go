package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"croftlock/internal/standin"
)

// Env is what an experiment runs with.
type Env struct {
	Croftlock string // path of the program
	Self      string // path of croftlab, for the comparisons that it runs as a process of its own
	Dir       string // of its own, for files; removed afterwards
	Say       func(format string, args ...any)
}

// Setup is what a proxy process is started with.
type Setup struct {
	Name      string
	Discovery string
	Pushed    bool // discovery is an agent to which lists are pushed
	Known     standin.List
	Settings  string // the operators' file; "": none
	Cores     float64
	Sockets   int
	MemoryMB  float64
	Connect   time.Duration // limit of a connect
	Deadline  time.Duration // of a request
	Args, Env []string
	Listen    string // "": any address
	Admin     string // where operators call; "": nowhere
	Tmp       string // the platform's private folder; "": as this process has it
	Program   string // "": the one that experiments run
}

// Process is a process that an experiment started.
type Process struct {
	Addr string
	cmd  *exec.Cmd
	dir  string

	mu   sync.Mutex
	log  []string
	done chan struct{}
	err  error
	peak int64 // most memory that it ever held, once it has ended
}

// running are the processes that have not ended.
var running sync.Map

// killAll ends what an experiment has left behind.
func killAll() {
	running.Range(func(p, _ any) bool {
		p.(*Process).cmd.Process.Kill()
		return true
	})
}

// class is the one class that experiments use.
const class = "lab"

// Proxy starts a croftlock process and waits until it is ready.
func (e *Env) Proxy(s Setup) (*Process, error) {
	if s.Cores == 0 {
		s.Cores = 1
	}
	if s.Sockets == 0 {
		s.Sockets = 4096
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = 192
	}
	if s.Connect == 0 {
		s.Connect = 250 * time.Millisecond
	}
	if s.Deadline == 0 {
		s.Deadline = 2 * time.Second
	}
	dir, err := os.MkdirTemp(e.Dir, "proxy")
	if err != nil {
		return nil, err
	}
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	mode := "subscribe"
	if s.Pushed {
		mode = "automatic"
	}
	config := map[string]any{
		"name": s.Name, "listen": s.Listen, "admin_addr": s.Admin, "discovery": s.Discovery, "seed": "1f",
		"limits": map[string]any{"cores": s.Cores, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"known":  s.Known,
		"settings": map[string]any{"peers_total": 1, "discovery": mode,
			"bounds":   map[string]any{"try_limit": 5, "connect_timeout": int64(s.Connect), "retry_after": true, "max_retry_after": int64(time.Second)},
			"contract": map[string]any{"must_ask_in": int64(10 * time.Second)},
			"lanes": []any{map[string]any{"name": class, "on_time": int64(800 * time.Millisecond), "deadline": int64(s.Deadline),
				"semantics": "read_like"}}},
	}
	data, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	args := append([]string{"serve"}, s.Args...)
	if s.Settings != "" {
		args = append(args, "--settings", s.Settings)
	}
	if s.Tmp != "" {
		s.Env = append(s.Env, "TMPDIR="+s.Tmp)
	}
	if s.Program == "" {
		s.Program = e.Croftlock
	}
	return start(dir, exec.Command(s.Program, args...), append(s.Env, "NODE_CONFIG="+path), "event=ready", "listen=")
}

// start runs a command and waits for a line of its log that holds mark; the address stands in it after field.
func start(dir string, cmd *exec.Cmd, env []string, mark, field string) (*Process, error) {
	p := &Process{cmd: cmd, dir: dir, done: make(chan struct{})}
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	running.Store(p, true)
	ready := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.mu.Lock()
			p.log = append(p.log, lines.Text())
			p.mu.Unlock()
			if _, rest, ok := strings.Cut(lines.Text(), field); ok && strings.Contains(lines.Text(), mark) {
				addr, _, _ := strings.Cut(rest, " ")
				select {
				case ready <- addr:
				default:
				}
			}
		}
		p.err = cmd.Wait()
		if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			p.peak = u.Maxrss << 10
		}
		running.Delete(p)
		close(p.done)
	}()
	select {
	case p.Addr = <-ready:
		return p, nil
	case <-p.done:
		return nil, fmt.Errorf("it ended before it was ready: %s", strings.Join(p.Log(""), "; "))
	case <-time.After(10 * time.Second):
		p.Kill()
		return nil, errors.New("it was not ready after 10 s")
	}
}

// Log is every line of the log so far that holds what.
func (p *Process) Log(what string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, l := range p.log {
		if strings.Contains(l, what) {
			out = append(out, l)
		}
	}
	return out
}

// Await waits for a line of the log.
func (p *Process) Await(what string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if len(p.Log(what)) > 0 {
			return true
		}
	}
	return false
}

// Signal sends one.
func (p *Process) Signal(s os.Signal) { p.cmd.Process.Signal(s) }

// Kill ends it at once.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Stop ends it in order; an error tells that it did not end in order.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(10 * time.Second):
		p.Kill()
		return errors.New("it was still there 10 s after SIGTERM")
	}
}

// apart gives the process a core of its own and this program the others, so that what stand-ins compute is not taken for
// a delay of the proxy's. Without cores enough it tells false and changes nothing.
func (p *Process) apart() bool {
	var all unix.CPUSet
	if unix.SchedGetaffinity(0, &all) != nil || all.Count() < 3 {
		return false
	}
	last := 0
	for i := range 1024 {
		if all.IsSet(i) {
			last = i
		}
	}
	var one unix.CPUSet
	one.Set(last)
	all.Clear(last)
	for _, x := range []struct {
		pid int
		set *unix.CPUSet
	}{{p.cmd.Process.Pid, &one}, {os.Getpid(), &all}} {
		tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", x.pid))
		for _, t := range tasks {
			tid, _ := strconv.Atoi(filepath.Base(t))
			unix.SchedSetaffinity(tid, x.set)
		}
	}
	return true
}

// CPU is the time that all threads have run, from the scheduler's own count in nanoseconds: the usual one ticks in
// hundredths of a second.
func (p *Process) CPU() time.Duration {
	total := int64(0)
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		if w := strings.Fields(string(data)); len(w) > 0 {
			n, _ := strconv.ParseInt(w[0], 10, 64)
			total += n
		}
	}
	return time.Duration(total)
}

// Memory is what the process holds in memory, in bytes.
func (p *Process) Memory() int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, l := range strings.Split(string(data), "\n") {
		if w := strings.Fields(l); len(w) == 3 && w[0] == "VmRSS:" {
			n, _ := strconv.ParseInt(w[1], 10, 64)
			return n << 10
		}
	}
	return 0
}

// Descriptors is how many the process holds.
func (p *Process) Descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(list)
}
