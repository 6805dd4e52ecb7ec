// Package ownership gives each of the fleet's jobs one owner at a time.
//
// Each grant of a job carries a token that only rises, and each owner holds a lease. Two properties follow:
//
//   - Lease: an owner stops by itself before the coordinator counts its lease as ended. The owner counts the lease shorter, the coordinator
//     longer, by more than clocks can drift apart. This is not enough alone: an owner may sleep between its check and its act.
//   - Fencing: every receiver remembers the highest token of each job (Fence) and rejects effects under lower ones: after a later owner's effect
//     a stale owner's changes nothing, while the receiver's process runs. A new process begins with an empty Fence. Replies to queries carry
//     no token: they are safe by the lifetimes that receivers count from the query (leases of rules, grants of quota, permits for migrations).
//
// The jobs, their owners and tokens form a Table, replicated by a Group of voters: with disks (package consensus) or from memory (Quorum). The
// process that leads the group is the coordinator: it tracks members by their lease requests and assigns jobs to them.
//
// Core is one process's part, Quorum one voter's. Both are state machines: no I/O, no clock, no goroutine. The caller passes the time and
// the messages in, and Effects carry results out, so that a run can be replayed. docs/design-ownership.md describes the protocol.
package ownership

import "errors"

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

const (
	ms  = Time(1e6)
	sec = Time(1e9)

	maxNameBytes   = 64
	maxReasonBytes = 200
	maxBodyBytes   = 1 << 16

	// MaxCheckpointBytes bounds the checkpoint of a job, in bytes.
	MaxCheckpointBytes = 32 << 10
	// MaxJobs bounds the jobs of a fleet.
	MaxJobs = 1000
)

// clockDriftDivisor: the holder of a lease counts a fiftieth less and the coordinator a fiftieth more, so that each clock may be fast or slow by 2 %.
// A voter of a Quorum counts its grant at its full length: there the two clocks may differ by 2 % in sum.
const clockDriftDivisor = 50

// leaseAtHolder is a duration as the holder of a lease counts it.
func leaseAtHolder(d Time) Time { return d - d/clockDriftDivisor }

// leaseAtGrantor is a duration as the grantor of a lease counts it.
func leaseAtGrantor(d Time) Time { return d + d/clockDriftDivisor }

// Events and fields that others than the log act on.
const (
	EventStaleEffectRejected = "stale_effect_rejected"
	EventQuorumLeaderElected = "quorum_leader_elected"
	FieldStateComplete       = "state_complete" // of EventQuorumLeaderElected: false where committed commands may be missing
)

// Errors of messages, commands and calls. Returned errors wrap them.
var (
	ErrMalformedMessage   = errors.New("ownership: malformed message")
	ErrUnknownMessage     = errors.New("ownership: unknown message kind")
	ErrSenderMismatch     = errors.New("ownership: message names another sender than it came from")
	ErrNotVoter           = errors.New("ownership: message of another group or not from a voter")
	ErrNotOwner           = errors.New("ownership: this process does not own the job")
	ErrCheckpointTooLarge = errors.New("ownership: checkpoint too large")
	ErrInvalidConfig      = errors.New("ownership: invalid configuration")
	ErrUnsupportedTable   = errors.New("ownership: unsupported table version")
)

// Group agrees on commands. A leader may have been deposed without knowing it; Confirm finds out.
type Group interface {
	Tick(now Time)
	Receive(now Time, from uint32, msg []byte) error
	// Leading gives the epoch in which this process believes to lead. Epochs only rise.
	Leading() (epoch uint64, ok bool)
	// Leader gives the peer that this process takes for the leader; 0: none.
	Leader() uint32
	// Propose has a command replicated; Core.Applied is called with the tag once it is applied.
	Propose(now Time, machine byte, tag uint64, cmd []byte) error
	// Confirm queries the voters whether this process still leads; Core.Confirmed is called with the tag if so.
	Confirm(now Time, tag uint64) error
	// TransferLeadership gives up the lead.
	TransferLeadership(now Time)
}
