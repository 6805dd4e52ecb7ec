// Package group is what a group of voters is to those who build on it, whatever it keeps its votes on. It owns names and errors alone, so that a
// program that has no voters with disks does not carry their library: that costs each start a few milliseconds of processor time, which a
// proxy with a small part of a core feels.
package group

import (
	"errors"

	"croftlock/internal/fleet/membership"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

// Peer names a process in messages, as membership does: by its word of who sent a datagram messages are told apart.
func Peer(name string) uint32 { return membership.ID(name) }

// Machine is a state machine of the group. The same commands in the same order bring it to the same state everywhere.
type Machine interface {
	Apply(cmd []byte) (result []byte)
	Snapshot() []byte
	Restore(data []byte) error
}

// Effects is what a voter can do. What is passed is valid during the call only.
type Effects interface {
	Send(peer uint32, msg []byte)
	// Applied tells that a command was applied, with the tag it was proposed under here or at another process.
	Applied(machine byte, tag uint64, result []byte)
	// Confirmed tells that this process still led after Confirm was called.
	Confirmed(tag uint64)
	LogEvent(event string, args ...any)
}

// Errors of what is asked of a voter.
var (
	ErrNotLeader      = errors.New("this process does not lead the group")
	ErrCommandTooLong = errors.New("a command over 64 KiB")
	ErrBusy           = errors.New("a change of the group is under way, or too much waits to be agreed on")
)

// Status is what operators see of a voter.
type Status struct {
	Phase   string         `json:"phase"`
	Reason  string         `json:"reason,omitempty"`
	ID      string         `json:"id"`
	Boots   uint64         `json:"boots"`
	Term    uint64         `json:"term"`
	Leader  string         `json:"leader"`
	Commit  uint64         `json:"commit"`
	Applied uint64         `json:"applied"`
	Waits   []string       `json:"asks_to_be_added"`
	Members []StatusMember `json:"members"`
}

// StatusMember is one row of it. Match and Active are known at the leader.
type StatusMember struct {
	Name   string `json:"name"`
	ID     string `json:"id"`
	Votes  bool   `json:"votes"`
	Match  uint64 `json:"match"`
	Active bool   `json:"active"`
}

// StoreError is why a voter's store can't be used.
type StoreError struct {
	Err      error
	InUse    bool // by another process
	ByItself bool // it may be opened again by this process
}

func (e *StoreError) Error() string { return e.Err.Error() }
func (e *StoreError) Unwrap() error { return e.Err }
