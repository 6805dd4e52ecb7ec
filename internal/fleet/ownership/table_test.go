package ownership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// randomCommand describes a random command on a table.
type randomCommand struct {
	kind   commandKind
	job    string
	token  uint64 // not used by a registration
	number uint64 // of the checkpoint
}

// generateCommand returns a random command. Only two jobs and few tokens occur, so that commands
// conflict.
func generateCommand(t *rapid.T) randomCommand {
	return randomCommand{
		job:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job"),
		token:  uint64(rapid.IntRange(0, 6).Draw(t, "token")),
		number: uint64(rapid.IntRange(0, 4).Draw(t, "number")),
		kind:   commandKind(rapid.IntRange(int(kindGrant), int(kindRegister)).Draw(t, "kind")),
	}
}

// command returns the command that c describes.
func (c randomCommand) command() tableCommand {
	checkpoint := []byte(fmt.Sprint("checkpoint ", c.number))
	switch c.kind {
	case kindGrant:
		return grantCommand{job: c.job, token: c.token, changedAt: 1, owner: "p", incarnation: 3, reason: "why"}
	case kindRelease:
		return releaseCommand{job: c.job, token: c.token, changedAt: 1, checkpointNumber: c.number, checkpoint: checkpoint, reason: "why"}
	case kindCheckpoint:
		return checkpointCommand{job: c.job, token: c.token, checkpointNumber: c.number, checkpoint: checkpoint}
	case kindRaiseToken:
		return raiseTokenCommand{job: c.job, token: c.token}
	}
	return registerCommand{job: c.job, changedAt: 1}
}

// isStale reports whether a command must not change a row because of its token: the token is below the
// row's, or equal to it in a grant. Registrations carry no token.
func (c randomCommand) isStale(row JobRecord) bool {
	return c.kind != kindRegister && (c.token < row.Token || c.token == row.Token && c.kind == kindGrant)
}

// rowCopy returns a copy of a job's row, or the zero value if there is none.
func rowCopy(table *Table, job string) (row JobRecord) {
	if r := table.Job(job); r != nil {
		row = *r
	}
	return row
}

// checkApplied checks a job's row after the command against the row before it. applied reports whether the
// table accepted the command.
func (c randomCommand) checkApplied(t *rapid.T, before, after JobRecord, applied bool) {
	t.Helper()
	if after.Token < before.Token || after.CheckpointNumber < before.CheckpointNumber {
		t.Fatalf("%v lowers the token or the checkpoint number: %+v after %+v", c.kind, after, before)
	}
	if c.isStale(before) && (applied || after.Owner != before.Owner || after.CheckpointNumber != before.CheckpointNumber) {
		t.Fatalf("%v with stale token %d, the row's token being %d: applied %t, row %+v; want it rejected and the row unchanged, %+v", c.kind, c.token, before.Token, applied, after, before)
	}
	if c.kind == kindGrant && applied && (after.Owner != "p" || after.Token != c.token) {
		t.Fatalf("grant to %q under token %d was applied: row %+v, want this owner and token", "p", c.token, after)
	}
}

// checkSnapshot checks that a table restored from a snapshot equals the original.
func checkSnapshot(t *rapid.T, table *Table) {
	t.Helper()
	restored := NewTable()
	if err := restored.Restore(table.Snapshot()); err != nil {
		t.Fatalf("Restore of the table's own snapshot: %v", err)
	}
	sameRow := func(a, b *JobRecord) bool { return fmt.Sprint(*a) == fmt.Sprint(*b) }
	if !slices.EqualFunc(table.Jobs(), restored.Jobs(), sameRow) || restored.Version != table.Version {
		t.Fatalf("Restore(%x) yields another table, whose snapshot is %x", table.Snapshot(), restored.Snapshot())
	}
}

// TestTable tests with random commands that a job's token never falls, that a command with a stale
// token changes nothing, and that a snapshot restores the table.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := generateCommand(t)
			before := rowCopy(table, c.job)
			applied := table.Apply(c.command().encode())[0] == resultApplied
			if table.Job(c.job) == nil {
				continue
			}
			c.checkApplied(t, before, rowCopy(table, c.job), applied)
			checkSnapshot(t, table)
		}
	})
}
