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

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/consensus/disk"
	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/operations/settings"
)

func TestSection(t *testing.T) {
	schema := settings.Schema{memberagent.Section(), Section()}
	path := filepath.Join(t.TempDir(), "f.sexp")
	for text, want := range map[string]string{
		`(owners (on on))`:                                       "no voters",
		`(owners (on on) (voters "a a"))`:                        "names",
		`(owners (on on) (voters "a b c d e f g h"))`:            "names",
		`(owners (on on) (voters "a") (most_kb 12))`:             "most_kb",
		`(owners (on on) (voters "a") (pace -1))`:                "pace",
		`(owners (on on) (voters "a") (something 1))`:            "something",
		`(owners (on on) (voters "a b c") (hosts on) (drill 3))`: "",
	} {
		os.WriteFile(path, []byte(text), 0o600)
		_, err := schema.Load(path)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
	on := memberagent.Options{Enabled: true}
	for _, c := range []struct {
		o    Options
		m    memberagent.Options
		want string
	}{{Options{Enabled: true}, memberagent.Options{}, "need membership"}, {Options{Enabled: true, Dir: "/nowhere/at/all"}, on, "dir"}, {Options{Enabled: true, Dir: path}, on, "no folder"},
		{Options{Enabled: true, Dir: filepath.Dir(path)}, on, ""}, {Options{}, memberagent.Options{}, ""}} {
		if err := c.o.Check(c.m); (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v, want %q", c.o, err, c.want)
		}
	}
}

// voter is package voter's, which can't be used here: it is built on this one.
type voter struct{ *consensus.Core }

func (v voter) Stopped() *group.StoreError {
	if err := v.Failure(); err != nil {
		return &group.StoreError{Err: err}
	}
	return nil
}

func openVoter(o VoterOptions) (Voter, *group.StoreError) {
	st, err := disk.Open(filepath.Join(o.Dir, "voter.db"), o.MaxBytes)
	if err != nil {
		return nil, &group.StoreError{Err: err}
	}
	c, err := consensus.Open(consensus.Config{Group: o.Group, Name: o.Name, InitialVoters: o.Voters, Seed: o.Seed}, st, o.Machines, o.Effects)
	if err != nil {
		return nil, &group.StoreError{Err: err}
	}
	return voter{c}, nil
}

func TestMain(m *testing.M) {
	OpenVoter = openVoter
	os.Exit(m.Run())
}

// TestProgramWithoutVoters: where a program keeps no votes on a disk, a file that wants it is refused in clear words.
func TestProgramWithoutVoters(t *testing.T) {
	OpenVoter = nil
	defer func() { OpenVoter = openVoter }()
	if err := (Options{Enabled: true, Dir: t.TempDir()}).Check(memberagent.Options{Enabled: true}); err == nil || !strings.Contains(err.Error(), "croftlock-voter") {
		t.Error(err)
	}
}

// startAlone starts one process, its own only voter.
func startAlone(t *testing.T, o Options) (*Agent, *netio.Loop) {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := c.LocalAddr().String()
	c.Close()
	l := netio.NewLoop()
	go l.Run()
	t.Cleanup(l.Stop)
	type started struct {
		agent *Agent
		err   error
	}
	got := make(chan started, 1)
	l.Post(func() {
		m, err := memberagent.Start(l, memberagent.Options{Enabled: true, Fleet: "f", Listen: addr, Peers: []string{addr}}, "a", time.Now(), memberagent.Platform{})
		if err != nil {
			got <- started{nil, err}
			return
		}
		o.Enabled, o.Group, o.Voters, o.MaxStoreKB = true, "g", []string{"a"}, 8192
		s, err := Start(l, o, "a", m, func([]string) {})
		got <- started{s, err}
	})
	x := <-got
	if x.err != nil {
		t.Fatal(x.err)
	}
	t.Cleanup(func() {
		done := make(chan struct{})
		l.Post(func() { x.agent.Stop(); close(done) })
		<-done
	})
	return x.agent, l
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// panickingJob is a job that panics: at each start, or at its second step.
type panickingJob struct {
	jobs.Drill
	atStart bool
	starts  atomic.Int64
	steps   int
}

func (b *panickingJob) Start(now jobs.Time, o jobs.Owner, token, number uint64, left []byte) error {
	b.starts.Add(1)
	b.steps = 0
	if b.atStart {
		panic("it can't begin")
	}
	return nil
}

func (b *panickingJob) Step(jobs.Time) {
	if b.steps++; b.steps == 2 {
		panic("it breaks")
	}
}

// TestJobsThatPanic: they are begun again after longer and longer times, and two hundred others are not touched.
func TestJobsThatPanic(t *testing.T) {
	first, second := &panickingJob{atStart: true}, &panickingJob{}
	testJobs = map[string]jobs.Job{"breaks-at-start": first, "breaks-later": second}
	defer func() { testJobs = nil }()
	began := time.Now()
	s, _ := startAlone(t, Options{Drills: 200, Dir: t.TempDir()})
	report := func() (r Reply) {
		s.onWorker(func() { s.report(&r) })
		return r
	}
	eventually(t, "200 jobs have no owner", func() bool {
		n := 0
		for job := range report().Owned {
			if strings.HasPrefix(job, "drill") {
				n++
			}
		}
		return n == 200
	})
	eventually(t, "what panics is not begun again", func() bool { return first.starts.Load() >= 3 && second.starts.Load() >= 3 })
	time.Sleep(500 * time.Millisecond)
	// A second at least lies between two beginnings, also where a starved process coordinates anew and has forgotten how often they failed;
	// without it the job would begin at every step, tens of times a second.
	took := time.Since(began)
	for _, b := range []*panickingJob{first, second} {
		if n, most := b.starts.Load(), 3+int64(2*took.Seconds()); n > most {
			t.Errorf("%d beginnings in %v: no time is left between them", n, took)
		}
	}
	r := report()
	if len(r.Owned) < 200 || r.Counts.Panics < 4 {
		t.Errorf("%d jobs owned, %d panics", len(r.Owned), r.Counts.Panics)
	}
	for _, j := range r.Jobs {
		if j.Job == "breaks-at-start" && !strings.Contains(j.Reason, "it can't begin") && j.Owner == "" {
			t.Errorf("the table does not say why: %q", j.Reason)
		}
	}
}

// TestAdminSocket: bad requests get a clear word, and the socket is its owner's alone.
func TestAdminSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, _ := startAlone(t, Options{SuspendHosts: true, Socket: path})
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Error(info, err)
	}
	if _, err := listenAdmin(path, s.serveRequest); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Error("a socket in use:", err)
	}
	for _, c := range []struct{ q, want string }{{`{"do":"dance"}`, "no request"}, {`nonsense`, "JSON"}, {`{"do":"add","a":"x"}`, "no voter with a disk"}, {`{"do":"move","a":"hosts","b":"x"}`, ""}} {
		conn, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(conn, c.q)
		var r Reply
		err = json.NewDecoder(conn).Decode(&r)
		conn.Close()
		if err != nil || !strings.Contains(r.Error, c.want) || r.Error == "" {
			t.Errorf("%s: %+v %v", c.q, r, err)
		}
	}
	eventually(t, "a host is not taken out", func() bool {
		r, err := SendRequest(path, Request{Command: "suspend", Argument: "s1"})
		return err == nil && r.Answer == "done at all 1"
	})
	eventually(t, "the list does not tell", func() bool {
		r, err := SendRequest(path, Request{Command: "list"})
		return err == nil && r.Answer == "out for the fleet: s1"
	})
}

// TestStoreOfAnother: a store that can't be used is said to be so; the process goes on, and owns nothing.
func TestStoreOfAnother(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "voter.db"), []byte(strings.Repeat("no store ", 4000)), 0o600); err != nil {
		t.Fatal(err)
	}
	s, _ := startAlone(t, Options{Drills: 1, Dir: dir})
	eventually(t, "it does not say what is wrong", func() bool {
		var r Reply
		s.onWorker(func() { s.report(&r) })
		return strings.Contains(r.Store, "unreadable") && len(r.Owned) == 0
	})
}
