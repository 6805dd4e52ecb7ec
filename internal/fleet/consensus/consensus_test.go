package consensus

import (
	"fmt"
	"slices"
	"testing"
)

func TestAgreementThroughLossAndRestarts(t *testing.T) {
	for seed := range uint64(20) {
		g := newGroup(t, seed, "a", "b", "c")
		g.loss = 0.2
		for i := range 60 {
			if i%7 == 3 {
				n := g.names[g.rng.IntN(3)]
				g.kill(n)
				g.run(g.rng.Int64N(2e9))
				if err := g.start(n); err != nil {
					t.Fatal(err)
				}
			}
			g.propose(fmt.Sprint("command ", i))
		}
		g.loss = 0
		g.checkEqual()
		last := -1
		for i := range 60 { // each at least once, in order
			next := slices.Index(g.machines["a"].log, fmt.Sprint("command ", i))
			if next <= last {
				t.Fatalf("seed %d: command %d at %d after %d", seed, i, next, last)
			}
			last = next
		}
	}
}

func TestLeadershipTransfer(t *testing.T) {
	g := newGroup(t, 9, "a", "b", "c")
	g.propose("one")
	old := g.leader()
	old.TransferLeadership(g.now)
	if _, ok := old.Leading(); ok {
		t.Error("leads after it yielded")
	}
	began := g.now
	next := g.leader()
	if next == old || g.now-began > 5e8 {
		t.Errorf("the next leader after %d ms", (g.now-began)/1e6)
	}
}

// TestDeposedLeaderConfirmsNothing: a leader that is cut off may still believe that it leads, but nobody confirms it.
func TestDeposedLeaderConfirmsNothing(t *testing.T) {
	g := newGroup(t, 10, "a", "b", "c")
	g.propose("one")
	old := g.leader()
	g.isCut = func(from, to string) bool { return from == old.cfg.Name || to == old.cfg.Name }
	tag, cmd := g.tag(), g.tag()
	old.Confirm(g.now, tag)
	old.Propose(g.now, 1, cmd, []byte("lost"))
	g.run(5e9)
	if g.confirmed[tag] || g.applied[cmd] {
		t.Error("a leader without a majority was confirmed")
	}
	if _, ok := old.Leading(); ok {
		t.Error("leads after 5 s without a majority")
	}
}

// FuzzReceive: no message of a peer ends a replica.
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
