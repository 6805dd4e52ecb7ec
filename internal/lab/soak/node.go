package soak

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"croftlock/internal/fake"
	"croftlock/internal/lab"
)

// life is one process of a proxy, from its start to its end.
type life struct {
	name  string
	node  *Node
	admin string // where operators call
	proc  *lab.Process
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

// Node is one proxy: its processes, one after the other, at one address.
type Node struct {
	number    int
	fleet     *Fleet
	setup     lab.Setup
	discovery [2]*fake.Discovery // the one that is asked, and the one that a new configuration names
	asks      int                // which of them

	mu   sync.Mutex
	now  *life
	all  []*life
	bans []*ban

	banning map[string]bool // hosts that an operator takes out or calls back just now
	busy    bool            // a fault that starts or ends a process is under way
}

// Life is the process that runs; nil: none does.
func (n *Node) Life() *life {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.now
}

// claim keeps two faults from starting or ending the same proxy's process at once.
func (n *Node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	was := n.busy
	n.busy = true
	return !was
}

func (n *Node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = false
}

// start begins a process. Its list is the one that the proxy held last; its address was its predecessor's.
func (n *Node) start() error {
	setup := n.setup
	setup.Discovery, setup.Known = n.discovery[n.asks].Addr(), n.discovery[n.asks].List()
	if setup.Tmp != "" {
		admin, err := lab.FreeAddr()
		if err != nil {
			return err
		}
		setup.Admin = admin
	}
	l := &life{node: n, admin: setup.Admin, name: fmt.Sprintf("n%d.%d", n.number, len(n.all)), began: time.Now()}
	n.told([]*life{l}, setup.Known, "its configuration")
	n.mu.Lock()
	n.all = append(n.all, l) // it asks discovery before it is ready
	n.mu.Unlock()
	var err error
	if l.proc, err = n.fleet.launch(setup, n.number); err != nil {
		l.mu.Lock()
		l.gone = time.Now()
		l.mu.Unlock()
		return fmt.Errorf("%s: %w", l.name, err)
	}
	n.mu.Lock()
	n.now = l
	n.mu.Unlock()
	return nil
}

// running are the processes of the proxy that have not ended: two while one takes over from the other. They are one proxy, and what one is told both
// have been told.
func (n *Node) running() (out []*life) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.all {
		if !l.over() {
			out = append(out, l)
		}
	}
	return out
}

// told notes what a list that was written says of hosts.
func (n *Node) told(lives []*life, list fake.List, by string) {
	for _, l := range lives {
		n.toldOne(l, list, by)
	}
}

func (n *Node) toldOne(l *life, list fake.List, by string) {
	at, named := time.Now(), map[string]bool{}
	for _, e := range list.Targets {
		named[e.UID] = true
		n.fleet.record.tell(l, e.UID, e.State, by, at)
	}
	if list.All {
		for _, h := range n.fleet.Hosts() {
			if !named[h.UID] {
				n.fleet.record.tell(l, h.UID, "removed", by, at)
			}
		}
	}
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
