package jobs

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"croftlock/internal/fleet/ownership"
)

// TestAnswerWaitsForReceivers checks that the answer to a command names the members without the
// list, and that a member that was cut off gets the list once it is reachable again.
func TestAnswerWaitsForReceivers(t *testing.T) {
	g := newFakeGroup(3)
	g.command(1, SuspendCommand(true, "s1"))
	if g.answers[1] != "done at all 3" || !slices.Equal(g.applied[3], []string{"s1"}) {
		t.Errorf("suspend s1: answer %q, lists applied %v; want done at all 3, and [s1] at member 3", g.answers[1], g.applied)
	}
	g.cutOff[2] = true
	g.command(2, SuspendCommand(true, "s2"))
	if answer, answered := g.answers[2]; answered {
		t.Errorf("suspend s2 was answered %q before the timeout, although n1 does not have the list", answer)
	}
	g.wait(3 * sec)
	if want := "done at 2 of 3; it holds, and follows at: n1"; g.answers[2] != want {
		t.Errorf("suspend s2: answer %q, want %q", g.answers[2], want)
	}
	g.cutOff[2] = false
	g.wait(sec)
	if !slices.Equal(g.applied[2], []string{"s1", "s2"}) {
		t.Errorf("n1 has the list %v after it is reachable again, want [s1 s2]", g.applied[2])
	}
}

// TestRestartedMemberGetsTheList checks that a new incarnation of a member, which does not have the
// list, is sent it.
func TestRestartedMemberGetsTheList(t *testing.T) {
	g := newFakeGroup(3)
	g.command(1, SuspendCommand(true, "s1"))
	g.command(2, SuspendCommand(true, "s2"))
	g.members[0].Incarnation, g.applied[1], g.fences[1] = 2, nil, &ownership.Fence{}
	g.wait(sec)
	if !slices.Equal(g.applied[1], []string{"s1", "s2"}) {
		t.Errorf("the restarted member has the list %v, want [s1 s2]", g.applied[1])
	}
}

// TestListIsStoredFirst checks that a list is applied nowhere unless the group has stored it, and
// that the command is answered as unknown.
func TestListIsStoredFirst(t *testing.T) {
	g := newFakeGroup(3)
	g.command(1, SuspendCommand(true, "s1"))
	g.unresponsive = true
	g.command(2, SuspendCommand(false, "s1"))
	g.wait(3 * sec)
	if !strings.HasPrefix(g.answers[2], "unknown") {
		t.Errorf("resume s1 while the group does not reply: answer %q, want unknown ...", g.answers[2])
	}
	for peer, hosts := range g.applied {
		if !slices.Equal(hosts, []string{"s1"}) {
			t.Errorf("receiver %d has the list %v, want the stored list [s1]", peer, hosts)
		}
	}
}

// TestInvalidCommandsAreRefused checks the answers to commands that can't be decoded.
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
			t.Errorf("%s: answer %q, want refused ...", c.name, g.answers[tag])
		}
	}
}

// TestHostsBound checks that MaxSuspendedHosts hosts can be suspended, and no more.
func TestHostsBound(t *testing.T) {
	g := newFakeGroup(1)
	for i := range MaxSuspendedHosts + 1 {
		tag := uint64(i + 1)
		g.command(tag, SuspendCommand(true, fmt.Sprintf("host%03d", i)))
		if rejected := strings.HasPrefix(g.answers[tag], "refused"); rejected != (i == MaxSuspendedHosts) {
			t.Errorf("suspend host %d of at most %d: answer %q, refused %t, want %t", i+1, MaxSuspendedHosts, g.answers[tag], rejected, !rejected)
		}
	}
}

// TestEndedLeaseAnswersAll checks that an owner whose lease has ended answers all waiting commands.
func TestEndedLeaseAnswersAll(t *testing.T) {
	g := newFakeGroup(2)
	g.cutOff[2] = true
	g.command(1, SuspendCommand(true, "s1"))
	g.leaseEnded = true
	g.command(2, ListCommand())
	if !strings.HasPrefix(g.answers[1], "done at 1 of 2") || !strings.HasPrefix(g.answers[2], "unknown") {
		t.Errorf("answers %q and %q, want done at 1 of 2 ... and unknown ...", g.answers[1], g.answers[2])
	}
}

// TestLateSuspendUndoesNothing checks that a late effect of an earlier owner does not suspend a
// host that a later owner has resumed.
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
		t.Errorf("lists applied %v, answer %q; want empty lists, and done at all 3", g.applied, g.answers[2])
	}
}

// TestUnsortedListIsRejected checks that an owner does not start from an invalid checkpoint.
func TestUnsortedListIsRejected(t *testing.T) {
	h := &SuspendedHosts{}
	if err := h.Start(0, newFakeGroup(1), 1, 1, []byte{2, 1, 'b', 1, 'a'}); err == nil {
		t.Error("Start accepted a checkpoint with the unsorted list [b a], want an error")
	}
}

// FuzzQueryReceived checks that every command is answered, even if it can't be decoded, that no
// list of more than MaxSuspendedHosts hosts is applied, and that queries for permits do not panic.
func FuzzQueryReceived(f *testing.F) {
	f.Add(SuspendCommand(true, "s1"), []byte{1, 1, 'a'})
	f.Add(ListCommand(), []byte{})
	f.Fuzz(func(t *testing.T, command, list []byte) {
		g := newFakeGroup(2)
		g.job.QueryReceived(1, 9, 1, command)
		g.wait(3 * sec)
		if _, answered := g.answers[1]; !answered {
			t.Errorf("command %x was not answered", command)
		}
		h := &SuspendedHosts{Apply: func(hosts []string) {
			if len(hosts) > MaxSuspendedHosts {
				t.Errorf("ApplyEffect applied a list of %d hosts, want at most %d", len(hosts), MaxSuspendedHosts)
			}
		}}
		h.ApplyEffect(1, ownership.FencingToken{}, list)
		m := &MigrationPermits{Rate: 1, FleetSize: 1}
		m.Start(1, g, 1, 1, nil)
		m.QueryReceived(3*sec, 1, 1, command)
	})
}
