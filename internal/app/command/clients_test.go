package command

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// asProgram is the environment in which the test's own binary runs as the program.
var asProgram = []string{"CROFTLOCK_TEST_RUN=1"}

// sealKey seals the datagrams between the processes of a rig.
const sealKey = "0123456789abcdef0123456789abcdef"

// newHosts starts upstream hosts with a discovery, in one zone.
func newHosts(t testing.TB, zone string, ids ...string) *fake.Hosts {
	t.Helper()
	hosts, err := fake.NewHosts(zone, ids...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(hosts.Close)
	return hosts
}

// openClient opens a connection that has to be served, and closes it at the test's end.
func openClient(t testing.TB, proxy string, wait time.Duration) *fake.Client {
	t.Helper()
	client, answer, err := fake.Open(proxy, "lab", "", wait)
	if client == nil {
		t.Fatalf("a request is answered with %q, error %v; want UP", answer.Text, err)
	}
	t.Cleanup(client.Close)
	return client
}

// eventually waits until a condition holds; what says what it is.
func eventually(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	if _, ok := experiment.AwaitCondition(recoveryTimeout, holds); !ok {
		t.Fatalf("not within %v: %s", recoveryTimeout, condition)
	}
}

// processLoop sends requests to every process of a rig all the time.
type processLoop struct {
	paused   []atomic.Bool // by process: it is not expected to answer, and gets no requests
	stopping atomic.Bool
	workers  sync.WaitGroup
}

// start calls request for every process, again and again, with the interval of that process after each call. The test's end stops it.
func (l *processLoop) start(t *testing.T, rig *experiment.Rig, interval func(process int) time.Duration, request func(process, n int)) {
	t.Helper()
	l.paused = make([]atomic.Bool, len(rig.Procs))
	for i := range rig.Procs {
		l.workers.Add(1)
		go func() {
			defer l.workers.Done()
			for n := 0; !l.stopping.Load(); n++ {
				if !l.paused[i].Load() {
					request(i, n)
				}
				time.Sleep(interval(i))
			}
		}()
	}
	t.Cleanup(l.stop)
}

// stop ends the requests.
func (l *processLoop) stop() {
	l.stopping.Store(true)
	l.workers.Wait()
}

// sameInterval is the same interval at all processes.
func sameInterval(interval time.Duration) func(process int) time.Duration {
	return func(int) time.Duration { return interval }
}

// clientLoop opens connections at every process of a rig all the time, and closes each at once.
type clientLoop struct {
	processLoop
	served     atomic.Int64
	unanswered atomic.Int64
}

// startClientLoop starts the clients. Each waits for the interval after its request; extra is added to the request line of the nth request.
func startClientLoop(t *testing.T, rig *experiment.Rig, interval time.Duration, extra func(n int) string) *clientLoop {
	t.Helper()
	loop := &clientLoop{}
	loop.start(t, rig, sameInterval(interval), func(process, n int) {
		loop.request(rig.Procs[process].Addr, extra(n), &loop.paused[process])
	})
	return loop
}

// request sends one request and counts its outcome. A process that is paused meanwhile need not answer.
func (l *clientLoop) request(proxy, extra string, paused *atomic.Bool) {
	client, answer, _ := fake.Open(proxy, "lab", extra, 400*time.Millisecond)
	if client != nil {
		l.served.Add(1)
		client.Close()
	}
	if answer.Kind == "NONE" && !paused.Load() {
		l.unanswered.Add(1)
	}
}

// check stops the clients and reports unanswered requests, and too few served ones.
func (l *clientLoop) check(t *testing.T, minServed int64) {
	t.Helper()
	l.stop()
	if l.unanswered.Load() > 0 || l.served.Load() < minServed {
		t.Errorf("%d requests served, %d unanswered; want %d or more, and 0", l.served.Load(), l.unanswered.Load(), minServed)
	}
}
