// Package jobs implements jobs that one owner does for the whole fleet: SuspendedHosts keeps the
// list of hosts that operators have suspended fleet-wide, and MigrationPermits limits the rate at
// which all proxies together migrate clients. Drill tests the ownership of jobs. Packages rules and
// quota implement further jobs, Publisher and Issuer. Each job has an owner's part, which runs at
// its owner, and a receiver's part, which runs at every process. An owner holds a lease and a token,
// which is higher than those of earlier owners. It acts on the fleet by effects: messages that carry
// its token, so that the fence of a receiver can reject those of a stale owner. Jobs do no I/O and
// read no clock.
package jobs

import (
	"croftlock/internal/fleet/ownership"
)

// Time is a point in time or a duration, in nanoseconds on the caller's monotonic clock.
type Time = int64

const (
	ms  = Time(1e6)
	sec = Time(1e9)
)

// Member is a process of the fleet, as known to membership.
type Member struct {
	Name string
	Peer uint32 // identifies the member in messages; see group.Peer
	// Incarnation is membership's, or ownership's for this process itself. It must only be compared
	// for equality, to distinguish processes that had the same name.
	Incarnation uint64
	Present     bool // whether the member is alive, suspect or joining
}

// Owner provides the operations that a job may use at its owner. It is valid from Job.Start to
// Job.Stop.
type Owner interface {
	// SendEffect sends an effect to a receiver, with the owner's token and number as the sequence of
	// its fencing token. It sends nothing once the lease has ended.
	SendEffect(to uint32, number uint64, body []byte)
	// StoreCheckpoint asks the replicated group to store a checkpoint under a number, which must
	// increase. The result is passed to Job.CheckpointStored. StoreCheckpoint returns an error if the
	// lease has ended or the checkpoint is longer than ownership.MaxCheckpointBytes.
	StoreCheckpoint(number uint64, checkpoint []byte) error
	// Reply replies to the query with this tag.
	Reply(to uint32, tag uint64, body []byte)
	// Members returns the processes of the fleet, this one included, except those that have left,
	// are gone, or are not known by name. The caller must not modify the slice.
	Members() []Member
}

// Job is a job as one process runs it. ApplyEffect is the receiver's part and is called at every
// process. The other methods are the owner's part and are called from Start to Stop. Calls never
// overlap. If the owner's part panics, the job is released.
type Job interface {
	// Start continues from the last owner's checkpoint. That owner has released the job, or its
	// lease has ended even allowing for clock drift. Its effects that are still in flight are
	// rejected by the fences of receivers that have accepted an effect of this owner. An error
	// releases the job.
	Start(now Time, o Owner, token, checkpointNumber uint64, checkpoint []byte) error
	// Step is called about every 100 ms.
	Step(now Time)
	// Stop ends the owner's part. It returns the checkpoint for the next owner, with a number above
	// those of all stored checkpoints.
	Stop() (checkpointNumber uint64, checkpoint []byte)
	// QueryReceived handles a query from a process. The job may reply to it later, with Owner.Reply.
	QueryReceived(now Time, from uint32, tag uint64, body []byte)
	// EffectAcknowledged reports a receiver's verdict on an effect.
	EffectAcknowledged(now Time, from uint32, token ownership.FencingToken, v ownership.Verdict)
	// CheckpointStored is called once the group has stored a checkpoint, or with stored false if it
	// has rejected it.
	CheckpointStored(now Time, checkpointNumber uint64, stored bool)
	// ApplyEffect applies an effect that the fence of this process has accepted.
	ApplyEffect(now Time, token ownership.FencingToken, body []byte)
}
