package consensus

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// TestOlderFilePutBack: a voter whose file is yesterday's takes no part, whether it was copied in an earlier life or in the last.
func TestOlderFilePutBack(t *testing.T) {
	for _, sameLife := range []bool{false, true} {
		g := newGroup(t, 5, "a", "b", "c")
		g.propose("yesterday")
		g.run(1e9)
		old := g.disks["b"].Copy()
		if !sameLife {
			g.kill("b")
			g.start("b")
			g.run(3e9)
		}
		g.propose("today")
		g.run(1e9)
		g.kill("b")
		g.disks["b"].PutBack(old)
		if err := g.start("b"); err != nil {
			t.Fatal(err)
		}
		g.run(5e9)
		if p, why := g.cores["b"].Phase(); p != Stale || !strings.Contains(why, "put back") {
			t.Errorf("same life %v: phase %v, %q", sameLife, p, why)
		}
		g.propose("goes on without it")
		// Also when all start anew, and nobody remembers what it was told.
		for _, n := range []string{"a", "b", "c"} {
			g.kill(n)
		}
		for _, n := range []string{"a", "b", "c"} {
			g.start(n)
		}
		g.run(5e9)
		if p, _ := g.cores["b"].Phase(); p != Stale {
			t.Errorf("same life %v: phase %v after all started anew", sameLife, p)
		}
	}
}

// TestLostDisk: a voter that lost its disk is not the voter it was; it is added under another identity and gets its vote.
func TestLostDisk(t *testing.T) {
	g := newGroup(t, 6, "a", "b", "c")
	g.propose("one")
	g.kill("b")
	g.disks["b"] = &MemoryStore{}
	if err := g.start("b"); err != nil {
		t.Fatal(err)
	}
	g.run(3e9)
	if p, _ := g.cores["b"].Phase(); p != NotMember {
		t.Fatalf("phase %v", p)
	}
	g.propose("two")
	do := func(what string, f func(c *Core, tag uint64) error) {
		t.Helper()
		for range 20 {
			tag := g.tag()
			err := f(g.leader(), tag)
			g.run(1e9)
			if g.done[tag] {
				return
			}
			t.Log(what, err)
		}
		t.Fatalf("%s: not done", what)
	}
	if err := g.leader().Add(g.now, 1, "x"); err == nil {
		t.Error("a process that never asked is added")
	}
	do("add", func(c *Core, tag uint64) error { return c.Add(g.now, tag, "b") })
	do("promote", func(c *Core, tag uint64) error { return c.Promote(g.now, tag, "b") })
	g.propose("three")
	g.alike()
	s := g.leader().Status()
	votes := 0
	for _, m := range s.Members {
		if m.Votes {
			votes++
		}
	}
	if votes != 3 || !slices.Equal(g.regs["b"].log, g.regs["a"].log) {
		t.Errorf("%d voters; %+v", votes, s)
	}
	// Its vote counts: with another one gone the fleet goes on.
	for _, n := range []string{"a", "c"} {
		if g.leader() != g.cores[n] {
			g.kill(n)
			break
		}
	}
	g.propose("four")
	if err := g.leader().Remove(g.now, g.tag(), "b"); err == nil {
		t.Error("a voter is removed without whom there is no majority")
	}
}

// TestNoSecondBeginning: two of three that lost their disks do not begin another fleet beside the third.
func TestNoSecondBeginning(t *testing.T) {
	g := newGroup(t, 7, "a", "b", "c")
	g.propose("one")
	for _, n := range []string{"a", "b"} {
		g.kill(n)
		g.disks[n] = &MemoryStore{}
		g.start(n)
	}
	g.run(10e9)
	for _, n := range []string{"a", "b"} {
		if p, _ := g.cores[n].Phase(); p != NotMember {
			t.Errorf("%s: %v", n, p)
		}
	}
}

// TestFailedStore: a voter whose store fails says so, stops, and acknowledges nothing; the others go on, and from its disk it comes back.
func TestFailedStore(t *testing.T) {
	g := newGroup(t, 8, "a", "b", "c")
	g.propose("one")
	lead := g.leader()
	name := lead.cfg.Name
	g.disks[name].Fail = errors.New("no space")
	g.propose("two")
	if p, why := lead.Phase(); p != Broken || !strings.Contains(why, "no space") {
		t.Errorf("phase %v, %q", p, why)
	}
	if _, ok := lead.Leading(); ok {
		t.Error("a broken voter leads")
	}
	if err := lead.Propose(g.now, 1, 1, nil); err != ErrNotLeader {
		t.Error(err)
	}
	g.disks[name].Fail = nil
	g.kill(name)
	g.start(name)
	g.propose("three")
	g.alike()
	if p, _ := g.cores[name].Phase(); p != Member {
		t.Errorf("phase %v after its return", p)
	}
}

// TestWrongStore: a file of another process is refused in clear words.
func TestWrongStore(t *testing.T) {
	g := newGroup(t, 11, "a")
	g.run(2e9)
	_, err := Open(Config{Group: "g", Name: "b", InitialVoters: []string{"b"}}, g.disks["a"], nil, side{g, "b"})
	if err == nil || !strings.Contains(err.Error(), "store is of a in group g") {
		t.Error(err)
	}
}
