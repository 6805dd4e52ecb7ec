package soak

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/app/command"
	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// asProgram is the environment variable that makes the test binary run as the proxy program.
const asProgram = "CROFTLOCK_TEST_RUN"

// TestMain runs the tests, or the proxy program if asProgram is set.
func TestMain(m *testing.M) {
	ExecBehindShim()
	SkewClock()
	if os.Getenv(asProgram) != "" {
		os.Exit(command.Run(os.Args[1:], os.Getenv))
	}
	os.Exit(m.Run())
}

// shutdownTest contains a proxy and its hosts, which can hang.
type shutdownTest struct {
	proxy    *experiment.Process
	hosts    []*fake.Server
	deadline time.Duration // of every request
}

// newShutdownTest starts three hosts and a proxy whose requests have the given deadline.
func newShutdownTest(t *testing.T, deadline time.Duration) *shutdownTest {
	t.Helper()
	hosts, err := fake.NewHosts("a", "s0", "s1", "s2")
	if err != nil {
		t.Fatalf("the hosts did not start: %v", err)
	}
	t.Cleanup(hosts.Close)
	s := &shutdownTest{deadline: deadline, hosts: hosts.Servers}
	env := &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}
	s.proxy, err = env.Proxy(experiment.Setup{Name: "n0", Discovery: hosts.Discovery.Addr(), InitialList: hosts.Discovery.List(), Deadline: deadline,
		Env: []string{asProgram + "=1"}})
	if err != nil {
		t.Fatalf("the proxy did not start: %v", err)
	}
	t.Cleanup(s.proxy.Kill)
	return s
}

// request sends n requests on n connections. Each client sends a line every 100 ms once it is
// served.
func (s *shutdownTest) request(t *testing.T, n int) (connections []*ClientConnection) {
	t.Helper()
	for range n {
		c, err := DialAndRequest(s.proxy.Addr, Request{Class: "lab", Timeout: s.deadline, Interval: 100 * time.Millisecond})
		if err != nil {
			t.Fatalf("request to %s: %v", s.proxy.Addr, err)
		}
		t.Cleanup(c.Close)
		connections = append(connections, c)
	}
	return connections
}

// establish sends requests until n of them are served. Some may be rejected before that.
func (s *shutdownTest) establish(t *testing.T, n int) (connections []*ClientConnection) {
	t.Helper()
	_, ok := experiment.AwaitCondition(20*time.Second, func() bool {
		c := s.request(t, 1)[0]
		experiment.AwaitCondition(s.deadline+time.Second, func() bool { return c.Outcome().Answer != Unanswered })
		if c.Outcome().Answer == Served {
			connections = append(connections, c)
		}
		return len(connections) == n
	})
	if !ok {
		t.Fatalf("%d connections are established, want %d", len(connections), n)
	}
	return connections
}

// requestWhileFrontSends sends requests for the 300 ms after SIGTERM in which the platform's front
// continues to send new clients to a proxy.
func (s *shutdownTest) requestWhileFrontSends(t *testing.T, terminatedAt time.Time) (connections []*ClientConnection) {
	t.Helper()
	for time.Since(terminatedAt) < 300*time.Millisecond {
		if c, err := DialAndRequest(s.proxy.Addr, Request{Class: "lab", Timeout: s.deadline}); err == nil {
			connections = append(connections, c)
			t.Cleanup(c.Close)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return connections
}

// TestShutdownEndsBeforeEarliestKill guards against a shutdown that outlasts the shortest time
// between SIGTERM and SIGKILL because hosts hang and clients continue to send. By SIGKILL each
// request must be answered, each established connection migrated, and the process ended.
func TestShutdownEndsBeforeEarliestKill(t *testing.T) {
	for _, deadline := range []time.Duration{100, 400, 1000, 2000, 3000, 4800, 9000} {
		deadline *= time.Millisecond
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			s := newShutdownTest(t, deadline)
			established := s.establish(t, 60)
			for _, h := range s.hosts {
				h.AnswerDelay.Store(int64(time.Minute))
			}
			waiting := s.request(t, 40)
			time.Sleep(50 * time.Millisecond)
			stalls := newStallMeter()
			terminatedAt := time.Now()
			s.proxy.Signal(syscall.SIGTERM)
			waiting = append(waiting, s.requestWhileFrontSends(t, terminatedAt)...)
			// SIGKILL follows at the earliest time that the platform allows, plus the longest stall
			// of the machine.
			time.Sleep(time.Until(terminatedAt.Add(KillAfter(deadline))))
			stalls.stop()
			time.Sleep(stalls.longestStall())
			s.proxy.Kill()
			s.check(t, established, waiting)
		})
	}
}

// check reports connections that were not migrated, requests without an answer, and a process that
// did not end by itself.
func (s *shutdownTest) check(t *testing.T, established, waiting []*ClientConnection) {
	t.Helper()
	notMigrated, unanswered := map[End]int{}, 0
	for _, c := range established {
		if outcome := c.finalOutcome(); outcome.End != Migrated {
			notMigrated[outcome.End]++
		}
	}
	for _, c := range waiting {
		if outcome := c.finalOutcome(); !outcome.Sent.IsZero() && outcome.Answer == Unanswered {
			unanswered++
		}
	}
	if len(notMigrated) > 0 || unanswered > 0 {
		t.Errorf("%d established connections: not migrated, by their end: %v, want none; %d requests: unanswered: %d, want 0; log:\n%s", len(established),
			notMigrated, len(waiting), unanswered, strings.Join(s.proxy.LogLines("event="), "\n"))
	}
	if stopped := s.proxy.LogLines("event=stopped"); len(stopped) == 0 {
		t.Errorf("no event=stopped in the log: the process did not end before SIGKILL")
	}
}

// finalOutcome waits up to 2 s for the end of the connection, so that lines that an ended process
// has written arrive, and returns the outcome.
func (c *ClientConnection) finalOutcome() Outcome {
	select {
	case <-c.Ended():
	case <-time.After(2 * time.Second):
	}
	return c.Outcome()
}
