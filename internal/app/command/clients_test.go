package command

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// asProgram is the environment that makes the test's own binary run as the program (TestMain).
var asProgram = []string{"CROFTLOCK_TEST_RUN=1"}

// sealKey is the key with which the processes of a rig seal the datagrams that they send one another.
// A rig is a set of proxy processes with hosts, started for one test.
const sealKey = "0123456789abcdef0123456789abcdef"

// newHosts starts an upstream host for each ID, in one zone, and a discovery service that lists them.
// The test's end closes all of them.
func newHosts(t testing.TB, zone string, ids ...string) *fake.Hosts {
	t.Helper()
	hosts, err := fake.NewHosts(zone, ids...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(hosts.Close)
	return hosts
}

// openClient opens a connection of the class lab at a proxy's address with a deadline of wait. It fails the test if
// the connection is not established. The connection is closed at the test's end.
func openClient(t testing.TB, proxy string, wait time.Duration) *fake.Client {
	t.Helper()
	client, answer, err := fake.Open(proxy, "lab", "", wait)
	if client == nil {
		t.Fatalf("a request to %s is answered with %q, error %v; want UP", proxy, answer.Text, err)
	}
	t.Cleanup(client.Close)
	return client
}

// eventually waits until holds returns true, and fails the test after recoveryTimeout. condition
// describes what holds checks, for the failure message.
func eventually(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	if _, ok := experiment.AwaitCondition(recoveryTimeout, holds); !ok {
		t.Fatalf("not reached within %v: %s", recoveryTimeout, condition)
	}
}

// processLoop sends requests to every process of a rig until it is stopped.
type processLoop struct {
	paused   []atomic.Bool // by index of the process; a paused process gets no requests and need not answer
	stopping atomic.Bool
	workers  sync.WaitGroup
}

// start calls request repeatedly for every process, on one goroutine for each, and waits for that
// process's interval after each call. process is an index into rig.Procs; n counts the process's
// calls from 0. The test's end stops the loop.
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

// stop stops the loop and waits for the requests in progress. It may be called repeatedly.
func (l *processLoop) stop() {
	l.stopping.Store(true)
	l.workers.Wait()
}

// sameInterval returns a function that returns interval for every process.
func sameInterval(interval time.Duration) func(process int) time.Duration {
	return func(int) time.Duration { return interval }
}

// clientLoop repeatedly opens a connection at every process of a rig and closes it at once.
type clientLoop struct {
	processLoop
	served     atomic.Int64 // connections established
	unanswered atomic.Int64 // requests without any answer, at processes that were not paused
}

// startClientLoop starts one client for each process. Each client waits for interval after each
// request. extra returns the fields to add to the request line of a process's request n, counted
// from 0, or "" for none.
func startClientLoop(t *testing.T, rig *experiment.Rig, interval time.Duration, extra func(n int) string) *clientLoop {
	t.Helper()
	loop := &clientLoop{}
	loop.start(t, rig, sameInterval(interval), func(process, n int) {
		loop.request(rig.Procs[process].Addr, extra(n), &loop.paused[process])
	})
	return loop
}

// request sends one request of the class lab, which every rig configures, with a deadline of 400 ms,
// and counts its outcome. fake.Open waits for an answer until a second after the deadline. A missing
// answer is not counted if the process is paused by then.
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

// check stops the clients. It reports an error if a request was not answered or fewer than
// minServed were served.
func (l *clientLoop) check(t *testing.T, minServed int64) {
	t.Helper()
	l.stop()
	if l.unanswered.Load() > 0 || l.served.Load() < minServed {
		t.Errorf("%d requests served, want %d or more; %d unanswered, want 0", l.served.Load(), minServed, l.unanswered.Load())
	}
}
