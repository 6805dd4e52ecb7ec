// Package ownership assigns each of the fleet's jobs to one owner at a time.
//
// Each grant of a job carries a fencing token, which only rises, and each owner holds a lease. The
// code relies on two properties, and its comments refer to them by name:
//
//   - Lease: an owner stops by itself before the coordinator considers its lease expired. The owner
//     shortens the lease and the coordinator lengthens it, by more than their clocks can drift apart.
//     The lease alone is not enough: an owner may be paused between checking it and acting.
//   - Fencing: every receiver remembers the highest token of each job (Fence). An effect is a
//     message by which an owner changes a receiver. Effects with lower tokens are rejected, so that a
//     stale owner changes nothing once the receiver has accepted an effect of a later owner. The
//     memory lasts as long as the receiver's process: a new process starts with an empty Fence.
//     Replies to queries carry no token. They are safe because receivers limit their lifetime,
//     counted from the query (leases of rules, grants of quota, permits for migrations).
//
// The jobs with their owners and tokens form a Table, which a Group of voters replicates, either on
// disk (package consensus) or in memory (Quorum). The process that leads the group is the
// coordinator: it tracks members by their lease requests and assigns jobs to them.
//
// Core implements one process, and Quorum one voter. Both are state machines without I/O, clocks or
// goroutines. The caller passes in the time and the messages, and they report results through
// Effects, so that a run can be replayed. docs/design-ownership.md describes the protocol.
package ownership

import "errors"

// Time is a point in time or a duration, in nanoseconds on the caller's monotonic clock.
type Time = int64

const (
	ms  = Time(1e6)
	sec = Time(1e9)

	maxNameBytes   = 64      // of the name of a member, a job or a group
	maxReasonBytes = 200     // of a reason's text
	maxBodyBytes   = 1 << 16 // of an effect, a query, a reply or a replicated command

	// MaxCheckpointBytes is the maximum size of a job's checkpoint.
	MaxCheckpointBytes = 32 << 10
	// MaxJobs is the maximum number of jobs of a fleet.
	MaxJobs = 1000
)

// clockDriftDivisor divides a lease to yield the part by which its holder shortens it and the
// coordinator lengthens it: a fiftieth, so that each clock may be fast or slow by 2 %. A voter of a
// Quorum counts the full lease, so the clocks of voter and leader may differ by 2 % in total.
const clockDriftDivisor = 50

// leaseAtHolder returns how long the holder of a lease of length d relies on it.
func leaseAtHolder(d Time) Time { return d - d/clockDriftDivisor }

// leaseAtGrantor returns how long the grantor of a lease of length d waits before it considers the
// lease expired.
func leaseAtGrantor(d Time) Time { return d + d/clockDriftDivisor }

// Log events and fields that other packages also act on.
const (
	EventStaleEffectRejected = "stale_effect_rejected"
	EventQuorumLeaderElected = "quorum_leader_elected"
	FieldStateComplete       = "state_complete" // of EventQuorumLeaderElected; false if committed commands may be missing
)

// Errors that this package returns, wrapped with details.
var (
	ErrMalformedMessage   = errors.New("ownership: malformed message")
	ErrUnknownMessage     = errors.New("ownership: unknown message kind")
	ErrSenderMismatch     = errors.New("ownership: sender named in the message is not the peer that sent it")
	ErrNotVoter           = errors.New("ownership: message from another group or not from a voter")
	ErrNotOwner           = errors.New("ownership: this process does not own the job")
	ErrCheckpointTooLarge = errors.New("ownership: checkpoint too large")
	ErrInvalidConfig      = errors.New("ownership: invalid configuration")
	ErrUnsupportedTable   = errors.New("ownership: unsupported table version")
)

// Group is one voter's view of a replicated group, which agrees on a sequence of commands. A leader
// may have been replaced without knowing it; Confirm checks that.
type Group interface {
	// Tick lets the group act on the time that has passed. Core.Tick calls it.
	Tick(now Time)
	// Receive handles a message from another voter.
	Receive(now Time, from uint32, msg []byte) error
	// Leading reports whether this process believes that it leads, and in which epoch. Epochs only
	// rise.
	Leading() (epoch uint64, ok bool)
	// Leader returns the peer that this process believes to be the leader, or 0 if it knows none.
	Leader() uint32
	// Propose starts the replication of a command to the state machine with a number. Core.Applied is
	// called with the tag once the command is applied. Propose returns an error if the group does not
	// accept the command.
	Propose(now Time, machine byte, tag uint64, cmd []byte) error
	// Confirm asks the voters whether this process still leads. Core.Confirmed is called with the
	// tag if it does. Confirm returns an error if this process already knows that it does not lead.
	Confirm(now Time, tag uint64) error
	// TransferLeadership gives up the leadership, if this process has it.
	TransferLeadership(now Time)
}
