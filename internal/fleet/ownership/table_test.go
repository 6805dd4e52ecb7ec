package ownership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestTable: whatever commands come, a job's token never falls, an old token changes nothing, and a snapshot is the table.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewTable()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			job := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job")
			before := JobRecord{}
			if r := a.Job(job); r != nil {
				before = *r
			}
			token, number := uint64(rapid.IntRange(0, 6).Draw(t, "token")), uint64(rapid.IntRange(0, 4).Draw(t, "number"))
			left := []byte(fmt.Sprint("left ", number))
			var cmd []byte
			kind := commandKind(rapid.IntRange(1, 5).Draw(t, "kind"))
			switch kind {
			case kindGrant:
				cmd = grantCommand{job: job, token: token, changedAt: 1, owner: "p", incarnation: 3, reason: "why"}.encode()
			case kindRelease:
				cmd = releaseCommand{job: job, token: token, changedAt: 1, checkpointNumber: number, checkpoint: left, reason: "why"}.encode()
			case kindCheckpoint:
				cmd = checkpointCommand{job: job, token: token, checkpointNumber: number, checkpoint: left}.encode()
			case kindRaiseToken:
				cmd = raiseTokenCommand{job: job, token: token}.encode()
			case kindRegister:
				cmd = registerCommand{job: job, changedAt: 1}.encode()
			}
			ok := a.Apply(cmd)[0] == resultApplied
			after := a.Job(job)
			if after == nil {
				continue
			}
			if after.Token < before.Token || after.CheckpointNumber < before.CheckpointNumber {
				t.Fatalf("%+v after %+v", after, before)
			}
			old := token < before.Token || token == before.Token && kind == kindGrant
			if kind != kindRegister && old && (ok || after.Owner != before.Owner || after.CheckpointNumber != before.CheckpointNumber) {
				t.Fatalf("token %d after %d: %+v", token, before.Token, after)
			}
			if kind == kindGrant && ok && (after.Owner != "p" || after.Token != token) {
				t.Fatalf("granted %+v", after)
			}
			b := NewTable()
			if err := b.Restore(a.Snapshot()); err != nil || !slices.EqualFunc(a.Jobs(), b.Jobs(), func(x, y *JobRecord) bool { return fmt.Sprint(*x) == fmt.Sprint(*y) }) || b.Version != a.Version {
				t.Fatalf("%v: a snapshot gives another table", err)
			}
		}
	})
}
