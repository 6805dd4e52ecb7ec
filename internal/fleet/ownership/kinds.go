package ownership

import (
	"fmt"

	"croftlock/internal/fleet/encoding"
)

// Each message and each command begins with its kind. The numbers are sent and stored, so they must
// never change. Errors and logs use the names.

// messageKind is the kind of a message between Cores.
type messageKind uint64

const (
	kindLeaseRequest     messageKind = 1
	kindLeaseGranted     messageKind = 2
	kindLeaderRedirect   messageKind = 3
	kindJobOffer         messageKind = 4
	kindJobList          messageKind = 5
	kindJobReleased      messageKind = 6
	kindStoreCheckpoint  messageKind = 7
	kindCheckpointResult messageKind = 8
	kindEffect           messageKind = 9
	kindEffectAck        messageKind = 10
	kindMoveRequest      messageKind = 11
	kindMoveReply        messageKind = 12
	kindQuery            messageKind = 13
	kindQueryReply       messageKind = 14
)

var messageKindNames = map[messageKind]string{
	kindLeaseRequest:     "lease_request",
	kindLeaseGranted:     "lease_granted",
	kindLeaderRedirect:   "leader_redirect",
	kindJobOffer:         "job_offer",
	kindJobList:          "job_list",
	kindJobReleased:      "job_released",
	kindStoreCheckpoint:  "store_checkpoint",
	kindCheckpointResult: "checkpoint_result",
	kindEffect:           "effect",
	kindEffectAck:        "effect_ack",
	kindMoveRequest:      "move_request",
	kindMoveReply:        "move_reply",
	kindQuery:            "query",
	kindQueryReply:       "query_reply",
}

// String returns the kind's name.
func (k messageKind) String() string { return kindName(messageKindNames, k) }

// newWriter returns a Writer for a message of this kind.
func (k messageKind) newWriter() *encoding.Writer {
	var w encoding.Writer
	return w.Uint(uint64(k))
}

// quorumMessageKind is the kind of a message between voters of a Quorum.
type quorumMessageKind uint64

const (
	kindPrepare            quorumMessageKind = 1
	kindPrepareReply       quorumMessageKind = 2
	kindLeaseProposal      quorumMessageKind = 3
	kindLeaseAccepted      quorumMessageKind = 4
	kindStateRequest       quorumMessageKind = 5
	kindStateTransfer      quorumMessageKind = 6
	kindAppendEntries      quorumMessageKind = 7
	kindAppendAcknowledged quorumMessageKind = 8
	kindLeaseYielded       quorumMessageKind = 9
	kindLeaseRejected      quorumMessageKind = 10
)

var quorumMessageKindNames = map[quorumMessageKind]string{
	kindPrepare:            "prepare",
	kindPrepareReply:       "prepare_reply",
	kindLeaseProposal:      "lease_proposal",
	kindLeaseAccepted:      "lease_accepted",
	kindStateRequest:       "state_request",
	kindStateTransfer:      "state_transfer",
	kindAppendEntries:      "append_entries",
	kindAppendAcknowledged: "append_acknowledged",
	kindLeaseYielded:       "lease_yielded",
	kindLeaseRejected:      "lease_rejected",
}

// String returns the kind's name.
func (k quorumMessageKind) String() string { return kindName(quorumMessageKindNames, k) }

// newWriter returns a Writer for a message of this kind to the voters of a group.
func (k quorumMessageKind) newWriter(groupName string) *encoding.Writer {
	var w encoding.Writer
	return w.Uint(uint64(k)).Text(groupName)
}

// commandKind is the kind of a command on the Table, as replicated and stored.
type commandKind uint64

const (
	kindGrant      commandKind = 1
	kindRelease    commandKind = 2
	kindCheckpoint commandKind = 3
	kindRaiseToken commandKind = 4
	kindRegister   commandKind = 5
	kindConfirm    commandKind = 6
)

var commandKindNames = map[commandKind]string{
	kindGrant:      "grant",
	kindRelease:    "release",
	kindCheckpoint: "checkpoint",
	kindRaiseToken: "raise_token",
	kindRegister:   "register",
	kindConfirm:    "confirm",
}

// String returns the kind's name.
func (k commandKind) String() string { return kindName(commandKindNames, k) }

// kindName returns the name of a kind, or "kind_" with its number if the kind is not in names.
func kindName[K ~uint64](names map[K]string, kind K) string {
	if name, known := names[kind]; known {
		return name
	}
	return fmt.Sprintf("kind_%d", uint64(kind))
}
