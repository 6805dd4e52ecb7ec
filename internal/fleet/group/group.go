// Package group defines what a replicated group is to its users: the machines that it drives, its effects, errors and status. It depends on no
// implementation, so that a program without voters on disk does not link the raft library, which would cost time at each start.
package group

import (
	"errors"

	"croftlock/internal/fleet/membership"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

// Peer is the number of a member in messages, the same as membership's: it identifies the sender of a datagram.
func Peer(name string) uint32 { return membership.ID(name) }

// Machine is a state machine of the group. The same commands in the same order bring it to the same state at every voter.
type Machine interface {
	// Apply carries out a command, and gives its result to the proposer.
	Apply(cmd []byte) (result []byte)
	// Snapshot encodes the complete state.
	Snapshot() []byte
	// Restore replaces the state by a snapshot. An error changes nothing.
	Restore(data []byte) error
}

// Effects is what a voter has its process do. Byte strings passed are valid during the call only.
type Effects interface {
	Send(peer uint32, msg []byte)
	// Applied reports a command that was applied, with the tag under which this process or another one proposed it.
	Applied(machine byte, tag uint64, result []byte)
	// Confirmed reports that this process still led after Confirm was called with the tag.
	Confirmed(tag uint64)
	LogEvent(event string, args ...any)
}

// Errors of proposals and changes of the group.
var (
	ErrNotLeader      = errors.New("this process does not lead the group")
	ErrCommandTooLong = errors.New("a command over 64 KiB")
	ErrBusy           = errors.New("a change of the group is under way, or too much waits to be agreed on")
)

// Status is what operators see of a voter.
type Status struct {
	Phase      string         `json:"phase"`            // of the voter: see package consensus
	Reason     string         `json:"reason,omitempty"` // of the phase
	ID         string         `json:"id"`
	Starts     uint64         `json:"boots"` // starts on this store
	Term       uint64         `json:"term"`
	Leader     string         `json:"leader"` // name; "": none known
	Commit     uint64         `json:"commit"` // index up to which the log is committed
	Applied    uint64         `json:"applied"`
	Applicants []string       `json:"asks_to_be_added"` // names
	Members    []StatusMember `json:"members"`
}

// StatusMember is a member of the group. Match and Active are known at the leader.
type StatusMember struct {
	Name   string `json:"name"`
	ID     string `json:"id"`
	Votes  bool   `json:"votes"`
	Match  uint64 `json:"match"` // index up to which it has the log
	Active bool   `json:"active"`
}

// StoreError says why a voter's store can't be used.
type StoreError struct {
	Err       error
	InUse     bool // by another process
	Retryable bool // opening it again may succeed without a restart
}

// Error gives the cause.
func (e *StoreError) Error() string { return e.Err.Error() }

// Unwrap gives the cause.
func (e *StoreError) Unwrap() error { return e.Err }
