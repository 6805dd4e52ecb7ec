package jobs

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"croftlock/internal/fleet/ownership"
)

func TestHostsAnswers(t *testing.T) {
	g := newFakeGroup(3)
	g.ask(1, SuspendCommand(true, "s1"))
	if g.answers[1] != "done at all 3" || !slices.Equal(g.applied[3], []string{"s1"}) {
		t.Errorf("%q, %v", g.answers[1], g.applied)
	}
	g.deaf[2] = true
	g.ask(2, SuspendCommand(true, "s2"))
	if a, answered := g.answers[2]; answered {
		t.Errorf("%q before n1 has had its time", a)
	}
	g.wait(3 * sec)
	if want := "done at 2 of 3; it holds, and follows at: n1"; g.answers[2] != want {
		t.Errorf("%q, want %q", g.answers[2], want)
	}
	g.deaf[2] = false
	g.wait(sec)
	if !slices.Equal(g.applied[2], []string{"s1", "s2"}) {
		t.Errorf("n1 does not catch up: %v", g.applied[2])
	}
	// A new incarnation has none of it, and is sent the list.
	g.members[0].Incarnation, g.applied[1], g.fences[1] = 2, nil, &ownership.Fence{}
	g.wait(sec)
	if !slices.Equal(g.applied[1], []string{"s1", "s2"}) {
		t.Errorf("one that started anew has %v", g.applied[1])
	}
	g.silent = true
	g.ask(3, SuspendCommand(false, "s1"))
	g.wait(3 * sec)
	if !strings.HasPrefix(g.answers[3], "unknown") || slices.Equal(g.applied[1], []string{"s2"}) {
		t.Errorf("without the group: %q, and carried out %v", g.answers[3], g.applied[1])
	}
	for tag, body := range map[uint64][]byte{4: SuspendCommand(true, ""), 5: {9, 9}, 6: nil, 7: SuspendCommand(true, strings.Repeat("x", maxHostIDBytes+1))} {
		if g.ask(tag, body); !strings.HasPrefix(g.answers[tag], "refused") {
			t.Errorf("%x: %q", body, g.answers[tag])
		}
	}
	g.silent = false
	for i := range MaxHosts + 5 {
		g.ask(uint64(100+i), SuspendCommand(true, fmt.Sprintf("more%03d", i)))
	}
	if a := g.answers[uint64(100+MaxHosts+4)]; !strings.HasPrefix(a, "refused") {
		t.Errorf("beyond the bound: %q", a)
	}
}

// TestEndedLeaseAnswersAll: an owner whose lease has ended does not let operators wait.
func TestEndedLeaseAnswersAll(t *testing.T) {
	g := newFakeGroup(2)
	g.deaf[2] = true
	g.ask(1, SuspendCommand(true, "s1"))
	g.leaseEnded = true
	g.ask(2, ListCommand())
	if !strings.HasPrefix(g.answers[1], "done at 1 of 2") || !strings.HasPrefix(g.answers[2], "unknown") {
		t.Errorf("%q, %q", g.answers[1], g.answers[2])
	}
}

// TestLateSuspendUndoesNothing: what an earlier owner sends late does not suspend a host that a later one resumed.
func TestLateSuspendUndoesNothing(t *testing.T) {
	g := newFakeGroup(3)
	g.ask(1, SuspendCommand(true, "s1"))
	old, oldToken, list := g.job, g.token, g.job.hosts.encode()
	if err := g.newOwner(); err != nil {
		t.Fatal(err)
	}
	g.ask(2, SuspendCommand(false, "s1"))
	for peer := range g.fences {
		g.send(old, oldToken, peer, 99, list)
	}
	if len(g.applied[1])+len(g.applied[2])+len(g.applied[3]) > 0 || g.answers[2] != "done at all 3" {
		t.Errorf("%v, %q", g.applied, g.answers[2])
	}
}

func TestTornListIsRefused(t *testing.T) {
	h := &SuspendedHosts{}
	if err := h.Start(0, newFakeGroup(1), 1, 1, []byte{2, 1, 'b', 1, 'a'}); err == nil {
		t.Error("a list out of order is taken over")
	}
}

func FuzzAsked(f *testing.F) {
	f.Add(SuspendCommand(true, "s1"), []byte{1, 1, 'a'})
	f.Add(ListCommand(), []byte{})
	f.Fuzz(func(t *testing.T, command, list []byte) {
		g := newFakeGroup(2)
		g.job.QueryReceived(1, 9, 1, command)
		g.wait(3 * sec)
		if _, answered := g.answers[1]; !answered {
			t.Error("a command without an answer")
		}
		h := &SuspendedHosts{Apply: func(hosts []string) {
			if len(hosts) > MaxHosts {
				t.Errorf("%d hosts are carried out", len(hosts))
			}
		}}
		h.ApplyEffect(1, ownership.FencingToken{}, list)
		m := &MigrationPermits{Rate: 1, FleetSize: 1}
		m.Start(1, g, 1, 1, nil)
		m.QueryReceived(3*sec, 1, 1, command)
	})
}
