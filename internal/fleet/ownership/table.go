package ownership

import (
	"fmt"
	"sort"

	"croftlock/internal/fleet/encoding"
)

// MachineNumber is the number of the Table among the group's state machines.
const MachineNumber = 1

// tableFormat is the version of the snapshot's encoding.
const tableFormat = 1

// tokensPerEpochBits is the number of bits by which an epoch, the number of a coordinator's time as
// leader, is shifted left to form a job's first token in it. So tokens rise from one epoch to the next.
const tokensPerEpochBits = 20

// JobRecord is a row of the Table.
type JobRecord struct {
	Job              string // name
	Token            uint64 // fencing token of the last grant, or a higher one that raiseTokenCommand has set
	Owner            string // member name; empty if the job has no owner
	Incarnation      uint64 // of the owner's process
	CheckpointNumber uint64 // of Checkpoint; only rises; 0 if there is none
	Checkpoint       []byte // for the next owner
	ChangedAt        int64  // wall clock of the last registration, grant or release, Unix milliseconds
	Reason           string // text of the last change; see reasons.go
}

// storeCheckpoint stores a checkpoint, unless the same or a later one is already stored. It reports
// whether it was stored.
func (r *JobRecord) storeCheckpoint(number uint64, checkpoint []byte) bool {
	if number <= r.CheckpointNumber {
		return false
	}
	r.CheckpointNumber, r.Checkpoint = number, append([]byte(nil), checkpoint...)
	return true
}

// clearOwner removes the owner and stores the reason.
func (r *JobRecord) clearOwner(text string) { r.Owner, r.Incarnation, r.Reason = "", 0, text }

// Table holds the jobs of the fleet with their owners. It is a state machine of the group.
type Table struct {
	// Version rises with MarkUncertain and with each accepted command other than a checkpoint.
	Version uint64

	rows      map[string]*JobRecord // by job name
	names     []string              // job names, sorted
	uncertain bool                  // whether MarkUncertain was called and no confirmCommand has been applied since
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{rows: map[string]*JobRecord{}} }

// Job returns a job's row, or nil if the table has no such job. The caller must not change it.
func (t *Table) Job(job string) *JobRecord { return t.rows[job] }

// Jobs returns all rows, sorted by job name. The caller must not change them.
func (t *Table) Jobs() []*JobRecord {
	rows := make([]*JobRecord, 0, len(t.names))
	for _, name := range t.names {
		rows = append(rows, t.rows[name])
	}
	return rows
}

// MarkUncertain records that committed commands may be missing from the table. It clears all owners,
// and the coordinator grants nothing until every lease has ended that a missing command may have led
// to.
func (t *Table) MarkUncertain() {
	t.uncertain = true
	t.Version++
	for _, name := range t.names {
		t.rows[name].clearOwner(textMemoryLost)
	}
}

// Results that Apply returns for a command.
const (
	resultRejected = 0
	resultApplied  = 1
)

// Apply applies an encoded command and returns its result. A command with a stale token changes
// nothing.
func (t *Table) Apply(encoded []byte) []byte {
	cmd, err := decodeCommand(encoded)
	if err != nil || !cmd.apply(t) {
		return []byte{resultRejected}
	}
	if _, isCheckpoint := cmd.(checkpointCommand); !isCheckpoint {
		t.Version++
	}
	return []byte{resultApplied}
}

// add inserts a row, keeping names sorted.
func (t *Table) add(r *JobRecord) {
	t.rows[r.Job] = r
	i := sort.SearchStrings(t.names, r.Job)
	t.names = append(t.names, "")
	copy(t.names[i+1:], t.names[i:])
	t.names[i] = r.Job
}

// Snapshot returns the complete table, encoded.
func (t *Table) Snapshot() []byte {
	var w encoding.Writer
	w.Uint(tableFormat).Uint(t.Version).Bool(t.uncertain).Uint(uint64(len(t.names)))
	for _, name := range t.names {
		t.rows[name].encode(&w)
	}
	return w.Data
}

func (r *JobRecord) encode(w *encoding.Writer) {
	w.Text(r.Job).Uint(r.Token).Text(r.Owner).Uint(r.Incarnation)
	w.Uint(r.CheckpointNumber).Bytes(r.Checkpoint).Uint(uint64(r.ChangedAt)).Text(r.Reason)
}

func decodeRecord(r *encoding.Reader) *JobRecord {
	return &JobRecord{
		Job:              r.Text(maxNameBytes),
		Token:            r.Uint(),
		Owner:            r.Text(maxNameBytes),
		Incarnation:      r.Uint(),
		CheckpointNumber: r.Uint(),
		Checkpoint:       append([]byte(nil), r.Bytes(MaxCheckpointBytes)...),
		ChangedAt:        int64(r.Uint()),
		Reason:           r.Text(maxReasonBytes),
	}
}

// Restore replaces the table with a snapshot. If the snapshot is truncated or in another format, it
// returns an error and changes nothing.
func (t *Table) Restore(snapshot []byte) error {
	r := encoding.Reader{Data: snapshot}
	if v := r.Uint(); v != tableFormat {
		return fmt.Errorf("%w: %d, expected %d", ErrUnsupportedTable, v, tableFormat)
	}
	next := NewTable()
	next.Version, next.uncertain = r.Uint(), r.Bool()
	for n := r.Count(MaxJobs); n > 0; n-- {
		row := decodeRecord(&r)
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
