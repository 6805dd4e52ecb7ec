package ownership

import (
	"fmt"

	"croftlock/internal/fleet/encoding"
)

// maxSnapshotBytes bounds the snapshot of each replicated state machine, and of all of them together.
const maxSnapshotBytes = 1 << 18

// quorumMessage is a message between voters of a group. decodeQuorumMessage is the inverse of encode.
type quorumMessage interface {
	encode(groupName string) []byte
}

// prepareRequest asks voters to promise a ballot, the number of an election: a voter that promises it
// accepts no lower one. It begins the first phase of the election.
type prepareRequest struct{ ballot uint64 }

// prepareReply is the reply to prepareRequest.
type prepareReply struct {
	ballot   uint64
	promised bool        // whether the voter promises the ballot; false if it granted another voter a lease that lasts
	position logPosition // up to which the voter has applied entries
}

// leaseProposal asks voters to grant the leader's lease for an epoch, either the first one or a renewal.
// The epoch is the ballot with which the leader was elected.
type leaseProposal struct {
	ballot, epoch uint64 // the same in an election; a renewal may have a higher ballot
	round         uint64 // rises with each proposal of the sender
}

// leaseAccepted is the reply to a leaseProposal that the voter accepts.
type leaseAccepted struct {
	epoch, round uint64
	position     logPosition // of the voter's last entry
}

// leaseRejected is the reply to a leaseProposal that the voter rejects.
type leaseRejected struct {
	epoch    uint64
	promised uint64 // the highest ballot that the voter has promised
}

// leaseYielded notifies voters that the leader of an epoch gives up its lease.
type leaseYielded struct{ epoch uint64 }

// stateRequest asks the voter with the latest state to send it.
type stateRequest struct{ ballot uint64 }

// stateTransfer carries the state of all machines to a candidate that requested it, or to a
// follower that lags.
type stateTransfer struct {
	term     uint64      // the candidate's ballot, or the leader's epoch
	position logPosition // up to which the state holds the entries
	snapshot []byte      // as returned by encodeState
}

// appendEntries carries entries of the leader's log, in order.
type appendEntries struct {
	epoch   uint64
	entries []logEntry
}

// appendAcknowledged reports to the leader the log position up to which a follower has applied
// entries.
type appendAcknowledged struct{ position logPosition }

func (m prepareRequest) encode(groupName string) []byte {
	return kindPrepare.newWriter(groupName).Uint(m.ballot).Data
}

func (m prepareReply) encode(groupName string) []byte {
	return kindPrepareReply.newWriter(groupName).Uint(m.ballot).Bool(m.promised).Uint(m.position.epoch).Uint(m.position.version).Data
}

func (m leaseProposal) encode(groupName string) []byte {
	return kindLeaseProposal.newWriter(groupName).Uint(m.ballot).Uint(m.epoch).Uint(m.round).Data
}

func (m leaseAccepted) encode(groupName string) []byte {
	return kindLeaseAccepted.newWriter(groupName).Uint(m.epoch).Uint(m.round).Uint(m.position.epoch).Uint(m.position.version).Data
}

func (m leaseRejected) encode(groupName string) []byte {
	return kindLeaseRejected.newWriter(groupName).Uint(m.epoch).Uint(m.promised).Data
}

func (m leaseYielded) encode(groupName string) []byte {
	return kindLeaseYielded.newWriter(groupName).Uint(m.epoch).Data
}

func (m stateRequest) encode(groupName string) []byte {
	return kindStateRequest.newWriter(groupName).Uint(m.ballot).Data
}

func (m stateTransfer) encode(groupName string) []byte {
	return kindStateTransfer.newWriter(groupName).Uint(m.term).Uint(m.position.epoch).Uint(m.position.version).Bytes(m.snapshot).Data
}

func (m appendEntries) encode(groupName string) []byte {
	w := kindAppendEntries.newWriter(groupName).Uint(m.epoch).Uint(uint64(len(m.entries)))
	for _, e := range m.entries {
		e.encode(w)
	}
	return w.Data
}

func (m appendAcknowledged) encode(groupName string) []byte {
	return kindAppendAcknowledged.newWriter(groupName).Uint(m.position.epoch).Uint(m.position.version).Data
}

// decodeQuorumMessage decodes a message and the name of the group that it is for. Byte slices in it
// refer to data and are not copied.
func decodeQuorumMessage(data []byte) (groupName string, m quorumMessage, err error) {
	r := encoding.Reader{Data: data}
	kind := quorumMessageKind(r.Uint())
	groupName = r.Text(maxNameBytes)
	switch kind {
	case kindPrepare:
		m = prepareRequest{ballot: r.Uint()}
	case kindPrepareReply:
		m = prepareReply{ballot: r.Uint(), promised: r.Bool(), position: decodePosition(&r)}
	case kindLeaseProposal:
		m = leaseProposal{ballot: r.Uint(), epoch: r.Uint(), round: r.Uint()}
	case kindLeaseAccepted:
		m = leaseAccepted{epoch: r.Uint(), round: r.Uint(), position: decodePosition(&r)}
	case kindLeaseRejected:
		m = leaseRejected{epoch: r.Uint(), promised: r.Uint()}
	case kindLeaseYielded:
		m = leaseYielded{epoch: r.Uint()}
	case kindStateRequest:
		m = stateRequest{ballot: r.Uint()}
	case kindStateTransfer:
		m = stateTransfer{term: r.Uint(), position: decodePosition(&r), snapshot: r.Bytes(maxSnapshotBytes)}
	case kindAppendEntries:
		m = decodeAppendEntries(&r)
	case kindAppendAcknowledged:
		m = appendAcknowledged{position: decodePosition(&r)}
	default:
		return "", nil, fmt.Errorf("%w: %v, sent between voters", ErrUnknownMessage, kind)
	}
	if err := r.Err(); err != nil {
		return "", nil, malformed(kind, err)
	}
	return groupName, m, nil
}

func decodeAppendEntries(r *encoding.Reader) appendEntries {
	m := appendEntries{epoch: r.Uint()}
	for n := r.Count(maxUncommitted); n > 0; n-- {
		m.entries = append(m.entries, decodeEntry(r))
	}
	return m
}
