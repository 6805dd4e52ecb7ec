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

// incarnation is one process of a proxy, from its start to its end.
type incarnation struct {
	name      string
	node      *Node
	admin     string // where operators call
	proc      *experiment.Process
	startedAt time.Time

	mu            sync.Mutex
	stoppedAt     time.Time // SIGTERM; zero: none
	killedAt      time.Time // SIGKILL without a SIGTERM whose time had passed; zero: none
	endedAt       time.Time // its end; zero: it runs
	killedAtLimit bool      // it had to be killed at the end of its time
	err           error
	pausedTotal   time.Duration
	successor     *incarnation // the process that took over from it while it served; nil: none
}

// latestSuccessor is the last process of those that took over one from the other.
func (l *incarnation) latestSuccessor() *incarnation {
	l.mu.Lock()
	next := l.successor
	l.mu.Unlock()
	if next == nil {
		return l
	}
	return next.latestSuccessor()
}

// sinceStart is a moment in seconds since this process's start.
func (l *incarnation) sinceStart(t time.Time) string {
	return fmt.Sprintf("%.3f", t.Sub(l.startedAt).Seconds())
}

// String names the process with the times of its signals and its end.
func (l *incarnation) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "process %s", l.name)
	for _, e := range []struct {
		what string
		at   time.Time
	}{{"SIGTERM", l.stoppedAt}, {"SIGKILL", l.killedAt}, {"ended", l.endedAt}} {
		if !e.at.IsZero() {
			fmt.Fprintf(&b, " %s %s", e.what, l.sinceStart(e.at))
		}
	}
	if l.killedAtLimit {
		b.WriteString(", killed at the end of its time")
	}
	return b.String()
}

// pausedFor is for how long it was stopped, in sum.
func (l *incarnation) pausedFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pausedTotal
}

// wasKilled returns whether it was killed as by a crash, or one that took over from it was.
func (l *incarnation) wasKilled() bool { return l.wasKilledBefore(time.Now()) }

// wasKilledBefore is wasKilled at a moment.
func (l *incarnation) wasKilledBefore(t time.Time) bool {
	l.mu.Lock()
	killed, next := !l.killedAt.IsZero() && l.killedAt.Before(t), l.successor
	l.mu.Unlock()
	return killed || next != nil && next.wasKilledBefore(t)
}

// hasEnded returns whether the process has ended.
func (l *incarnation) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.endedAt.IsZero()
}

// isStopping returns whether it got a signal to end.
func (l *incarnation) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.stoppedAt.IsZero() || !l.killedAt.IsZero()
}

// exitError is how it ended, if it has.
func (l *incarnation) exitError() (err error, over bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err, !l.endedAt.IsZero()
}

// recordEnd notes how the process ended.
func (l *incarnation) recordEnd(forced bool) {
	err := l.proc.Err()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endedAt, l.killedAtLimit, l.err = time.Now(), forced, err
}

// kill ends it at once, as a crash does.
func (l *incarnation) kill() {
	l.mu.Lock()
	l.killedAt = time.Now()
	l.mu.Unlock()
	l.proc.Kill()
	l.recordEnd(false)
}

// stop sends SIGTERM and, when the platform's shortest time is over, SIGKILL.
func (l *incarnation) stop(longest, slack time.Duration) {
	l.mu.Lock()
	l.stoppedAt = time.Now()
	l.mu.Unlock()
	l.proc.Signal(syscall.SIGTERM)
	select {
	case <-l.proc.Done():
		l.recordEnd(false)
	case <-time.After(KillAfter(longest) + slack):
		l.proc.Kill()
		l.recordEnd(true)
	}
}

// pause has it not run for a while.
func (l *incarnation) pause(d time.Duration) {
	l.mu.Lock()
	l.pausedTotal += d
	l.mu.Unlock()
	l.proc.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	l.proc.Signal(syscall.SIGCONT)
}

// rewriteConfig is where a process's configuration stands, for a new one to be written there.
func (l *incarnation) rewriteConfig(name, value string) error {
	path := l.proc.ConfigPath()
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	old := fmt.Sprintf("%q:%q", name, between(string(data), fmt.Sprintf("%q:\"", name), `"`))
	return os.WriteFile(path, []byte(strings.Replace(string(data), old, fmt.Sprintf("%q:%q", name, value), 1)), 0o600)
}

func between(s, from, to string) string {
	_, rest, _ := strings.Cut(s, from)
	value, _, _ := strings.Cut(rest, to)
	return value
}
