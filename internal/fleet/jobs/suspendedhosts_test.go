package jobs

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"croftlock/internal/fleet/ownership"
)

// table is what a Hosts job meets: receivers with fences, and a group that keeps what it is told.
type table struct {
	members []Member
	fences  map[uint32]*ownership.Fence
	has     map[uint32][]string
	deaf    map[uint32]bool
	token   uint64
	job     *SuspendedHosts
	now     Time
	kept    []byte
	number  uint64
	answers map[uint64]string
	lapsed  bool
	mute    bool // the group does not answer
}

func newTable(n int) *table {
	t := &table{fences: map[uint32]*ownership.Fence{}, has: map[uint32][]string{}, deaf: map[uint32]bool{}, answers: map[uint64]string{}}
	for i := range n {
		p := uint32(i + 1)
		t.members = append(t.members, Member{Name: fmt.Sprintf("n%d", i), Peer: p, Incarnation: 1, Present: true})
		t.fences[p] = &ownership.Fence{}
	}
	t.begin()
	return t
}

// begin has another owner take over what was kept.
func (t *table) begin() error {
	t.token++
	t.job = &SuspendedHosts{}
	return t.job.Start(t.now, t, t.token, t.number, t.kept)
}

func (t *table) SendEffect(to uint32, number uint64, body []byte) {
	t.send(t.job, t.token, to, number, body)
}

func (t *table) send(j *SuspendedHosts, token uint64, to uint32, number uint64, body []byte) {
	if t.deaf[to] {
		return
	}
	m := ownership.FencingToken{Token: token, Sequence: number}
	v, _ := t.fences[to].Check("hosts", m)
	if v == ownership.Accepted {
		h := &SuspendedHosts{Apply: func(out []string) { t.has[to] = out }}
		h.ApplyEffect(t.now, m, body)
	}
	j.EffectAcknowledged(t.now, to, m, v)
}

func (t *table) StoreCheckpoint(number uint64, left []byte) error {
	if t.lapsed {
		return errors.New("the lease has ended")
	}
	if !t.mute {
		t.number, t.kept = number, slices.Clone(left)
		t.job.CheckpointStored(t.now, number, true)
	}
	return nil
}

func (t *table) Reply(_ uint32, tag uint64, body []byte) { t.answers[tag] = string(body) }
func (t *table) Members() []Member                       { return t.members }

func (t *table) wait(d Time) {
	for end := t.now + d; t.now < end; t.now += 50 * ms {
		t.job.Step(t.now)
	}
}

func TestHostsAnswers(t *testing.T) {
	x := newTable(3)
	x.job.QueryReceived(x.now, 9, 1, SuspendCommand(true, "s1"))
	if x.answers[1] != "done at all 3" || !slices.Equal(x.has[3], []string{"s1"}) {
		t.Errorf("%q, %v", x.answers[1], x.has)
	}
	x.deaf[2] = true
	x.job.QueryReceived(x.now, 9, 2, SuspendCommand(true, "s2"))
	if a, said := x.answers[2]; said {
		t.Errorf("%q before n1 has had its time", a)
	}
	x.wait(3 * sec)
	if want := "done at 2 of 3; it holds, and follows at: n1"; x.answers[2] != want {
		t.Errorf("%q, want %q", x.answers[2], want)
	}
	x.deaf[2] = false
	x.wait(sec)
	if !slices.Equal(x.has[2], []string{"s1", "s2"}) {
		t.Errorf("n1 does not catch up: %v", x.has[2])
	}
	// One that starts anew has none of it, and is told.
	x.members[0].Incarnation, x.has[1], x.fences[1] = 2, nil, &ownership.Fence{}
	x.wait(sec)
	if !slices.Equal(x.has[1], []string{"s1", "s2"}) {
		t.Errorf("one that started anew has %v", x.has[1])
	}
	x.mute = true
	x.job.QueryReceived(x.now, 9, 3, SuspendCommand(false, "s1"))
	x.wait(3 * sec)
	if !strings.HasPrefix(x.answers[3], "unknown") || slices.Equal(x.has[1], []string{"s2"}) {
		t.Errorf("without the group: %q, and carried out %v", x.answers[3], x.has[1])
	}
	for tag, body := range map[uint64][]byte{4: SuspendCommand(true, ""), 5: {9, 9}, 6: nil, 7: SuspendCommand(true, strings.Repeat("x", 129))} {
		if x.job.QueryReceived(x.now, 9, tag, body); !strings.HasPrefix(x.answers[tag], "refused") {
			t.Errorf("%x: %q", body, x.answers[tag])
		}
	}
	x.mute = false
	for i := range MaxHosts + 5 {
		x.job.QueryReceived(x.now, 9, uint64(100+i), SuspendCommand(true, fmt.Sprintf("more%03d", i)))
	}
	if a := x.answers[uint64(100+MaxHosts+4)]; !strings.HasPrefix(a, "refused") {
		t.Errorf("beyond the bound: %q", a)
	}
}

// TestLateSuspendUndoesNothing: what an earlier owner sends late does not take a host out that a later one called back.
func TestLateSuspendUndoesNothing(t *testing.T) {
	x := newTable(3)
	x.job.QueryReceived(x.now, 9, 1, SuspendCommand(true, "s1"))
	old, oldToken, list := x.job, x.token, x.job.hosts.encode()
	if err := x.begin(); err != nil {
		t.Fatal(err)
	}
	x.job.QueryReceived(x.now, 9, 2, SuspendCommand(false, "s1"))
	for p := range x.fences {
		x.send(old, oldToken, p, 99, list)
	}
	if len(x.has[1])+len(x.has[2])+len(x.has[3]) > 0 || x.answers[2] != "done at all 3" {
		t.Errorf("%v, %q", x.has, x.answers[2])
	}
}

func TestTornListIsRefused(t *testing.T) {
	h := &SuspendedHosts{}
	if err := h.Start(0, newTable(1), 1, 1, []byte{2, 1, 'b', 1, 'a'}); err == nil {
		t.Error("a list out of order is taken over")
	}
}

func FuzzAsked(f *testing.F) {
	f.Add(SuspendCommand(true, "s1"), []byte{1, 1, 'a'})
	f.Add(ListCommand(), []byte{})
	f.Fuzz(func(t *testing.T, command, list []byte) {
		x := newTable(2)
		x.job.QueryReceived(1, 9, 1, command)
		x.wait(3 * sec)
		if _, said := x.answers[1]; !said {
			t.Error("a command without an answer")
		}
		h := &SuspendedHosts{Apply: func(out []string) {
			if len(out) > MaxHosts {
				t.Errorf("%d hosts are carried out", len(out))
			}
		}}
		h.ApplyEffect(1, ownership.FencingToken{}, list)
		m := &MigrationPermits{Rate: 1, FleetSize: 1}
		m.Start(1, x, 1, 1, nil)
		m.QueryReceived(3*sec, 1, 1, command)
	})
}
