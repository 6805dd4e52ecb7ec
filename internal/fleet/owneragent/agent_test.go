package owneragent

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/memberagent"
)

// panickingJob is a job that panics at each start if atStart is set, otherwise at its second step.
type panickingJob struct {
	jobs.Drill
	atStart bool
	starts  atomic.Int64
	steps   int
}

func (j *panickingJob) Start(jobs.Time, jobs.Owner, uint64, uint64, []byte) error {
	j.starts.Add(1)
	j.steps = 0
	if j.atStart {
		panic("panic at start")
	}
	return nil
}

func (j *panickingJob) Step(jobs.Time) {
	if j.steps++; j.steps == 2 {
		panic("panic at the second step")
	}
}

// countDrills returns the number of drills among the owned jobs.
func countDrills(owned map[string]uint64) (n int) {
	for job := range owned {
		if strings.HasPrefix(job, "drill") {
			n++
		}
	}
	return n
}

// TestJobsThatPanic checks that jobs that panic are started again with a backoff, and that 200 other
// jobs are not affected.
func TestJobsThatPanic(t *testing.T) {
	const drills = 200
	atStart, later := &panickingJob{atStart: true}, &panickingJob{}
	testJobs = map[string]jobs.Job{"panics-at-start": atStart, "panics-later": later}
	defer func() { testJobs = nil }()
	began := time.Now()
	a := startAlone(t, Options{Drills: drills, Dir: t.TempDir()})
	eventually(t, "not all drills are owned", func() bool { return countDrills(readReport(t, a).Owned) == drills })
	eventually(t, "a job that panics was not started 3 times", func() bool { return atStart.starts.Load() >= 3 && later.starts.Load() >= 3 })
	time.Sleep(500 * time.Millisecond)
	// The backoff is at least one second, even if a process that was starved of CPU becomes the
	// coordinator again and does not know the earlier failures. Without a backoff the jobs would
	// start at every step, tens of times per second.
	took := time.Since(began)
	for name, job := range map[string]*panickingJob{"panics-at-start": atStart, "panics-later": later} {
		if starts, most := job.starts.Load(), 3+int64(2*took.Seconds()); starts > most {
			t.Errorf("%s: %d starts in %v, want at most %d", name, starts, took, most)
		}
	}
	r := readReport(t, a)
	if len(r.Owned) < drills || r.Counts == nil || r.Counts.JobPanics < 4 {
		t.Errorf("%d jobs owned, want %d or more; counts %+v, want 4 panics or more", len(r.Owned), drills, r.Counts)
	}
	for _, row := range r.Jobs {
		if row.Job == "panics-at-start" && row.Owner == "" && !strings.Contains(row.Reason, "panic at start") {
			t.Errorf("the table's reason for panics-at-start is %q, want it to contain %q", row.Reason, "panic at start")
		}
	}
}

// querySocket sends a line to the admin socket at path and returns the decoded reply.
func querySocket(t *testing.T, path, line string) (r Reply) {
	t.Helper()
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintln(conn, line)
	if err := json.NewDecoder(conn).Decode(&r); err != nil {
		t.Fatalf("reply to %s: %v", line, err)
	}
	return r
}

// TestAdminSocket checks that only the user of the process may use the socket, that the error of an
// invalid request names its fault, and that requests are served.
func TestAdminSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	a := startAlone(t, Options{SuspendHosts: true, Socket: path})
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("Stat(%q) = %v, %v; want mode 0600", path, info, err)
	}
	listened := make(chan error, 1)
	a.loop.Post(func() {
		listened <- listenAdmin(a.loop, path, a.serveRequest, func() bool { return true }, func(*adminSocket) { t.Error("listenAdmin takes a socket that is in use") })
	})
	if err := <-listened; err != nil {
		t.Errorf("listenAdmin at a socket in use: error %v, want that it waits", err)
	}
	if _, err := memberagent.ListenUnix(path); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("ListenUnix at a socket in use: error %v, want it to contain %q", err, "in use")
	}
	for _, c := range []struct{ request, want string }{
		{`{"do":"dance"}`, "no request"},
		{`nonsense`, "JSON"},
		{`{"do":"add","a":"x"}`, "no voter with a disk"},
		{`{"do":"move","a":"hosts","b":"x"}`, ""},
	} {
		if r := querySocket(t, path, c.request); r.Error == "" || !strings.Contains(r.Error, c.want) {
			t.Errorf("request %s: reply %+v, want an error that contains %q", c.request, r, c.want)
		}
	}
	eventually(t, "no answer done at all 1 to suspend s1", func() bool {
		r, err := SendRequest(path, Request{Command: "suspend", Argument: "s1"})
		return err == nil && r.Answer == "done at all 1"
	})
	eventually(t, "the list of suspended hosts is not s1", func() bool {
		r, err := SendRequest(path, Request{Command: "list"})
		return err == nil && r.Answer == "out for the fleet: s1"
	})
}

// TestUnreadableStore checks that a process whose store can't be read reports that, continues to
// run, and owns no jobs.
func TestUnreadableStore(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "voter.db"), []byte(strings.Repeat("no store ", 4000)), 0o600); err != nil {
		t.Fatal(err)
	}
	a := startAlone(t, Options{Drills: 1, Dir: dir})
	eventually(t, "the store is not reported as unreadable, or a job is owned", func() bool {
		r := readReport(t, a)
		return strings.Contains(r.Store, "unreadable") && len(r.Owned) == 0
	})
}

// TestSocketInUse guards against an agent that does not start, and so leaves its process without leases,
// because the old process of a hot restart still serves operators at the socket. The agent starts, and
// serves there once the other process has stopped.
func TestSocketInUse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "owners.sock")
	other, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	agent := startAlone(t, Options{Socket: path, Rules: RulesOptions{Enabled: true, LeaseDuration: time.Second, OnLeaseLapse: "refuse"}})
	eventually(t, "the agent gets no lease while the socket is in use", agent.enforcement.rules.CanAct)
	other.Close()
	eventually(t, "the agent does not serve at the socket after the other process has stopped", func() bool {
		reply, err := SendRequest(path, Request{Command: "owners"})
		return err == nil && reply.Error == ""
	})
}
