package soak

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"croftlock/internal/testbed/experiment"
)

// proxyProcess is one process of a proxy, from its start to its end.
type proxyProcess struct {
	name      string
	node      *Node
	admin     string // where operators call
	proc      *experiment.Process
	startedAt time.Time

	mu                 sync.Mutex
	stoppedAt          time.Time // SIGTERM; zero: none
	killedAt           time.Time // SIGKILL as a fault; zero: none
	endedAt            time.Time // zero: it runs
	killedAfterTimeout bool      // SIGKILL, since it did not end in time after SIGTERM
	err                error
	pausedTotal        time.Duration // by SIGSTOP
	successor          *proxyProcess // that took over by a hot restart; nil: none
}

// latestSuccessor is the last in the chain of hot restarts that begins here.
func (p *proxyProcess) latestSuccessor() *proxyProcess {
	p.mu.Lock()
	next := p.successor
	p.mu.Unlock()
	if next == nil {
		return p
	}
	return next.latestSuccessor()
}

// secondsSinceStart is a moment in seconds since this process's start.
func (p *proxyProcess) secondsSinceStart(t time.Time) string {
	return fmt.Sprintf("%.3f", t.Sub(p.startedAt).Seconds())
}

// String names the process with the times of its signals and its end.
func (p *proxyProcess) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "process %s", p.name)
	for _, e := range []struct {
		event string
		at    time.Time
	}{{"SIGTERM", p.stoppedAt}, {"SIGKILL", p.killedAt}, {"ended", p.endedAt}} {
		if !e.at.IsZero() {
			fmt.Fprintf(&b, " %s %s", e.event, p.secondsSinceStart(e.at))
		}
	}
	if p.killedAfterTimeout {
		b.WriteString(", killed at its time limit")
	}
	return b.String()
}

// totalPause is the sum of its pauses.
func (p *proxyProcess) totalPause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedTotal
}

// wasKilled returns whether a fault killed it, or one of its successors.
func (p *proxyProcess) wasKilled() bool { return p.wasKilledBefore(time.Now()) }

// wasKilledBefore returns whether that had happened by a moment.
func (p *proxyProcess) wasKilledBefore(t time.Time) bool {
	p.mu.Lock()
	killed, next := !p.killedAt.IsZero() && p.killedAt.Before(t), p.successor
	p.mu.Unlock()
	return killed || next != nil && next.wasKilledBefore(t)
}

// hasEnded returns whether the process has ended.
func (p *proxyProcess) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.endedAt.IsZero()
}

// isStopping returns whether it was sent SIGTERM or SIGKILL.
func (p *proxyProcess) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stoppedAt.IsZero() || !p.killedAt.IsZero()
}

// exitError is its exit status, once it has ended.
func (p *proxyProcess) exitError() (err error, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err, !p.endedAt.IsZero()
}

// recordEnd records the end of the process.
func (p *proxyProcess) recordEnd(killedAfterTimeout bool) {
	err := p.proc.Err()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedAt, p.killedAfterTimeout, p.err = time.Now(), killedAfterTimeout, err
}

// kill ends it by SIGKILL, as a crash does.
func (p *proxyProcess) kill() {
	p.mu.Lock()
	p.killedAt = time.Now()
	p.mu.Unlock()
	p.proc.Kill()
	p.recordEnd(false)
}

// stop sends SIGTERM and, as early as the platform may, SIGKILL; slack is added for stalls of this machine.
func (p *proxyProcess) stop(longest, slack time.Duration) {
	p.mu.Lock()
	p.stoppedAt = time.Now()
	p.mu.Unlock()
	p.proc.Signal(syscall.SIGTERM)
	select {
	case <-p.proc.Done():
		p.recordEnd(false)
	case <-time.After(KillAfter(longest) + slack):
		p.proc.Kill()
		p.recordEnd(true)
	}
}

// pause stops it for a while.
func (p *proxyProcess) pause(d time.Duration) {
	p.mu.Lock()
	p.pausedTotal += d
	p.mu.Unlock()
	p.proc.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.proc.Signal(syscall.SIGCONT)
}

// rewriteConfig changes one value in the process's configuration file.
func (p *proxyProcess) rewriteConfig(name, value string) error {
	path := p.proc.ConfigPath()
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	old := fmt.Sprintf("%q:%q", name, between(string(data), fmt.Sprintf("%q:\"", name), `"`))
	return os.WriteFile(path, []byte(strings.Replace(string(data), old, fmt.Sprintf("%q:%q", name, value), 1)), 0o600)
}

// between is the text after the first from, up to the next to.
func between(s, from, to string) string {
	_, rest, _ := strings.Cut(s, from)
	value, _, _ := strings.Cut(rest, to)
	return value
}
