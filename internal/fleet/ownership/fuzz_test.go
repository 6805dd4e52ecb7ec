package ownership

import (
	"testing"

	"croftlock/internal/fleet/group"
)

// discardEffects discards the effects of a Core and of a group.
type discardEffects struct{}

func (discardEffects) Send(uint32, []byte)                                                    {}
func (discardEffects) Start(string, uint64, uint64, []byte) error                             { return nil }
func (discardEffects) Stop(string, uint64, ReleaseReason) (uint64, []byte)                    { return 0, nil }
func (discardEffects) ApplyEffect(string, FencingToken, []byte)                               {}
func (discardEffects) EffectAcknowledged(uint32, string, FencingToken, Verdict, FencingToken) {}
func (discardEffects) CheckpointStored(string, uint64, uint64, bool)                          {}
func (discardEffects) QueryReceived(uint32, string, uint64, []byte)                           {}
func (discardEffects) ReplyReceived(uint64, []byte)                                           {}
func (discardEffects) LogEvent(string, ...any)                                                {}
func (discardEffects) Applied(machine byte, tag uint64, result []byte)                        {}
func (discardEffects) Confirmed(tag uint64)                                                   {}

// newVoterCore returns the Core and the Quorum of voter a, one of three in group g. The Core has incarnation
// 1 and can own job j. Neither has ticked, and their effects are discarded.
func newVoterCore(t testing.TB) (*Core, *Quorum) {
	t.Helper()
	table := NewTable()
	q, err := NewQuorum(QuorumConfig{Group: "g", Name: "a", Voters: []string{"a", "b", "c"}}, map[byte]group.Machine{MachineNumber: table}, discardEffects{})
	if err != nil {
		t.Fatalf("NewQuorum: %v", err)
	}
	c, err := New(Config{Name: "a", Incarnation: 1, Voters: []string{"a", "b", "c"}, Jobs: []string{"j"}}, q, table, &Fence{}, discardEffects{})
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	return c, q
}

// FuzzMessages tests that no message from a single peer makes the process panic or become the owner of a
// job.
func FuzzMessages(f *testing.F) {
	for kind := range byte(15) {
		f.Add([]byte{kind, 1, 'a', 1, 'j', 1, 1, 0, 0, 1, 2, 3})
		f.Add([]byte{kind, 1, 'g', 1, 1, 1, 1, 1, 1})
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, q := newVoterCore(t)
		now := Time(1)
		for range 3 {
			now += 2 * sec
			c.Tick(now)
			c.Receive(now, group.Peer("b"), data)
			q.Receive(now, group.Peer("b"), data)
			q.Receive(now, group.Peer("b"), append([]byte{byte(kindLeaseProposal), 1, 'g'}, data...))
		}
		if _, ok := c.group.Leading(); ok && c.IsOwner(now, "j", 1) {
			t.Errorf("message %x from one peer made this process an owner", data)
		}
	})
}

// FuzzTable tests that an invalid snapshot leaves the table empty, and that every table can be
// restored from its own snapshot.
func FuzzTable(f *testing.F) {
	seed := NewTable()
	seed.Apply(registerCommand{job: "j", changedAt: 1}.encode())
	seed.Apply(grantCommand{job: "j", token: 3, changedAt: 4, owner: "p", incarnation: 2, reason: "why"}.encode())
	f.Add(seed.Snapshot(), checkpointCommand{job: "j", token: 3, checkpointNumber: 1, checkpoint: []byte("checkpoint")}.encode())
	f.Add([]byte{1, 0, 0, 200, 1}, []byte{byte(kindGrant), 1, 'j'})
	f.Fuzz(func(t *testing.T, snapshot, cmd []byte) {
		table := NewTable()
		if table.Restore(snapshot) != nil && len(table.Jobs()) > 0 {
			t.Errorf("Restore(%x) failed and left %d rows, want none", snapshot, len(table.Jobs()))
		}
		table.Apply(cmd)
		if err := NewTable().Restore(table.Snapshot()); err != nil {
			t.Errorf("Restore of the snapshot after command %x: %v", cmd, err)
		}
	})
}
