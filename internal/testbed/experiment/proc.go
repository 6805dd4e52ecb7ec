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

// Env holds the programs and the folder that an experiment uses.
type Env struct {
	Croftlock    string // path of the program under test
	EarlierBuild string // path of an earlier build that hot restarts alternate with; empty means none
	Self         string // path of croftlock-experiment, for processes that run its relay or faults
	Dir          string // folder for files, removed after the experiment
	// Logf logs the progress of the experiment.
	Logf func(format string, args ...any)
}

// Setup is the configuration, settings and environment of a proxy process. Zero values mean the
// defaults.
type Setup struct {
	Name           string
	Discovery      string        // address of the discovery, or of the agent that pushes lists
	ListsPushed    bool          // the agent at Discovery pushes endpoint lists, and the proxy does not poll
	InitialList    fake.List     // endpoint list at the start
	Settings       string        // path of the settings file; empty means none
	Cores          float64       // CPU limit in cores; default 1
	MaxDescriptors int           // limit of open file descriptors; default 4096
	MemoryMB       float64       // memory limit in MB; default 192
	ConnectTimeout time.Duration // time limit of a connect; default 250 ms
	Deadline       time.Duration // deadline of a request; default 2 s
	Classes        []Class       // request classes; empty means one class of idempotent requests with Deadline
	Args           []string      // additional arguments of the command serve
	Env            []string      // additional environment variables, NAME=VALUE
	Files          []*os.File    // inherited files, from descriptor 3 on
	Listen         string        // listen address; empty means 127.0.0.1 and any free port
	Admin          string        // address of the admin interface; empty means none
	TmpDir         string        // the platform's private folder (TMPDIR); empty means that of this process
	Program        string        // path of the program; empty means Env.Croftlock
	Tier           Tier
}

// Tier specifies a proxy's position among the proxies of its tier. The zero value means that it is
// the only one.
type Tier struct {
	Peers  []string // addresses of all proxies of the tier, including its own
	Index  int      // its index in Peers
	Listen string   // address at which its peers reach it
}

// Process is a process that an experiment has started.
type Process struct {
	Addr string // listen address, from the ready line
	cmd  *exec.Cmd
	dir  string // folder of the configuration file

	mu         sync.Mutex    // protects log
	log        []string      // lines read so far
	done       chan struct{} // closed once the process has ended
	exitErr    error         // exit status, set before done is closed; nil means 0
	peakMemory int64         // peak resident memory in bytes, set when the process has ended
}

// runningProcesses holds the started processes that have not ended; the keys are *Process.
var runningProcesses sync.Map

// killAll kills all processes that an experiment has left running.
func killAll() {
	runningProcesses.Range(func(p, _ any) bool {
		p.(*Process).cmd.Process.Kill()
		return true
	})
}

// requestClass is the request class of experiments with a single class.
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

// readyMark identifies the log line of a process that is ready. field is the key of the address in
// this line.
type readyMark struct{ event, field string }

// readyLine is the ready line that the proxy and the relay log.
var readyLine = readyMark{event: "event=ready", field: "listen="}

// address returns the address in line and reports whether line is the ready line.
func (m readyMark) address(line string) (addr string, ready bool) {
	if _, rest, ok := strings.Cut(line, m.field); ok && strings.Contains(line, m.event) {
		addr, _, _ = strings.Cut(rest, " ")
		return addr, true
	}
	return "", false
}

// startTimeout limits the time until a process is ready.
const startTimeout = 10 * time.Second

// stopTimeout limits the time from SIGTERM to the end of a process.
const stopTimeout = 10 * time.Second

// startCommand starts cmd with the additional environment env and waits until its ready line is
// logged.
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
		return nil, fmt.Errorf("the process ended before it was ready; its log: %s", strings.Join(p.LogLines(""), "; "))
	case <-time.After(startTimeout):
		p.Kill()
		return nil, fmt.Errorf("the process was not ready after %v", startTimeout)
	}
}

// readLog reads the log of the process until its end, sends its address to ready once it is ready,
// and records its exit status and peak memory.
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

// ConfigPath returns the path of the configuration file.
func (p *Process) ConfigPath() string { return filepath.Join(p.dir, "config.json") }

// LogLines returns the log lines so far that contain the text.
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

// AwaitLog waits until a log line contains the text, and reports whether one did within the time.
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

// Err waits until the process has ended. It returns nil if the exit status is 0.
func (p *Process) Err() error {
	<-p.done
	return p.exitErr
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) { p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM and waits until the process has ended. It returns an error if the exit status
// is not 0, or if the process did not end within stopTimeout and was killed.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.exitErr
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("the process did not end within %v after SIGTERM", stopTimeout)
	}
}
