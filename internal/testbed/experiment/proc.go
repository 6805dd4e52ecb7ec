package experiment

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"croftlock/internal/testbed/fake"
)

// Env is the environment of an experiment.
type Env struct {
	Croftlock    string // path of the program
	EarlierBuild string // path of an earlier build: hot restarts alternate between the two; "": all run Croftlock
	Self         string // path of croftlock-experiment, for the comparisons that it runs as a process of its own
	Dir          string // for files; removed afterwards
	Logf         func(format string, args ...any)
}

// Setup is the configuration, settings and environment of a proxy process.
type Setup struct {
	Name           string
	Discovery      string        // address
	ListsPushed    bool          // lists are pushed, to an agent at the address Discovery
	InitialList    fake.List     // the endpoint list that it starts with
	Settings       string        // path of the settings file; "": none
	Cores          float64       // part of a core that it may use; default 1
	MaxDescriptors int           // descriptors that it may hold; default 4096
	MemoryMB       float64       // memory that it may hold; default 192
	ConnectTimeout time.Duration // time limit of a connect; default 250 ms
	Deadline       time.Duration // of a request; default 2 s
	Classes        []Class       // none: one class of idempotent requests with that deadline
	Args           []string      // further arguments of the command serve
	Env            []string      // further environment, NAME=VALUE
	Files          []*os.File    // descriptors that it inherits, from 3 on
	Listen         string        // "": any address
	Admin          string        // address of the admin interface; "": none
	TmpDir         string        // the platform's private folder; "": as this process has it
	Program        string        // path; "": Env.Croftlock
	Tier           Tier
}

// Tier is a proxy's place among the proxies of its tier; the zero value: it is alone.
type Tier struct {
	Peers  []string // addresses of all proxies of the tier, itself included
	Index  int      // its own place in Peers
	Listen string   // where it is reached
}

// Process is a process that an experiment started.
type Process struct {
	Addr string
	cmd  *exec.Cmd
	dir  string

	mu         sync.Mutex
	log        []string
	done       chan struct{}
	exitErr    error
	peakMemory int64 // most memory that it ever held, once it has ended
}

// runningProcesses are the started processes that have not ended.
var runningProcesses sync.Map

// killAll kills the processes that an experiment has left running.
func killAll() {
	runningProcesses.Range(func(p, _ any) bool {
		p.(*Process).cmd.Process.Kill()
		return true
	})
}

// requestClass is the class of requests of experiments with one class.
const requestClass = "lab"

// Proxy starts a croftlock process and waits until it is ready.
func (e *Env) Proxy(s Setup) (*Process, error) {
	s.setDefaults()
	dir, err := os.MkdirTemp(e.Dir, "proxy")
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(s.config())
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
	if s.TmpDir != "" {
		s.Env = append(s.Env, "TMPDIR="+s.TmpDir)
	}
	if s.Program == "" {
		s.Program = e.Croftlock
	}
	cmd := exec.Command(s.Program, args...)
	cmd.ExtraFiles = s.Files
	return startCommand(dir, cmd, append(s.Env, "NODE_CONFIG="+path), readyLine)
}

// readyMark identifies the log line of a process that is ready; a field of the line is its address.
type readyMark struct{ event, field string }

// readyLine is the ready line of the proxy and of the relay.
var readyLine = readyMark{event: "event=ready", field: "listen="}

// address returns the address in a line, if it is the ready line.
func (m readyMark) address(line string) (addr string, ready bool) {
	if _, rest, ok := strings.Cut(line, m.field); ok && strings.Contains(line, m.event) {
		addr, _, _ = strings.Cut(rest, " ")
		return addr, true
	}
	return "", false
}

// startTimeout is how long a process may take to be ready.
const startTimeout = 10 * time.Second

// stopTimeout is how long a process may take to end after SIGTERM.
const stopTimeout = 10 * time.Second

// startCommand runs a command and waits for its ready line.
func startCommand(dir string, cmd *exec.Cmd, env []string, mark readyMark) (*Process, error) {
	p := &Process{cmd: cmd, dir: dir, done: make(chan struct{})}
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	runningProcesses.Store(p, true)
	ready := make(chan string, 1)
	go p.readLog(out, mark, ready)
	select {
	case p.Addr = <-ready:
		return p, nil
	case <-p.done:
		return nil, fmt.Errorf("the process ended before it was ready: %s", strings.Join(p.LogLines(""), "; "))
	case <-time.After(startTimeout):
		p.Kill()
		return nil, fmt.Errorf("the process was not ready after %v", startTimeout)
	}
}

// readLog reads the process's log until its end, sends its address once it is ready, and records how it ended.
func (p *Process) readLog(out io.Reader, mark readyMark, ready chan<- string) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.mu.Lock()
		p.log = append(p.log, lines.Text())
		p.mu.Unlock()
		if addr, ok := mark.address(lines.Text()); ok {
			select {
			case ready <- addr:
			default:
			}
		}
	}
	p.exitErr = p.cmd.Wait()
	if u, ok := p.cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		p.peakMemory = u.Maxrss << 10
	}
	runningProcesses.Delete(p)
	close(p.done)
}

// ConfigPath is the path of its configuration file.
func (p *Process) ConfigPath() string { return filepath.Join(p.dir, "config.json") }

// LogLines is every line of the log so far that contains the text.
func (p *Process) LogLines(text string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lines []string
	for _, line := range p.log {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// AwaitLog waits for a log line that contains the text.
func (p *Process) AwaitLog(text string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if len(p.LogLines(text)) > 0 {
			return true
		}
	}
	return false
}

// Done is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err waits for the process's end, and is nil if its exit status is 0.
func (p *Process) Err() error {
	<-p.done
	return p.exitErr
}

// Signal sends the process a signal.
func (p *Process) Signal(s os.Signal) { p.cmd.Process.Signal(s) }

// Kill ends the process by SIGKILL.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Stop ends the process by SIGTERM; an error says that it failed, or did not end in time.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.exitErr
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("the process had not ended %v after SIGTERM", stopTimeout)
	}
}
