package ownership

import (
	"fmt"

	"croftlock/internal/fleet/encoding"
)

// maxSnapshotBytes bounds the state of one machine, and of all together.
const maxSnapshotBytes = 1 << 18

// quorumMessage is one message between voters of a group. decodeQuorumMessage is the inverse of encode.
type quorumMessage interface {
	encode(groupName string) []byte
}

// prepareRequest requests voters to promise a ballot: the first phase of an election.
type prepareRequest struct{ ballot uint64 }

// prepareReply answers it.
type prepareReply struct {
	ballot   uint64
	promised bool        // false: another's lease lasts
	position logPosition // of the voter's state
}

// leaseProposal requests voters to accept a lease for an epoch, the first one or a renewal.
type leaseProposal struct {
	ballot, epoch uint64
	round         uint64 // of the proposer
}

// leaseAccepted grants it.
type leaseAccepted struct {
	epoch, round uint64
	position     logPosition
}

// leaseRejected rejects it.
type leaseRejected struct {
	epoch    uint64
	promised uint64 // the voter's highest ballot
}

// leaseYielded notifies voters that the leader of an epoch gives up its lease.
type leaseYielded struct{ epoch uint64 }

// stateRequest requests the state from the voter with the latest one.
type stateRequest struct{ ballot uint64 }

// stateTransfer is the state of all machines, for a candidate that requested it or for a follower that lags.
type stateTransfer struct {
	term     uint64 // the candidate's ballot, or the leader's epoch
	position logPosition
	snapshot []byte
}

// appendEntries are commands of the leader, in order.
type appendEntries struct {
	epoch   uint64
	entries []logEntry
}

// appendAcknowledged reports to the leader how far a follower's state is.
type appendAcknowledged struct{ position logPosition }

func (m prepareRequest) encode(groupName string) []byte {
	return kindPrepare.begin(groupName).Uint(m.ballot).Data
}

func (m prepareReply) encode(groupName string) []byte {
	return kindPrepareReply.begin(groupName).Uint(m.ballot).Bool(m.promised).Uint(m.position.epoch).Uint(m.position.version).Data
}

func (m leaseProposal) encode(groupName string) []byte {
	return kindLeaseProposal.begin(groupName).Uint(m.ballot).Uint(m.epoch).Uint(m.round).Data
}

func (m leaseAccepted) encode(groupName string) []byte {
	return kindLeaseAccepted.begin(groupName).Uint(m.epoch).Uint(m.round).Uint(m.position.epoch).Uint(m.position.version).Data
}

func (m leaseRejected) encode(groupName string) []byte {
	return kindLeaseRejected.begin(groupName).Uint(m.epoch).Uint(m.promised).Data
}

func (m leaseYielded) encode(groupName string) []byte {
	return kindLeaseYielded.begin(groupName).Uint(m.epoch).Data
}

func (m stateRequest) encode(groupName string) []byte {
	return kindStateRequest.begin(groupName).Uint(m.ballot).Data
}

func (m stateTransfer) encode(groupName string) []byte {
	return kindStateTransfer.begin(groupName).Uint(m.term).Uint(m.position.epoch).Uint(m.position.version).Bytes(m.snapshot).Data
}

func (m appendEntries) encode(groupName string) []byte {
	w := kindAppendEntries.begin(groupName).Uint(m.epoch).Uint(uint64(len(m.entries)))
	for _, e := range m.entries {
		e.encode(w)
	}
	return w.Data
}

func (m appendAcknowledged) encode(groupName string) []byte {
	return kindAppendAcknowledged.begin(groupName).Uint(m.position.epoch).Uint(m.position.version).Data
}

// decodeQuorumMessage decodes one message, and the name of the group that it is for. Byte strings in it are parts of data, not copies.
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
		return "", nil, fmt.Errorf("%w: %v between voters", ErrUnknownMessage, kind)
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
