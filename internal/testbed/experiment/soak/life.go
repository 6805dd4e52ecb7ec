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

// life is one process of a proxy, from its start to its end.
type life struct {
	name  string
	node  *Node
	admin string // where operators call
	proc  *experiment.Process
	began time.Time

	mu      sync.Mutex
	stopped time.Time // SIGTERM; zero: none
	killed  time.Time // SIGKILL without a SIGTERM whose time had passed; zero: none
	gone    time.Time // its end; zero: it runs
	forced  bool      // it had to be killed at the end of its time
	err     error
	paused  time.Duration
	next    *life // the process that took over from it while it served; nil: none
}

// heir is the last process of those that took over one from the other.
func (l *life) heir() *life {
	l.mu.Lock()
	next := l.next
	l.mu.Unlock()
	if next == nil {
		return l
	}
	return next.heir()
}

// since is a moment in seconds of this life.
func (l *life) since(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(l.began).Seconds()) }

func (l *life) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "process %s", l.name)
	for _, e := range []struct {
		what string
		at   time.Time
	}{{"SIGTERM", l.stopped}, {"SIGKILL", l.killed}, {"ended", l.gone}} {
		if !e.at.IsZero() {
			fmt.Fprintf(&b, " %s %s", e.what, l.since(e.at))
		}
	}
	if l.forced {
		b.WriteString(", killed at the end of its time")
	}
	return b.String()
}

func (l *life) pausedFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paused
}

// crashed tells whether it was killed, or one that took over from it was.
func (l *life) crashed() bool { return l.crashedBefore(time.Now()) }

func (l *life) crashedBefore(t time.Time) bool {
	l.mu.Lock()
	killed, next := !l.killed.IsZero() && l.killed.Before(t), l.next
	l.mu.Unlock()
	return killed || next != nil && next.crashedBefore(t)
}

func (l *life) over() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.gone.IsZero()
}

func (l *life) stopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.stopped.IsZero() || !l.killed.IsZero()
}

func (l *life) ended() (err error, over bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err, !l.gone.IsZero()
}

// end notes how the process ended.
func (l *life) end(forced bool) {
	err := l.proc.Err()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gone, l.forced, l.err = time.Now(), forced, err
}

// kill ends it at once, as a crash does.
func (l *life) kill() {
	l.mu.Lock()
	l.killed = time.Now()
	l.mu.Unlock()
	l.proc.Kill()
	l.end(false)
}

// stop sends SIGTERM and, when the platform's shortest time is over, SIGKILL.
func (l *life) stop(longest, slack time.Duration) {
	l.mu.Lock()
	l.stopped = time.Now()
	l.mu.Unlock()
	l.proc.Signal(syscall.SIGTERM)
	select {
	case <-l.proc.Done():
		l.end(false)
	case <-time.After(KillAfter(longest) + slack):
		l.proc.Kill()
		l.end(true)
	}
}

// pause has it not run for a while.
func (l *life) pause(d time.Duration) {
	l.mu.Lock()
	l.paused += d
	l.mu.Unlock()
	l.proc.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	l.proc.Signal(syscall.SIGCONT)
}

// config is where a process's configuration stands, for a new one to be written there.
func (l *life) config(name, value string) error {
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
