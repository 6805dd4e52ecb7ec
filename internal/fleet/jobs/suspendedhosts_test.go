package jobs

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"croftlock/internal/fleet/ownership"
)

// TestAnswerWaitsForReceivers: the answer to a command says which members have the list, and a member that was cut off gets it later.
func TestAnswerWaitsForReceivers(t *testing.T) {
	g := newFakeGroup(3)
	g.command(1, SuspendCommand(true, "s1"))
	if g.answers[1] != "done at all 3" || !slices.Equal(g.applied[3], []string{"s1"}) {
		t.Errorf("%q, applied %v", g.answers[1], g.applied)
	}
	g.cutOff[2] = true
	g.command(2, SuspendCommand(true, "s2"))
	if answer, answered := g.answers[2]; answered {
		t.Errorf("answered %q before the timeout for n1", answer)
	}
	g.wait(3 * sec)
	if want := "done at 2 of 3; it holds, and follows at: n1"; g.answers[2] != want {
		t.Errorf("%q, want %q", g.answers[2], want)
	}
	g.cutOff[2] = false
	g.wait(sec)
	if !slices.Equal(g.applied[2], []string{"s1", "s2"}) {
		t.Errorf("n1 has %v after its link is back, want s1 and s2", g.applied[2])
	}
}

// TestRestartedMemberGetsTheList: a new incarnation of a member has no list, and is sent it.
func TestRestartedMemberGetsTheList(t *testing.T) {
	g := newFakeGroup(3)
	g.command(1, SuspendCommand(true, "s1"))
	g.command(2, SuspendCommand(true, "s2"))
	g.members[0].Incarnation, g.applied[1], g.fences[1] = 2, nil, &ownership.Fence{}
	g.wait(sec)
	if !slices.Equal(g.applied[1], []string{"s1", "s2"}) {
		t.Errorf("the restarted member has %v, want s1 and s2", g.applied[1])
	}
}

// TestListIsStoredFirst: a list that the group has not stored is applied nowhere, and the answer says that the result is unknown.
func TestListIsStoredFirst(t *testing.T) {
	g := newFakeGroup(3)
	g.command(1, SuspendCommand(true, "s1"))
	g.unresponsive = true
	g.command(2, SuspendCommand(false, "s1"))
	g.wait(3 * sec)
	if !strings.HasPrefix(g.answers[2], "unknown") {
		t.Errorf("answered %q", g.answers[2])
	}
	for peer, hosts := range g.applied {
		if !slices.Equal(hosts, []string{"s1"}) {
			t.Errorf("receiver %d applied %v, which is not stored", peer, hosts)
		}
	}
}

func TestInvalidCommandsAreRefused(t *testing.T) {
	g := newFakeGroup(1)
	for i, c := range []struct {
		name string
		body []byte
	}{
		{"no host", SuspendCommand(true, "")},
		{"unknown kind", []byte{9, 9}},
		{"empty", nil},
		{"host too long", SuspendCommand(true, strings.Repeat("x", maxHostIDBytes+1))},
	} {
		tag := uint64(i + 1)
		if g.command(tag, c.body); !strings.HasPrefix(g.answers[tag], "refused") {
			t.Errorf("%s: answered %q", c.name, g.answers[tag])
		}
	}
}

// TestHostsBound: MaxHosts hosts can be suspended, and no more.
func TestHostsBound(t *testing.T) {
	g := newFakeGroup(1)
	for i := range MaxSuspendedHosts + 1 {
		tag := uint64(i + 1)
		g.command(tag, SuspendCommand(true, fmt.Sprintf("host%03d", i)))
		if rejected := strings.HasPrefix(g.answers[tag], "refused"); rejected != (i == MaxSuspendedHosts) {
			t.Errorf("host %d: answered %q", i, g.answers[tag])
		}
	}
}

// TestEndedLeaseAnswersAll: an owner whose lease has ended answers all commands at once.
func TestEndedLeaseAnswersAll(t *testing.T) {
	g := newFakeGroup(2)
	g.cutOff[2] = true
	g.command(1, SuspendCommand(true, "s1"))
	g.leaseEnded = true
	g.command(2, ListCommand())
	if !strings.HasPrefix(g.answers[1], "done at 1 of 2") || !strings.HasPrefix(g.answers[2], "unknown") {
		t.Errorf("%q, %q", g.answers[1], g.answers[2])
	}
}

// TestLateSuspendUndoesNothing: an effect that an earlier owner sends late does not suspend a host that a later owner resumed.
func TestLateSuspendUndoesNothing(t *testing.T) {
	g := newFakeGroup(3)
	g.command(1, SuspendCommand(true, "s1"))
	staleJob, staleToken, staleList := g.job, g.token, g.job.hosts.encode()
	if err := g.newOwner(); err != nil {
		t.Fatal(err)
	}
	g.command(2, SuspendCommand(false, "s1"))
	for peer := range g.fences {
		g.send(staleJob, staleToken, peer, 99, staleList)
	}
	if len(g.applied[1])+len(g.applied[2])+len(g.applied[3]) > 0 || g.answers[2] != "done at all 3" {
		t.Errorf("applied %v, answered %q; want empty lists at all 3", g.applied, g.answers[2])
	}
}

// TestUnsortedListIsRejected: an owner does not start from a checkpoint that is no valid list.
func TestUnsortedListIsRejected(t *testing.T) {
	h := &SuspendedHosts{}
	if err := h.Start(0, newFakeGroup(1), 1, 1, []byte{2, 1, 'b', 1, 'a'}); err == nil {
		t.Error("started from an unsorted list")
	}
}

// FuzzQueryReceived: each command gets an answer, and no list beyond the bound is applied.
func FuzzQueryReceived(f *testing.F) {
	f.Add(SuspendCommand(true, "s1"), []byte{1, 1, 'a'})
	f.Add(ListCommand(), []byte{})
	f.Fuzz(func(t *testing.T, command, list []byte) {
		g := newFakeGroup(2)
		g.job.QueryReceived(1, 9, 1, command)
		g.wait(3 * sec)
		if _, answered := g.answers[1]; !answered {
			t.Error("the command is not answered")
		}
		h := &SuspendedHosts{Apply: func(hosts []string) {
			if len(hosts) > MaxSuspendedHosts {
				t.Errorf("a list of %d hosts is applied", len(hosts))
			}
		}}
		h.ApplyEffect(1, ownership.FencingToken{}, list)
		m := &MigrationPermits{Rate: 1, FleetSize: 1}
		m.Start(1, g, 1, 1, nil)
		m.QueryReceived(3*sec, 1, 1, command)
	})
}
