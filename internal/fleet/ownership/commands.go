package ownership

import (
	"fmt"

	"croftlock/internal/fleet/encoding"
)

// maxRaisedToken bounds the token that a receiver may report, so that later tokens can still rise
// above it.
const maxRaisedToken = 1 << 62

// tableCommand is a change of the table. apply reports whether the table accepted it; a rejected
// command changes nothing.
type tableCommand interface {
	encode() []byte
	apply(t *Table) bool
}

// registerCommand adds a job without an owner.
type registerCommand struct {
	job       string
	changedAt int64 // wall clock, Unix milliseconds
}

// grantCommand assigns a job to a process under a new token.
type grantCommand struct {
	job         string
	token       uint64 // fencing token of the grant
	changedAt   int64  // wall clock, Unix milliseconds
	owner       string
	incarnation uint64 // of the owner's process
	reason      string
}

// releaseCommand clears a job's owner and stores the owner's last checkpoint.
type releaseCommand struct {
	job              string
	token            uint64 // under which the owner had the job
	changedAt        int64  // wall clock, Unix milliseconds
	checkpointNumber uint64
	checkpoint       []byte
	reason           string
}

// checkpointCommand stores a checkpoint, the state from which the next owner of a job continues.
type checkpointCommand struct {
	job              string
	token            uint64 // under which the owner has the job
	checkpointNumber uint64 // must be above that of the stored one
	checkpoint       []byte
}

// raiseTokenCommand raises a job's token to a higher one that a receiver has seen.
type raiseTokenCommand struct {
	job   string
	token uint64
}

// confirmCommand makes the table certain again: it clears the mark, set by Table.MarkUncertain, that
// committed commands may be missing.
type confirmCommand struct{}

// commandHeader returns a Writer that holds the fields with which every command begins: kind, job,
// token and wall clock.
func commandHeader(kind commandKind, job string, token uint64, changedAt int64) *encoding.Writer {
	var w encoding.Writer
	return w.Uint(uint64(kind)).Text(job).Uint(token).Uint(uint64(changedAt))
}

func (c registerCommand) encode() []byte {
	return commandHeader(kindRegister, c.job, 0, c.changedAt).Data
}

func (c grantCommand) encode() []byte {
	return commandHeader(kindGrant, c.job, c.token, c.changedAt).Text(c.owner).Uint(c.incarnation).Text(c.reason).Data
}

func (c releaseCommand) encode() []byte {
	return commandHeader(kindRelease, c.job, c.token, c.changedAt).Uint(c.checkpointNumber).Bytes(c.checkpoint).Text(c.reason).Data
}

func (c checkpointCommand) encode() []byte {
	return commandHeader(kindCheckpoint, c.job, c.token, 0).Uint(c.checkpointNumber).Bytes(c.checkpoint).Data
}

func (c raiseTokenCommand) encode() []byte {
	return commandHeader(kindRaiseToken, c.job, c.token, 0).Data
}

func (confirmCommand) encode() []byte { return commandHeader(kindConfirm, "", 0, 0).Data }

// decodeCommand decodes a command. Byte slices in it refer to data and are not copied.
func decodeCommand(data []byte) (cmd tableCommand, err error) {
	r := encoding.Reader{Data: data}
	kind, job, token, changedAt := commandKind(r.Uint()), r.Text(maxNameBytes), r.Uint(), int64(r.Uint())
	switch kind {
	case kindRegister:
		cmd = registerCommand{job: job, changedAt: changedAt}
	case kindGrant:
		cmd = grantCommand{job: job, token: token, changedAt: changedAt, owner: r.Text(maxNameBytes), incarnation: r.Uint(), reason: r.Text(maxReasonBytes)}
	case kindRelease:
		cmd = releaseCommand{job: job, token: token, changedAt: changedAt, checkpointNumber: r.Uint(), checkpoint: r.Bytes(MaxCheckpointBytes), reason: r.Text(maxReasonBytes)}
	case kindCheckpoint:
		cmd = checkpointCommand{job: job, token: token, checkpointNumber: r.Uint(), checkpoint: r.Bytes(MaxCheckpointBytes)}
	case kindRaiseToken:
		cmd = raiseTokenCommand{job: job, token: token}
	case kindConfirm:
		cmd = confirmCommand{}
	default:
		return nil, fmt.Errorf("ownership: unknown command kind: %v", kind)
	}
	if err := r.Err(); err != nil {
		return nil, fmt.Errorf("ownership: malformed command: %v: %w", kind, err)
	}
	return cmd, nil
}

// apply rejects a job that has no name or is already in the table, and any job once the table holds
// MaxJobs.
func (c registerCommand) apply(t *Table) bool {
	if c.job == "" || t.rows[c.job] != nil || len(t.names) >= MaxJobs {
		return false
	}
	t.add(&JobRecord{Job: c.job, ChangedAt: c.changedAt, Reason: textRegistered})
	return true
}

// apply accepts only a token above the job's last one. Fencing: receivers that have accepted an effect,
// a message from the job's owner, under the new token reject those of earlier owners.
func (c grantCommand) apply(t *Table) bool {
	row := t.rows[c.job]
	if row == nil || c.token <= row.Token {
		return false
	}
	row.Token, row.Owner, row.Incarnation, row.ChangedAt, row.Reason = c.token, c.owner, c.incarnation, c.changedAt, c.reason
	return true
}

// apply accepts only the token under which the job is owned. A checkpoint that is not later than the
// stored one is ignored.
func (c releaseCommand) apply(t *Table) bool {
	row := t.ownedUnder(c.job, c.token)
	if row == nil {
		return false
	}
	row.storeCheckpoint(c.checkpointNumber, c.checkpoint)
	row.clearOwner(c.reason)
	row.ChangedAt = c.changedAt
	return true
}

// apply accepts only the token under which the job is owned, and only a later checkpoint than the
// stored one.
func (c checkpointCommand) apply(t *Table) bool {
	row := t.ownedUnder(c.job, c.token)
	return row != nil && row.storeCheckpoint(c.checkpointNumber, c.checkpoint)
}

// ownedUnder returns the row of a job if it is owned under exactly this token, and nil otherwise.
func (t *Table) ownedUnder(job string, token uint64) *JobRecord {
	row := t.rows[job]
	if row == nil || row.Token != token || row.Owner == "" {
		return nil
	}
	return row
}

// apply also clears the owner: the higher token may have belonged to another owner, so the present
// one must not continue under it.
func (c raiseTokenCommand) apply(t *Table) bool {
	row := t.rows[c.job]
	if row == nil || c.token <= row.Token || c.token > maxRaisedToken {
		return false
	}
	row.Token = c.token
	row.clearOwner(textLaterTokenSeen)
	return true
}

// apply rejects the command if the table is not uncertain.
func (confirmCommand) apply(t *Table) bool {
	wasUncertain := t.uncertain
	t.uncertain = false
	return wasUncertain
}
