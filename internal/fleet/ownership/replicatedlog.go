package ownership

import (
	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/group"
)

const (
	// maxUncommitted is the maximum number of entries that wait for a majority.
	maxUncommitted = 64
	// maxBatchBytes bounds the size of the entries in a message. A single entry may be larger.
	maxBatchBytes = 4096
)

// logPosition is a position in the order of all commands. epoch is that of the leader, the ballot with
// which it was elected. version is the number of entries in the epoch's log up to this position, and 0
// for the state with which the epoch began. It is not Table.Version.
type logPosition struct{ epoch, version uint64 }

// before reports whether p is before other.
func (p logPosition) before(other logPosition) bool {
	return p.epoch < other.epoch || p.epoch == other.epoch && p.version < other.version
}

func decodePosition(r *encoding.Reader) logPosition {
	return logPosition{epoch: r.Uint(), version: r.Uint()}
}

// logEntry is a command in the log.
type logEntry struct {
	version uint64 // of the logPosition of this entry; the first entry of an epoch has 1
	tag     uint64 // passed to Propose
	machine byte   // number of the machine that applies the command
	command []byte
}

func (e logEntry) encode(w *encoding.Writer) {
	w.Uint(e.version).Uint(e.tag).Uint(uint64(e.machine)).Bytes(e.command)
}

func decodeEntry(r *encoding.Reader) logEntry {
	return logEntry{version: r.Uint(), tag: r.Uint(), machine: byte(r.Uint()), command: r.Bytes(maxBodyBytes)}
}

// replicatedLog holds this voter's position in the log. At a leader, it also holds the last entries
// of its epoch and the position of each voter.
type replicatedLog struct {
	position  logPosition // of the last entry that this voter has; a follower has applied it, a leader only what is committed
	committed uint64      // at a leader, the version up to which a majority has all entries
	entries   []logEntry  // at a leader, the last entries, at most maxUncommitted, some of them committed
	// acknowledged is, at a leader, the version up to which each voter has all entries, by the voter's
	// peer. It contains only the voters that have the state with which the epoch began.
	acknowledged map[uint32]uint64
}

// reset starts an epoch at its leader, whose peer number is self, with an empty log.
func (l *replicatedLog) reset(epoch uint64, self uint32) {
	l.position = logPosition{epoch, 0}
	l.committed, l.entries, l.acknowledged = 0, nil, map[uint32]uint64{self: 0}
}

// full reports whether no entry may be appended before another is committed.
func (l *replicatedLog) full() bool { return l.position.version-l.committed >= maxUncommitted }

// append adds an entry and returns its version. It drops the oldest entry if there are more than
// maxUncommitted.
func (l *replicatedLog) append(machine byte, tag uint64, cmd []byte) (version uint64) {
	l.position.version++
	l.entries = append(l.entries, logEntry{version: l.position.version, tag: tag, machine: machine, command: append([]byte(nil), cmd...)})
	if len(l.entries) > maxUncommitted {
		l.entries = l.entries[1:]
	}
	return l.position.version
}

// entry returns the entry with a version, and whether the log still contains it.
func (l *replicatedLog) entry(version uint64) (logEntry, bool) {
	for _, e := range l.entries {
		if e.version == version {
			return e, true
		}
	}
	return logEntry{}, false
}

// hasAllAfter reports whether the log still contains all entries after a version.
func (l *replicatedLog) hasAllAfter(version uint64) bool {
	return len(l.entries) > 0 && l.entries[0].version <= version+1
}

// batchAfter returns entries after a version: as many as fit in one message, and at least one if
// there are any.
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

// uncertainMachine is implemented by machines that must know when their state may lack committed
// commands.
type uncertainMachine interface{ MarkUncertain() }

// markUncertain marks the machines that implement uncertainMachine.
func markUncertain(machines group.Machines) {
	machines.Each(func(m group.Machine) {
		if m, ok := m.(uncertainMachine); ok {
			m.MarkUncertain()
		}
	})
}

// encodeState returns the state of all machines, encoded.
func encodeState(machines group.Machines) []byte {
	var w encoding.Writer
	machines.EncodeSnapshots(&w)
	return w.Data
}

// restoreState restores all machines from a state that encodeState returned, and reports whether it
// succeeded.
func restoreState(machines group.Machines, state []byte) bool {
	r := encoding.Reader{Data: state}
	return machines.RestoreSnapshots(&r, maxSnapshotBytes) == nil && r.Err() == nil
}
