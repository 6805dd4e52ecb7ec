package consensus

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// TestRestoredOldFile: a replica whose file is an older copy takes no part, whether the copy is from an earlier start or from the last one.
func TestRestoredOldFile(t *testing.T) {
	for _, sameStart := range []bool{false, true} {
		g := newGroup(t, 5, "a", "b", "c")
		g.propose("yesterday")
		g.run(1e9)
		old := g.disks["b"].Copy()
		if !sameStart {
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
			t.Errorf("same start %v: phase %v, %q", sameStart, p, why)
		}
		g.propose("without it")
		// Also after all have started anew, and no process remembers what it received.
		for _, n := range []string{"a", "b", "c"} {
			g.kill(n)
		}
		for _, n := range []string{"a", "b", "c"} {
			g.start(n)
		}
		g.run(5e9)
		if p, _ := g.cores["b"].Phase(); p != Stale {
			t.Errorf("same start %v: phase %v after all started anew", sameStart, p)
		}
	}
}

// TestLostDisk: a replica that lost its disk is added under another identity, and gets its vote.
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
	if event := "b replica_not_member [reason group_exists]"; !slices.Contains(g.events, event) {
		t.Errorf("no event %q among %q", event, g.events)
	}
	g.propose("two")
	do := func(what string, f func(c *Core, tag uint64) error) {
		t.Helper()
		for range 20 {
			tag := g.tag()
			err := f(g.leader(), tag)
			g.run(1e9)
			if g.applied[tag] {
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
	g.checkEqual()
	s := g.leader().Status()
	votes := 0
	for _, m := range s.Members {
		if m.Votes {
			votes++
		}
	}
	if votes != 3 || !slices.Equal(g.machines["b"].log, g.machines["a"].log) {
		t.Errorf("%d voters; %+v", votes, s)
	}
	// Its vote counts: with another one gone the group still has a majority.
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

// TestNoSecondBootstrap: two of three that lost their disks do not bootstrap another group beside the third.
func TestNoSecondBootstrap(t *testing.T) {
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

// TestFailedStore: a replica whose store fails reports it, stops, and acknowledges nothing; the others go on, and it recovers from its disk.
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
	g.checkEqual()
	if p, _ := g.cores[name].Phase(); p != Member {
		t.Errorf("phase %v after its return", p)
	}
}

// TestStoreOfAnotherProcess: the store of another process is rejected with an error that names both.
func TestStoreOfAnotherProcess(t *testing.T) {
	g := newGroup(t, 11, "a")
	g.run(2e9)
	_, err := Open(Config{Group: "g", Name: "b", InitialVoters: []string{"b"}}, g.disks["a"], nil, testEffects{g, "b"})
	if err == nil || !strings.Contains(err.Error(), "store is of a in group g") {
		t.Error(err)
	}
}
