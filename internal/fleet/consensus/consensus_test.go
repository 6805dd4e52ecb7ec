package consensus

import (
	"fmt"
	"slices"
	"testing"
)

// TestAgreementThroughLossAndRestarts checks that under message loss and restarts all members apply
// the same commands, each at least once and in order.
func TestAgreementThroughLossAndRestarts(t *testing.T) {
	for seed := range uint64(20) {
		g := newGroup(t, seed, "a", "b", "c")
		g.loss = 0.2
		for i := range 60 {
			if i%7 == 3 {
				name := g.names[g.rng.IntN(3)]
				g.kill(name)
				g.run(g.rng.Int64N(2e9))
				g.mustStart(name)
			}
			g.propose(fmt.Sprint("command ", i))
		}
		g.loss = 0
		g.checkEqual()
		previous := -1
		for i := range 60 {
			at := slices.Index(g.machines["a"].log, fmt.Sprint("command ", i))
			if at <= previous {
				t.Fatalf("seed %d: command %d is at position %d of the applied commands, want it after the command before it at %d", seed, i, at, previous)
			}
			previous = at
		}
	}
}

// TestLeadershipTransfer checks that a leader that transfers leadership stops leading at once, and
// that another one leads within 500 ms.
func TestLeadershipTransfer(t *testing.T) {
	g := newGroup(t, 9, "a", "b", "c")
	g.propose("one")
	old := g.leader()
	old.TransferLeadership(g.now)
	if _, ok := old.Leading(); ok {
		t.Error("Leading() = true at the old leader after TransferLeadership, want false")
	}
	began := g.now
	next := g.leader()
	if next == old || g.now-began > 5e8 {
		t.Errorf("same leader as before: %t, want false; elected after %d ms, want at most 500", next == old, (g.now-began)/1e6)
	}
}

// TestDeposedLeaderConfirmsNothing checks that a leader that is cut off, and may still believe that
// it leads, gets no confirmation and commits nothing.
func TestDeposedLeaderConfirmsNothing(t *testing.T) {
	g := newGroup(t, 10, "a", "b", "c")
	g.propose("one")
	old := g.leader()
	g.isCut = func(from, to string) bool { return from == old.cfg.Name || to == old.cfg.Name }
	confirm, command := g.newTag(), g.newTag()
	old.Confirm(g.now, confirm)
	old.Propose(g.now, 1, command, []byte("lost"))
	g.run(5e9)
	if g.confirmed[confirm] || g.applied[command] {
		t.Errorf("without a majority: confirmed = %t, command applied = %t, want false for both", g.confirmed[confirm], g.applied[command])
	}
	if _, ok := old.Leading(); ok {
		t.Error("Leading() = true after 5 s without a majority, want false")
	}
}

// FuzzReceive checks that no message of a peer makes Receive panic.
func FuzzReceive(f *testing.F) {
	g := newGroup(f, 12, "a", "b", "c")
	g.isCut = func(from, to string) bool { return to != "a" }
	var seeds [][]byte
	for range 30 {
		g.run(1e8)
		for _, m := range g.queue {
			if m.receiver == PeerID("a") && len(seeds) < 40 {
				seeds = append(seeds, m.data)
			}
		}
	}
	for _, s := range seeds {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := newGroup(t, 13, "a", "b", "c")
		g.run(2e9)
		a := g.cores["a"]
		a.Receive(g.now, PeerID("b"), data)
		a.Receive(g.now, PeerID("b"), append([]byte{kindRaft, 1, 'g'}, data...))
		g.run(5e8)
	})
}
