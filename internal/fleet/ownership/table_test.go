package ownership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// randomCommand is a random command on a table.
type randomCommand struct {
	kind   commandKind
	job    string
	token  uint64
	number uint64 // of the checkpoint
}

func generateCommand(t *rapid.T) randomCommand {
	return randomCommand{
		job:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job"),
		token:  uint64(rapid.IntRange(0, 6).Draw(t, "token")),
		number: uint64(rapid.IntRange(0, 4).Draw(t, "number")),
		kind:   commandKind(rapid.IntRange(int(kindGrant), int(kindRegister)).Draw(t, "kind")),
	}
}

func (d randomCommand) command() tableCommand {
	checkpoint := []byte(fmt.Sprint("checkpoint ", d.number))
	switch d.kind {
	case kindGrant:
		return grantCommand{job: d.job, token: d.token, changedAt: 1, owner: "p", incarnation: 3, reason: "why"}
	case kindRelease:
		return releaseCommand{job: d.job, token: d.token, changedAt: 1, checkpointNumber: d.number, checkpoint: checkpoint, reason: "why"}
	case kindCheckpoint:
		return checkpointCommand{job: d.job, token: d.token, checkpointNumber: d.number, checkpoint: checkpoint}
	case kindRaiseToken:
		return raiseTokenCommand{job: d.job, token: d.token}
	}
	return registerCommand{job: d.job, changedAt: 1}
}

// isStale reports whether a command must change nothing in a row: its token is below the row's, or a grant does not rise above it.
func (d randomCommand) isStale(row JobRecord) bool {
	return d.kind != kindRegister && (d.token < row.Token || d.token == row.Token && d.kind == kindGrant)
}

// rowCopy is a job's row; the zero value: there is none.
func rowCopy(table *Table, job string) (row JobRecord) {
	if r := table.Job(job); r != nil {
		row = *r
	}
	return row
}

// checkApplied checks a row after a command.
func (d randomCommand) checkApplied(t *rapid.T, before, after JobRecord, applied bool) {
	t.Helper()
	if after.Token < before.Token || after.CheckpointNumber < before.CheckpointNumber {
		t.Fatalf("%v: token or checkpoint number falls: %+v after %+v", d.kind, after, before)
	}
	if d.isStale(before) && (applied || after.Owner != before.Owner || after.CheckpointNumber != before.CheckpointNumber) {
		t.Fatalf("%v with stale token %d after %d: %+v", d.kind, d.token, before.Token, after)
	}
	if d.kind == kindGrant && applied && (after.Owner != "p" || after.Token != d.token) {
		t.Fatalf("granted under token %d: %+v", d.token, after)
	}
}

// checkSnapshot checks that a table restored from a snapshot is the same.
func checkSnapshot(t *rapid.T, table *Table) {
	t.Helper()
	restored := NewTable()
	if err := restored.Restore(table.Snapshot()); err != nil {
		t.Fatal(err)
	}
	sameRow := func(a, b *JobRecord) bool { return fmt.Sprint(*a) == fmt.Sprint(*b) }
	if !slices.EqualFunc(table.Jobs(), restored.Jobs(), sameRow) || restored.Version != table.Version {
		t.Fatalf("a snapshot of %+v restores %+v", table.Jobs(), restored.Jobs())
	}
}

// TestTable: whatever the commands, a job's token never falls, a stale token changes nothing, and a snapshot restores the table.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			d := generateCommand(t)
			before := rowCopy(table, d.job)
			applied := table.Apply(d.command().encode())[0] == resultApplied
			if table.Job(d.job) == nil {
				continue
			}
			d.checkApplied(t, before, rowCopy(table, d.job), applied)
			checkSnapshot(t, table)
		}
	})
}
