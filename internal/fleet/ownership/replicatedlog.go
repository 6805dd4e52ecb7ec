package ownership

import (
	"sort"

	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/group"
)

const (
	// maxUncommitted bounds the entries that wait for a majority.
	maxUncommitted = 64
	// maxBatchBytes bounds the entries of one message, beyond the first.
	maxBatchBytes = 4096
	maxMachines   = 256
)

// logPosition is a place in the order of all commands: versions start at 0 in each epoch.
type logPosition struct{ epoch, version uint64 }

func (p logPosition) before(other logPosition) bool {
	return p.epoch < other.epoch || p.epoch == other.epoch && p.version < other.version
}

func decodePosition(r *encoding.Reader) logPosition {
	return logPosition{epoch: r.Uint(), version: r.Uint()}
}

// logEntry is a command in the log.
type logEntry struct {
	version uint64
	tag     uint64
	machine byte
	command []byte
}

func (e logEntry) encode(w *encoding.Writer) {
	w.Uint(e.version).Uint(e.tag).Uint(uint64(e.machine)).Bytes(e.command)
}

func decodeEntry(r *encoding.Reader) logEntry {
	return logEntry{version: r.Uint(), tag: r.Uint(), machine: byte(r.Uint()), command: r.Bytes(maxBodyBytes)}
}

// replicatedLog is how far this voter's state is and, at a leader, the last entries of its epoch with what voters have of them.
type replicatedLog struct {
	position     logPosition // of the last entry here; a follower has applied it, a leader what is committed
	committed    uint64      // version up to which a majority has all
	entries      []logEntry
	acknowledged map[uint32]uint64 // version by voter; those that have the state of the epoch
}

// reset begins an epoch at its leader.
func (l *replicatedLog) reset(epoch uint64, self uint32) {
	l.position = logPosition{epoch, 0}
	l.committed, l.entries, l.acknowledged = 0, nil, map[uint32]uint64{self: 0}
}

func (l *replicatedLog) full() bool { return l.position.version-l.committed >= maxUncommitted }

func (l *replicatedLog) append(machine byte, tag uint64, cmd []byte) (version uint64) {
	l.position.version++
	l.entries = append(l.entries, logEntry{version: l.position.version, tag: tag, machine: machine, command: append([]byte(nil), cmd...)})
	if len(l.entries) > maxUncommitted {
		l.entries = l.entries[1:]
	}
	return l.position.version
}

func (l *replicatedLog) entry(version uint64) (logEntry, bool) {
	for _, e := range l.entries {
		if e.version == version {
			return e, true
		}
	}
	return logEntry{}, false
}

// holdsAfter reports whether no entry after a version has been dropped.
func (l *replicatedLog) holdsAfter(version uint64) bool {
	return len(l.entries) > 0 && l.entries[0].version <= version+1
}

// batchAfter gives entries after a version, as many as one message takes and one at least.
func (l *replicatedLog) batchAfter(version uint64) (batch []logEntry) {
	var encoded encoding.Writer
	for _, e := range l.entries {
		if e.version > version && (len(batch) == 0 || len(encoded.Data)+len(e.command) < maxBatchBytes) {
			e.encode(&encoded)
			batch = append(batch, e)
		}
	}
	return batch
}

// machineSet is the state machines that the log drives.
type machineSet struct {
	byKind map[byte]group.Machine
	kinds  []byte // sorted
}

func newMachineSet(machines map[byte]group.Machine) machineSet {
	s := machineSet{byKind: machines}
	for kind := range machines {
		s.kinds = append(s.kinds, kind)
	}
	sort.Slice(s.kinds, func(i, j int) bool { return s.kinds[i] < s.kinds[j] })
	return s
}

func (s machineSet) has(kind byte) bool { return s.byKind[kind] != nil }

func (s machineSet) apply(e logEntry) []byte { return s.byKind[e.machine].Apply(e.command) }

func (s machineSet) snapshot() []byte {
	var w encoding.Writer
	w.Uint(uint64(len(s.kinds)))
	for _, kind := range s.kinds {
		w.Uint(uint64(kind)).Bytes(s.byKind[kind].Snapshot())
	}
	return w.Data
}

func (s machineSet) restore(snapshot []byte) bool {
	r := encoding.Reader{Data: snapshot}
	for n := r.Count(maxMachines); n > 0; n-- {
		kind, state := byte(r.Uint()), r.Bytes(maxSnapshotBytes)
		if r.Err() != nil {
			return false
		}
		if m := s.byKind[kind]; m != nil && m.Restore(state) != nil {
			return false
		}
	}
	return r.Err() == nil
}

// uncertainMachine is a machine that has to know when its state may lack what was committed.
type uncertainMachine interface{ MarkUncertain() }

func (s machineSet) markUncertain() {
	for _, kind := range s.kinds {
		if m, ok := s.byKind[kind].(uncertainMachine); ok {
			m.MarkUncertain()
		}
	}
}
