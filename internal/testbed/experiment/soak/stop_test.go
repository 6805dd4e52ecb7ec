package soak

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/app/command"
	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// asProgram has the test's own binary run as the program.
const asProgram = "CROFTLOCK_TEST_RUN"

func TestMain(m *testing.M) {
	BehindShim()
	BendClock()
	if os.Getenv(asProgram) != "" {
		os.Exit(command.Run(os.Args[1:], os.Getenv))
	}
	os.Exit(m.Run())
}

// stopping is one proxy with hosts that can hang.
type stopping struct {
	proxy    *experiment.Process
	hosts    []*fake.Server
	deadline time.Duration
}

func newStopping(t *testing.T, deadline time.Duration) *stopping {
	t.Helper()
	s := &stopping{deadline: deadline}
	d, err := fake.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	for i := range 3 {
		h, err := fake.NewServer(fmt.Sprint("s", i), "a", nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.Close)
		s.hosts = append(s.hosts, h)
		d.Set(h.Entry())
	}
	env := &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}
	s.proxy, err = env.Proxy(experiment.Setup{Name: "n0", Discovery: d.Addr(), Known: d.List(), Deadline: deadline, Env: []string{asProgram + "=1"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.proxy.Kill)
	return s
}

// start begins sessions, each with so much time and a line every 100 ms once it is served.
func (s *stopping) start(t *testing.T, n int) (all []*Session) {
	t.Helper()
	for range n {
		c, err := Start(s.proxy.Addr, Request{Class: "lab", Wait: s.deadline, Interval: 100 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Leave)
		all = append(all, c)
	}
	return all
}

// stand begins sessions until so many have been served; some may be refused on the way.
func (s *stopping) stand(t *testing.T, n int) (all []*Session) {
	t.Helper()
	_, ok := experiment.Until(20*time.Second, func() bool {
		c := s.start(t, 1)[0]
		experiment.Until(s.deadline+time.Second, func() bool { return c.Outcome().Answer != Unanswered })
		if c.Outcome().Answer == Served {
			all = append(all, c)
		}
		return len(all) == n
	})
	if !ok {
		t.Fatalf("%d of %d connections stand", len(all), n)
	}
	return all
}

// Hosts hang, clients go on sending, and SIGKILL comes as early as the platform may send it. By then each request has its answer, each open
// connection has been migrated, and nothing is in flight any more.
func TestNothingIsHeldAtTheEarliestKill(t *testing.T) {
	for _, deadline := range []time.Duration{100, 400, 1000, 2000, 3000, 4800, 9000} {
		deadline *= time.Millisecond
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			s := newStopping(t, deadline)
			standing := s.stand(t, 60)
			for _, h := range s.hosts {
				h.Slow.Store(int64(time.Minute))
			}
			asked := s.start(t, 40)
			time.Sleep(50 * time.Millisecond)
			held := newStallMeter()
			began := time.Now()
			s.proxy.Signal(syscall.SIGTERM)
			for time.Since(began) < 300*time.Millisecond { // the front has not noticed yet
				if c, err := Start(s.proxy.Addr, Request{Class: "lab", Wait: deadline}); err == nil {
					asked = append(asked, c)
					t.Cleanup(c.Leave)
				}
				time.Sleep(20 * time.Millisecond)
			}
			// SIGKILL comes no sooner than the platform says, and later by as much as this machine held everything up.
			time.Sleep(time.Until(began.Add(KillAfter(deadline))))
			held.stop()
			time.Sleep(held.value())
			s.proxy.Kill()
			check(t, s, standing, asked)
		})
	}
}

// check reports what the process left behind.
func check(t *testing.T, s *stopping, standing, asked []*Session) {
	t.Helper()
	lost, unanswered := map[End]int{}, 0
	for _, c := range standing {
		select {
		case <-c.Ended():
		case <-time.After(2 * time.Second): // what the process had written is on its way
		}
		if o := c.Outcome(); o.End != Migrated {
			lost[o.End]++
		}
	}
	for _, c := range asked {
		select {
		case <-c.Ended():
		case <-time.After(2 * time.Second):
		}
		if o := c.Outcome(); !o.Sent.IsZero() && o.Answer == Unanswered {
			unanswered++
		}
	}
	if len(lost) > 0 || unanswered > 0 {
		t.Errorf("of %d open connections not moved: %v; of %d requests without an answer: %d; log:\n%s", len(standing), lost, len(asked), unanswered,
			strings.Join(s.proxy.Log("event="), "\n"))
	}
	if ended := s.proxy.Log("event=stopped"); len(ended) == 0 {
		t.Errorf("it did not end by itself")
	}
}
