package ownership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"croftlock/internal/fleet/group"
)

// TestTable: whatever commands come, a job's token never falls, an old token changes nothing, and a snapshot is the table.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewTable()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			job := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job")
			before := JobRecord{}
			if r := a.Job(job); r != nil {
				before = *r
			}
			token, number := uint64(rapid.IntRange(0, 6).Draw(t, "token")), uint64(rapid.IntRange(0, 4).Draw(t, "number"))
			left := []byte(fmt.Sprint("left ", number))
			var cmd []byte
			kind := rapid.IntRange(1, 5).Draw(t, "kind")
			switch kind {
			case kindGrant:
				cmd = grantCommand{job: job, token: token, changedAt: 1, owner: "p", incarnation: 3, reason: "why"}.encode()
			case kindRelease:
				cmd = releaseCommand{job: job, token: token, changedAt: 1, checkpointNumber: number, checkpoint: left, reason: "why"}.encode()
			case kindCheckpoint:
				cmd = checkpointCommand{job: job, token: token, checkpointNumber: number, checkpoint: left}.encode()
			case kindRaiseToken:
				cmd = raiseTokenCommand{job: job, token: token}.encode()
			case kindRegister:
				cmd = registerCommand{job: job, changedAt: 1}.encode()
			}
			ok := a.Apply(cmd)[0] == resultApplied
			after := a.Job(job)
			if after == nil {
				continue
			}
			if after.Token < before.Token || after.CheckpointNumber < before.CheckpointNumber {
				t.Fatalf("%+v after %+v", after, before)
			}
			old := token < before.Token || token == before.Token && kind == kindGrant
			if kind != kindRegister && old && (ok || after.Owner != before.Owner || after.CheckpointNumber != before.CheckpointNumber) {
				t.Fatalf("token %d after %d: %+v", token, before.Token, after)
			}
			if kind == kindGrant && ok && (after.Owner != "p" || after.Token != token) {
				t.Fatalf("granted %+v", after)
			}
			b := NewTable()
			if err := b.Restore(a.Snapshot()); err != nil || !slices.EqualFunc(a.Jobs(), b.Jobs(), func(x, y *JobRecord) bool { return fmt.Sprint(*x) == fmt.Sprint(*y) }) || b.Version != a.Version {
				t.Fatalf("%v: a snapshot gives another table", err)
			}
		}
	})
}

func TestFence(t *testing.T) {
	var f Fence
	for i, c := range []struct {
		m    FencingToken
		want Verdict
	}{{FencingToken{5, 1}, Accepted}, {FencingToken{5, 1}, Duplicate}, {FencingToken{5, 3}, Accepted}, {FencingToken{5, 2}, Duplicate}, {FencingToken{4, 9}, Stale}, {FencingToken{6, 0}, Accepted}, {FencingToken{5, 9}, Stale}} {
		if v, last := f.Check("j", c.m); v != c.want || v != Accepted && last.Before(c.m) {
			t.Errorf("%d: %v gives %v, seen %v", i, c.m, v, last)
		}
	}
	f.Raise("j", FencingToken{2, 2})
	if f.Last("j") != (FencingToken{6, 0}) {
		t.Error("an earlier mark took a later one's place")
	}
	for i := range MaxJobs + 5 {
		f.Check(fmt.Sprint("job ", i), FencingToken{1, 1})
	}
	if v, _ := f.Check("one more", FencingToken{1, 1}); v != Stale {
		t.Error("an effect is taken that can't be remembered")
	}
}

func all(string) bool { return true }

func TestAllot(t *testing.T) {
	cands := []Candidate{{Name: "a", Incarnation: 1, Able: true, StableFor: 60 * sec, Offers: all}, {Name: "b", Incarnation: 2, Able: true, StableFor: 60 * sec, Offers: all},
		{Name: "c", Incarnation: 3, Able: true, StableFor: 60 * sec, Offers: all}}
	long := func(string) Time { return 0 }
	now := 100 * sec
	var jobs []string
	for i := range 200 {
		jobs = append(jobs, fmt.Sprint("job", i))
	}
	load := map[string]int{}
	for _, p := range Assign(now, jobs, nil, long, cands) {
		load[p.To]++
	}
	if load["a"]+load["b"]+load["c"] != 200 || load["a"] < 66 || load["b"] < 66 || load["c"] < 66 {
		t.Errorf("200 jobs are spread %v", load)
	}
	for _, c := range []struct {
		name string
		bend func(c []Candidate)
		want string // whoever gets the job that a owns; "": it stays
	}{
		{"all is well", func(c []Candidate) {}, ""},
		{"its owner is not fit", func(c []Candidate) { c[0].Able = false; c[2].UnreachableFrom = 1 }, "b"},
		{"its owner is hard to hear", func(c []Candidate) { c[0].UnreachableFrom, c[1].UnreachableFrom = 2, 1 }, "c"},
		{"the others have just come back", func(c []Candidate) { c[0].Able = false; c[1].StableFor, c[2].StableFor = sec, sec }, ""},
		{"the others are as hard to hear", func(c []Candidate) { c[0].UnreachableFrom, c[1].UnreachableFrom, c[2].UnreachableFrom = 1, 1, 1 }, ""},
		{"nobody else can do it", func(c []Candidate) {
			c[0].Able = false
			c[1].Offers, c[2].Offers = func(string) bool { return false }, func(string) bool { return false }
		}, ""},
	} {
		cs := slices.Clone(cands)
		c.bend(cs)
		got := Assign(now, nil, []JobRecord{{Job: "j", Owner: "a"}}, long, cs)
		switch {
		case c.want == "" && len(got) > 0, c.want != "" && (len(got) != 1 || got[0].To != c.want || !got[0].Handover):
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	owned := []JobRecord{{Job: "x", Owner: "a"}, {Job: "y", Owner: "a"}, {Job: "z", Owner: "b"}}
	if got := Assign(now, nil, owned, long, cands); len(got) != 1 || got[0].To != "c" {
		t.Errorf("two at one and none at another: %+v", got)
	}
	if got := Assign(now, nil, owned, func(string) Time { return now - 2*sec }, cands); len(got) != 0 {
		t.Errorf("a job that has just moved moves again: %+v", got)
	}
}

// nobody is a Core's and a group's way out, to nowhere.
type nobody struct{}

func (nobody) Send(uint32, []byte)                                                    {}
func (nobody) Start(string, uint64, uint64, []byte) error                             { return nil }
func (nobody) Stop(string, uint64, string) (uint64, []byte)                           { return 0, nil }
func (nobody) Effect(string, FencingToken, []byte)                                    {}
func (nobody) EffectAcknowledged(uint32, string, FencingToken, Verdict, FencingToken) {}
func (nobody) CheckpointStored(string, uint64, uint64, bool)                          {}
func (nobody) QueryReceived(uint32, string, uint64, []byte)                           {}
func (nobody) ReplyReceived(uint64, []byte)                                           {}
func (nobody) LogEvent(string, ...any)                                                {}
func (nobody) Applied(machine byte, tag uint64, result []byte)                        {}
func (nobody) Confirmed(tag uint64)                                                   {}

func lonely(t testing.TB) (*Core, *Quorum) {
	t.Helper()
	table := NewTable()
	q, err := NewQuorum(QuorumConfig{Group: "g", Name: "a", Voters: []string{"a", "b", "c"}}, map[byte]group.Machine{Machine: table}, nobody{})
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(Config{Name: "a", Incarnation: 1, Voters: []string{"a", "b", "c"}, Jobs: []string{"j"}}, q, table, &Fence{}, nobody{})
	if err != nil {
		t.Fatal(err)
	}
	return c, q
}

// FuzzMessages: whatever comes from a peer, nothing ends, and what is torn changes no token.
func FuzzMessages(f *testing.F) {
	for k := range byte(15) {
		f.Add([]byte{k, 1, 'a', 1, 'j', 1, 1, 0, 0, 1, 2, 3})
		f.Add([]byte{k, 1, 'g', 1, 1, 1, 1, 1, 1})
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, q := lonely(t)
		now := Time(1)
		for range 3 {
			now += 2 * sec
			c.Tick(now)
			c.Receive(now, group.Peer("b"), data)
			q.Receive(now, group.Peer("b"), data)
			q.Receive(now, group.Peer("b"), append([]byte{kindLeaseProposal, 1, 'g'}, data...))
		}
		if _, ok := c.group.Leading(); ok && c.Holds(now, "j", 1) {
			t.Error("one peer's word makes an owner")
		}
	})
}

func FuzzTable(f *testing.F) {
	a := NewTable()
	a.Apply(registerCommand{job: "j", changedAt: 1}.encode())
	a.Apply(grantCommand{job: "j", token: 3, changedAt: 4, owner: "p", incarnation: 2, reason: "why"}.encode())
	f.Add(a.Snapshot(), checkpointCommand{job: "j", token: 3, checkpointNumber: 1, checkpoint: []byte("left")}.encode())
	f.Add([]byte{1, 0, 0, 200, 1}, []byte{kindGrant, 1, 'j'})
	f.Fuzz(func(t *testing.T, snapshot, cmd []byte) {
		b := NewTable()
		if b.Restore(snapshot) != nil && len(b.Jobs()) > 0 {
			t.Error("a torn snapshot leaves rows")
		}
		b.Apply(cmd)
		c := NewTable()
		if err := c.Restore(b.Snapshot()); err != nil {
			t.Error(err)
		}
	})
}
