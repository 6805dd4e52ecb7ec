package consensus

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// TestRestoredOldFile checks that a replica whose file is an older copy takes no part, even after
// all processes have restarted and forgotten what they received from it.
func TestRestoredOldFile(t *testing.T) {
	for _, c := range []struct {
		name               string
		startsAfterTheCopy bool
	}{{"a copy from an earlier start", true}, {"a copy from the last start", false}} {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(t, 5, "a", "b", "c")
			g.propose("before the copy")
			g.run(1e9)
			oldCopy := g.disks["b"].Copy()
			if c.startsAfterTheCopy {
				g.kill("b")
				g.mustStart("b")
				g.run(3e9)
			}
			g.propose("after the copy")
			g.run(1e9)
			g.kill("b")
			g.disks["b"].Restore(oldCopy)
			g.mustStart("b")
			g.run(5e9)
			g.checkPhase("b", Stale)
			if _, reason := g.cores["b"].Phase(); !strings.Contains(reason, "put back") {
				t.Errorf("Phase() returned the reason %q, want it to contain \"put back\"", reason)
			}
			g.propose("without b")
			for _, name := range g.initial {
				g.kill(name)
			}
			for _, name := range g.initial {
				g.mustStart(name)
			}
			g.run(5e9)
			g.checkPhase("b", Stale)
		})
	}
}

// change calls propose with the leader and a new tag until the change that propose proposes is
// applied, at most 20 times. name describes the change in a failure message.
func (g *testGroup) change(name string, propose func(leader *Core, tag uint64) error) {
	g.t.Helper()
	for range 20 {
		tag := g.newTag()
		err := propose(g.leader(), tag)
		if g.run(1e9); g.applied[tag] {
			return
		}
		g.t.Logf("%s not applied after 1 s, proposal returned %v", name, err)
	}
	g.t.Fatalf("%s not applied after 20 proposals", name)
}

// countVotes returns the number of members that vote.
func countVotes(s Status) (votes int) {
	for _, m := range s.Members {
		if m.Votes {
			votes++
		}
	}
	return votes
}

// TestLostDisk checks that a replica that lost its disk is added under another identity and gets
// the vote of the earlier one.
func TestLostDisk(t *testing.T) {
	g := newGroup(t, 6, "a", "b", "c")
	g.propose("one")
	g.kill("b")
	g.disks["b"] = &MemoryStore{}
	g.mustStart("b")
	g.run(3e9)
	g.checkPhase("b", NotMember)
	if event := "b replica_not_member [reason group_exists]"; !slices.Contains(g.events, event) {
		t.Errorf("logged events %q, want %q among them", g.events, event)
	}
	g.propose("two")
	if err := g.leader().Add(g.now, 1, "x"); err == nil {
		t.Error("Add accepted a process that has not asked to be added, want an error")
	}
	g.change("add", func(leader *Core, tag uint64) error { return leader.Add(g.now, tag, "b") })
	g.change("promote", func(leader *Core, tag uint64) error { return leader.Promote(g.now, tag, "b") })
	g.propose("three")
	g.checkEqual()
	if s := g.leader().Status(); countVotes(s) != 3 || !slices.Equal(g.machines["b"].log, g.machines["a"].log) {
		t.Errorf("%d voters, want 3; b applied %q, a applied %q, want the same; status %+v", countVotes(s), g.machines["b"].log, g.machines["a"].log, s)
	}
	// Without a or c the group has a majority only if the vote of b counts.
	for _, name := range []string{"a", "c"} {
		if g.leader() != g.cores[name] {
			g.kill(name)
			break
		}
	}
	g.propose("four")
	if err := g.leader().Remove(g.now, g.newTag(), "b"); err == nil {
		t.Error("Remove accepted a voter without which there is no majority, want an error")
	}
}

// TestNoSecondBootstrap checks that two of three voters that lost their disks do not bootstrap a
// second group without the third.
func TestNoSecondBootstrap(t *testing.T) {
	g := newGroup(t, 7, "a", "b", "c")
	g.propose("one")
	for _, name := range []string{"a", "b"} {
		g.kill(name)
		g.disks[name] = &MemoryStore{}
		g.mustStart(name)
	}
	g.run(10e9)
	g.checkPhase("a", NotMember)
	g.checkPhase("b", NotMember)
}

// TestFailedStore checks that a replica whose store fails reports that, stops and accepts no
// proposal, that the others continue, and that the replica recovers from its disk after a restart.
func TestFailedStore(t *testing.T) {
	g := newGroup(t, 8, "a", "b", "c")
	g.propose("one")
	failed := g.leader()
	name := failed.cfg.Name
	g.disks[name].InjectedErr = errors.New("no space")
	g.propose("two")
	g.checkPhase(name, Broken)
	if _, reason := failed.Phase(); !strings.Contains(reason, "no space") {
		t.Errorf("Phase() returned the reason %q, want it to contain the store's error \"no space\"", reason)
	}
	if _, ok := failed.Leading(); ok {
		t.Error("Leading() = true at a broken replica, want false")
	}
	if err := failed.Propose(g.now, 1, 1, nil); err != ErrNotLeader {
		t.Errorf("Propose at a broken replica returned %v, want %v", err, ErrNotLeader)
	}
	g.disks[name].InjectedErr = nil
	g.kill(name)
	g.mustStart(name)
	g.propose("three")
	g.checkEqual()
	g.checkPhase(name, Member)
}

// TestStoreOfAnotherProcess checks that Open rejects the store of another process with an error
// that names that process.
func TestStoreOfAnotherProcess(t *testing.T) {
	g := newGroup(t, 11, "a")
	g.run(2e9)
	_, err := Open(Config{Group: "g", Name: "b", InitialVoters: []string{"b"}}, g.disks["a"], nil, testEffects{g, "b"})
	if err == nil || !strings.Contains(err.Error(), "store is of a in group g") {
		t.Errorf("Open with the store of a returned %v, want an error that contains \"store is of a in group g\"", err)
	}
}
