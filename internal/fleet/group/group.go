// Package group defines the interface of a replicated group to its users: its state machines,
// effects, errors and status. It depends on no implementation, so that a program without voters on
// disk does not link the raft library, which would cost time at each start.
package group

import (
	"errors"

	"croftlock/internal/fleet/membership"
)

// Time is a time or duration in nanoseconds on the caller's monotonic clock.
type Time = int64

// Peer returns the number that identifies a member in messages. It equals the member's ID in
// package membership, which identifies the sender of a datagram.
func Peer(name string) uint32 { return membership.ID(name) }

// Machine is a state machine of the group. It must be deterministic: the same commands in the same
// order must lead to the same state at every voter.
type Machine interface {
	// Apply applies a command and returns its result, which is passed to Effects.Applied.
	Apply(cmd []byte) (result []byte)
	// Snapshot returns an encoding of the complete state.
	Snapshot() []byte
	// Restore replaces the state with a snapshot. If it returns an error the state is unchanged.
	Restore(data []byte) error
}

// Effects is implemented by the process that runs a voter. Byte slices are valid during the call
// only.
type Effects interface {
	// Send sends a message to a peer. The message may be lost.
	Send(peer uint32, msg []byte)
	// Applied reports that a command was applied. The tag is the one with which this process or
	// another one proposed it. A change of the group is reported with machine 0 and a nil result.
	Applied(machine byte, tag uint64, result []byte)
	// Confirmed reports that this process still led after Confirm was called with the tag.
	Confirmed(tag uint64)
	// LogEvent logs an event with alternating keys and values.
	LogEvent(event string, args ...any)
}

// Errors of proposals and changes of the group.
var (
	ErrNotLeader      = errors.New("this process does not lead the group")
	ErrCommandTooLong = errors.New("a command over 64 KiB")
	ErrBusy           = errors.New("a change of the group is under way, or too much waits to be agreed on")
)

// Status describes a voter to operators.
type Status struct {
	Phase      string         `json:"phase"`            // name of a consensus.Phase
	Reason     string         `json:"reason,omitempty"` // why the phase is stale or broken
	ID         string         `json:"id"`               // identity in raft, in hexadecimal
	Starts     uint64         `json:"boots"`            // number of starts with this store
	Term       uint64         `json:"term"`
	Leader     string         `json:"leader"`           // name of the leader; empty if none is known
	Commit     uint64         `json:"commit"`           // index of the last committed log entry
	Applied    uint64         `json:"applied"`          // index of the last applied log entry
	Applicants []string       `json:"asks_to_be_added"` // names of processes that ask to be added
	Members    []StatusMember `json:"members"`
}

// StatusMember describes a member of the group. Match and Active are set only at the leader.
type StatusMember struct {
	Name   string `json:"name"`
	ID     string `json:"id"`
	Votes  bool   `json:"votes"`  // whether the member is a voter
	Match  uint64 `json:"match"`  // index of the last log entry that the member is known to have
	Active bool   `json:"active"` // whether the leader has heard from the member recently
}

// StoreError reports why the store of a voter can't be used.
type StoreError struct {
	Err       error
	InUse     bool // whether another process has the store open
	Retryable bool // whether opening it again may succeed without a restart of the process
}

// Error returns the text of Err.
func (e *StoreError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *StoreError) Unwrap() error { return e.Err }
