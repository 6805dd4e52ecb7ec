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
	name      string // names of the proxy and of the process in it, such as n3.0
	node      *Node
	admin     string // address of the admin interface
	proc      *experiment.Process
	startedAt time.Time

	mu                 sync.Mutex    // protects the fields below
	stoppedAt          time.Time     // when it was sent SIGTERM; zero if it was not
	killedAt           time.Time     // when a fault sent it SIGKILL; zero if none did
	endedAt            time.Time     // zero while it runs
	killedAfterTimeout bool          // whether it was sent SIGKILL because it did not end in time after SIGTERM
	err                error         // exit status, once it has ended
	pausedTotal        time.Duration // total of its pauses by SIGSTOP
	successor          *proxyProcess // process that took over by a hot restart; nil if none did
}

// latestSuccessor returns the last process in the chain of hot restarts that begins with p, or p if
// none took over from it.
func (p *proxyProcess) latestSuccessor() *proxyProcess {
	p.mu.Lock()
	next := p.successor
	p.mu.Unlock()
	if next == nil {
		return p
	}
	return next.latestSuccessor()
}

// secondsSinceStart formats the time from the process's start to t in seconds.
func (p *proxyProcess) secondsSinceStart(t time.Time) string {
	return fmt.Sprintf("%.3f", t.Sub(p.startedAt).Seconds())
}

// String returns the process's name with the times of its signals and its end, in seconds since its
// start.
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

// totalPause returns the total time for which the process was paused.
func (p *proxyProcess) totalPause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedTotal
}

// wasKilled reports whether a fault killed the process or one of its successors.
func (p *proxyProcess) wasKilled() bool { return p.wasKilledBefore(time.Now()) }

// wasKilledBefore reports whether a fault killed the process or one of its successors before t.
func (p *proxyProcess) wasKilledBefore(t time.Time) bool {
	p.mu.Lock()
	killed, next := !p.killedAt.IsZero() && p.killedAt.Before(t), p.successor
	p.mu.Unlock()
	return killed || next != nil && next.wasKilledBefore(t)
}

// hasEnded reports whether the process has ended.
func (p *proxyProcess) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.endedAt.IsZero()
}

// isStopping reports whether the process was sent SIGTERM, or SIGKILL by a fault.
func (p *proxyProcess) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stoppedAt.IsZero() || !p.killedAt.IsZero()
}

// exitError reports whether the process has ended, and returns its exit status, which is nil for
// success.
func (p *proxyProcess) exitError() (err error, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err, !p.endedAt.IsZero()
}

// recordEnd records that the process has ended, and whether it had to be killed after SIGTERM.
func (p *proxyProcess) recordEnd(killedAfterTimeout bool) {
	err := p.proc.Err()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedAt, p.killedAfterTimeout, p.err = time.Now(), killedAfterTimeout, err
}

// kill ends the process by SIGKILL, like a crash.
func (p *proxyProcess) kill() {
	p.mu.Lock()
	p.killedAt = time.Now()
	p.mu.Unlock()
	p.proc.Kill()
	p.recordEnd(false)
}

// stop sends SIGTERM and waits for the process's end. After KillAfter, the earliest time at which
// the platform may do so, it sends SIGKILL; slack extends this time by the stalls of the machine.
// longest is the longest deadline of the proxy's classes.
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

// pause stops the process by SIGSTOP for d.
func (p *proxyProcess) pause(d time.Duration) {
	p.mu.Lock()
	p.pausedTotal += d
	p.mu.Unlock()
	p.proc.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.proc.Signal(syscall.SIGCONT)
}

// rewriteConfig sets the string value of name in the process's configuration file.
func (p *proxyProcess) rewriteConfig(name, value string) error {
	path := p.proc.ConfigPath()
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	old := fmt.Sprintf("%q:%q", name, between(string(data), fmt.Sprintf("%q:\"", name), `"`))
	return os.WriteFile(path, []byte(strings.Replace(string(data), old, fmt.Sprintf("%q:%q", name, value), 1)), 0o600)
}

// between returns the text between the first from in s and the next to.
func between(s, from, to string) string {
	_, rest, _ := strings.Cut(s, from)
	value, _, _ := strings.Cut(rest, to)
	return value
}
