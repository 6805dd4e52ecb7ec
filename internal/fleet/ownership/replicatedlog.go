package ownership

import (
	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/group"
)

const (
	// maxUncommitted bounds the entries that wait for a majority.
	maxUncommitted = 64
	// maxBatchBytes bounds the entries of one message, beyond the first.
	maxBatchBytes = 4096
)

// logPosition is a place in the order of all commands. version is the index in the epoch's log, from 0 in each epoch; it is not Table.Version.
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

// replicatedLog is how far this voter's state is and, at a leader, the last entries of its epoch and how far each voter has them.
type replicatedLog struct {
	position     logPosition // of the last entry here; a follower has applied it, a leader what is committed
	committed    uint64      // version up to which a majority has all
	entries      []logEntry
	acknowledged map[uint32]uint64 // version that each voter has, for those with the state of the epoch
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

// hasAllAfter reports whether the log still has all entries after a version.
func (l *replicatedLog) hasAllAfter(version uint64) bool {
	return len(l.entries) > 0 && l.entries[0].version <= version+1
}

// batchAfter gives the entries after a version, as many as one message takes and at least one.
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

// uncertainMachine is a machine that has to know when its state may lack what was committed.
type uncertainMachine interface{ MarkUncertain() }

func markUncertain(machines group.Machines) {
	machines.Each(func(m group.Machine) {
		if m, ok := m.(uncertainMachine); ok {
			m.MarkUncertain()
		}
	})
}

// encodeState encodes the state of all machines.
func encodeState(machines group.Machines) []byte {
	var w encoding.Writer
	machines.EncodeSnapshots(&w)
	return w.Data
}

// restoreState reports whether all machines could be restored from an encoded state.
func restoreState(machines group.Machines, state []byte) bool {
	r := encoding.Reader{Data: state}
	return machines.RestoreSnapshots(&r, maxSnapshotBytes) == nil && r.Err() == nil
}
