// Package ownership gives each of the fleet's jobs one owner at a time. It owns the table of jobs and their tokens, who is to own what,
// the leases by which an owner stops by itself, and the fences by which a receiver refuses what an old owner sends. It does no I/O and
// reads no clock: a run can be played again.
//
// Each grant carries a token that only ever rises. An owner whose lease has ended stops by itself, but that is a courtesy: it may sleep
// between its check and its act. What makes it harmless is that every receiver keeps the highest token it has seen of a job and refuses
// lower ones. docs/design-ownership.md says what each of the two can't do alone.
//
// The table is kept by a Group: voters with disks (package consensus) or without (Quorum). Whoever leads it is the coordinator: it knows
// who is there by their sessions, and grants.
package ownership

import (
	"fmt"
	"sort"

	"croftlock/internal/fleet/encoding"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

const (
	ms  = Time(1e6)
	sec = Time(1e9)

	mostName = 64
	// MaxCheckpoint bounds what a job leaves to its next owner, in bytes.
	MaxCheckpoint = 32 << 10
	// MaxJobs bounds the jobs of a fleet.
	MaxJobs = 1000
)

// Group agrees on commands. Who leads may have been deposed without knowing; Confirm asks.
type Group interface {
	Tick(now Time)
	Receive(now Time, from uint32, msg []byte) error
	// Leading gives the epoch in which this process leads, as it believes; epochs only rise.
	Leading() (epoch uint64, ok bool)
	Leader() uint32
	Propose(now Time, machine byte, tag uint64, cmd []byte) error
	Confirm(now Time, tag uint64) error
	Yield(now Time)
}

// epochBits is how many tokens of a job fit in an epoch.
const epochBits = 20

// JobRecord is what is known of a job.
type JobRecord struct {
	Job              string
	Token            uint64 // of the last grant
	Owner            string // "": nobody
	Incarnation      uint64 // of the owner's process
	CheckpointNumber uint64 // of the last Left that was taken
	Checkpoint       []byte // what its owners leave to their next one
	Since            int64  // wall clock of the last change, milliseconds
	Reason           string // of it
}

// Table is the jobs, as a state machine of the group.
type Table struct {
	rows  map[string]*JobRecord
	names []string
	// Version rises with each command that changes whose a job is.
	Version uint64
	unsure  bool
}

// MarkUncertain says that the table may lack what came after it: nobody owns anything by it, and before anything is granted again every lease has
// to have ended.
func (t *Table) MarkUncertain() {
	t.unsure = true
	t.Version++
	for _, n := range t.names {
		r := t.rows[n]
		r.Owner, r.Incarnation, r.Reason = "", 0, "the voters lost their memory"
	}
}

// NewTable makes one.
func NewTable() *Table { return &Table{rows: map[string]*JobRecord{}} }

// Job gives a job's row; nil: there is none.
func (t *Table) Job(job string) *JobRecord { return t.rows[job] }

// Jobs are all of them, by name.
func (t *Table) Jobs() []*JobRecord {
	out := make([]*JobRecord, 0, len(t.names))
	for _, n := range t.names {
		out = append(out, t.rows[n])
	}
	return out
}

// The commands.
const (
	cmdGrant   = 1
	cmdRelease = 2
	cmdNote    = 3
	cmdRaise   = 4
	cmdKnow    = 5
	cmdSure    = 6
)

// Results of a command.
const (
	resultDone    = 1
	resultRefused = 0
)

// Apply takes a command. The table is a receiver like any other: what carries an old token changes nothing.
func (t *Table) Apply(cmd []byte) []byte {
	if t.apply(cmd) {
		if cmd[0] != cmdNote {
			t.Version++
		}
		return []byte{resultDone}
	}
	return []byte{resultRefused}
}

func (t *Table) apply(cmd []byte) bool {
	r := encoding.Reader{Data: cmd}
	kind, job, token, wall := r.Uint(), r.Text(mostName), r.Uint(), int64(r.Uint())
	if kind == cmdSure && r.Err() == nil {
		was := t.unsure
		t.unsure = false
		return was
	}
	if r.Err() != nil || job == "" {
		return false
	}
	row := t.rows[job]
	if kind == cmdKnow {
		if row != nil || len(t.names) >= MaxJobs {
			return false
		}
		t.add(&JobRecord{Job: job, Since: wall, Reason: "made known"})
		return true
	}
	if row == nil {
		return false
	}
	switch kind {
	case cmdGrant:
		owner, life, why := r.Text(mostName), r.Uint(), r.Text(200)
		if r.Err() != nil || token <= row.Token {
			return false
		}
		row.Token, row.Owner, row.Incarnation, row.Since, row.Reason = token, owner, life, wall, why
	case cmdRelease:
		number, left, why := r.Uint(), r.Bytes(MaxCheckpoint), r.Text(200)
		if r.Err() != nil || token != row.Token || row.Owner == "" {
			return false
		}
		row.keep(number, left)
		row.Owner, row.Incarnation, row.Since, row.Reason = "", 0, wall, why
	case cmdNote:
		number, left := r.Uint(), r.Bytes(MaxCheckpoint)
		if r.Err() != nil || token != row.Token || row.Owner == "" {
			return false
		}
		return row.keep(number, left)
	case cmdRaise:
		// A receiver has seen a later token than any that is known here. It may be another owner's, so nobody goes on under it.
		if token <= row.Token || token > 1<<62 {
			return false
		}
		row.Token, row.Owner, row.Incarnation, row.Reason = token, "", 0, "a receiver has seen a later token"
	default:
		return false
	}
	return true
}

func (r *JobRecord) keep(number uint64, left []byte) bool {
	if number <= r.CheckpointNumber {
		return false
	}
	r.CheckpointNumber, r.Checkpoint = number, append([]byte(nil), left...)
	return true
}

func (t *Table) add(r *JobRecord) {
	t.rows[r.Job] = r
	i := sort.SearchStrings(t.names, r.Job)
	t.names = append(t.names, "")
	copy(t.names[i+1:], t.names[i:])
	t.names[i] = r.Job
}

// Snapshot is the whole table.
func (t *Table) Snapshot() []byte {
	var w encoding.Writer
	w.Uint(1).Uint(t.Version).Bool(t.unsure).Uint(uint64(len(t.names)))
	for _, n := range t.names {
		r := t.rows[n]
		w.Text(r.Job).Uint(r.Token).Text(r.Owner).Uint(r.Incarnation).Uint(r.CheckpointNumber).Bytes(r.Checkpoint).Uint(uint64(r.Since)).Text(r.Reason)
	}
	return w.Data
}

// Restore takes a snapshot in the table's place. One that is torn, or of a later version, changes nothing.
func (t *Table) Restore(data []byte) error {
	r := encoding.Reader{Data: data}
	if v := r.Uint(); v != 1 {
		return fmt.Errorf("ownership: a table of version %d, only 1 is known", v)
	}
	next := NewTable()
	next.Version, next.unsure = r.Uint(), r.Bool()
	for n := r.Count(MaxJobs); n > 0; n-- {
		row := &JobRecord{Job: r.Text(mostName), Token: r.Uint(), Owner: r.Text(mostName), Incarnation: r.Uint(), CheckpointNumber: r.Uint(),
			Checkpoint: append([]byte(nil), r.Bytes(MaxCheckpoint)...), Since: int64(r.Uint()), Reason: r.Text(200)}
		if r.Err() == nil && next.rows[row.Job] == nil {
			next.add(row)
		}
	}
	if err := r.Err(); err != nil {
		return err
	}
	*t = *next
	return nil
}

// The verdicts.
const (
	Accepted  Verdict = iota
	Duplicate         // it, or a later one of the same token, was taken before
	Stale             // a later token was seen
)
