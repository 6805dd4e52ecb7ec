package ownership

import (
	"fmt"
	"sort"

	"croftlock/internal/fleet/encoding"
)

// MachineNumber is the table's number among the group's state machines.
const MachineNumber = 1

const tableFormat = 1

// tokensPerEpochBits: a job's first token in an epoch is the epoch shifted by this, so that tokens rise across epochs.
const tokensPerEpochBits = 20

// JobRecord is a row of the Table.
type JobRecord struct {
	Job              string
	Token            uint64 // of the last grant
	Owner            string // member name; "": none
	Incarnation      uint64 // of the owner's process
	CheckpointNumber uint64 // of Checkpoint; only rises
	Checkpoint       []byte // for the next owner
	ChangedAt        int64  // wall clock of the last change, Unix milliseconds
	Reason           string // text of the last change: see reasons.go
}

// storeCheckpoint stores a checkpoint, unless a later one is stored already.
func (r *JobRecord) storeCheckpoint(number uint64, checkpoint []byte) bool {
	if number <= r.CheckpointNumber {
		return false
	}
	r.CheckpointNumber, r.Checkpoint = number, append([]byte(nil), checkpoint...)
	return true
}

func (r *JobRecord) clearOwner(text string) { r.Owner, r.Incarnation, r.Reason = "", 0, text }

// Table is the jobs, as a state machine of the group.
type Table struct {
	// Version rises with each command that is applied, other than a checkpoint, and with MarkUncertain.
	Version uint64

	rows      map[string]*JobRecord
	names     []string // sorted
	uncertain bool     // MarkUncertain was called, and no confirmCommand came since
}

// NewTable makes an empty table.
func NewTable() *Table { return &Table{rows: map[string]*JobRecord{}} }

// Job gives a job's row; nil: there is none.
func (t *Table) Job(job string) *JobRecord { return t.rows[job] }

// Jobs gives all rows, by name.
func (t *Table) Jobs() []*JobRecord {
	rows := make([]*JobRecord, 0, len(t.names))
	for _, name := range t.names {
		rows = append(rows, t.rows[name])
	}
	return rows
}

// MarkUncertain says that committed commands may be missing from the table. All owners are cleared, and the coordinator grants nothing until
// every lease has ended that a lost command may have led to.
func (t *Table) MarkUncertain() {
	t.uncertain = true
	t.Version++
	for _, name := range t.names {
		t.rows[name].clearOwner(textMemoryLost)
	}
}

// Results of a command, as Apply returns them.
const (
	resultRejected = 0
	resultApplied  = 1
)

// Apply carries out an encoded command. A command with a stale token changes nothing.
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

func (t *Table) add(r *JobRecord) {
	t.rows[r.Job] = r
	i := sort.SearchStrings(t.names, r.Job)
	t.names = append(t.names, "")
	copy(t.names[i+1:], t.names[i:])
	t.names[i] = r.Job
}

// Snapshot encodes the complete table.
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

// Restore replaces the table by a snapshot. A truncated one, or one in another format, changes nothing.
func (t *Table) Restore(snapshot []byte) error {
	r := encoding.Reader{Data: snapshot}
	if v := r.Uint(); v != tableFormat {
		return fmt.Errorf("%w: %d, only %d is known", ErrUnsupportedTable, v, tableFormat)
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
