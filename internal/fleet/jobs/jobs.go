// Package jobs holds what the fleet does once and not at each proxy: the hosts that operators have suspended everywhere, and the rate at which
// all proxies together migrate clients. Drill is for trying the fleet's owners. rules.Publisher and quota.Issuer are jobs too. Each job has an
// owner's part and a receiver's part. Jobs do no I/O and read no clock.
package jobs

import (
	"croftlock/internal/fleet/ownership"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

const (
	ms  = Time(1e6)
	sec = Time(1e9)
)

// Member is a process of the fleet, as membership has it.
type Member struct {
	Name        string
	Peer        uint32
	Incarnation uint64 // membership's; of this process itself ownership's. It only tells processes apart
	Present     bool   // alive, suspect or joining
}

// Owner is what a job can do while it is owned. It is valid from Job.Start to Job.Stop.
type Owner interface {
	// SendEffect sends an effect to a receiver, under the owner's fencing token. Nothing is sent once the lease has ended.
	SendEffect(to uint32, number uint64, body []byte)
	// StoreCheckpoint has a checkpoint stored by the group, under a number that rises; Job.CheckpointStored gets the result. An error says that
	// the lease has ended.
	StoreCheckpoint(number uint64, checkpoint []byte) error
	// Reply answers a query.
	Reply(to uint32, tag uint64, body []byte)
	// Members are the processes of the fleet that are known by name and have neither left nor are gone.
	Members() []Member
}

// Job is one job at one process. ApplyEffect is the receiver's part, at every process; the other methods are the owner's part, from Start to
// Stop. Calls never overlap. A panic releases the job.
type Job interface {
	// Start continues from the last owner's checkpoint. That owner has released the job, or its lease has surely ended; effects of it that are
	// still in flight are rejected by the receivers' fences. An error releases the job.
	Start(now Time, o Owner, token, checkpointNumber uint64, checkpoint []byte) error
	// Step is called about every 100 ms.
	Step(now Time)
	// Stop ends the owner's part, and gives a checkpoint under a number above all that were stored.
	Stop() (checkpointNumber uint64, checkpoint []byte)
	// QueryReceived takes a query from another process; Owner.Reply answers it.
	QueryReceived(now Time, from uint32, tag uint64, body []byte)
	// EffectAcknowledged reports a receiver's verdict on an effect.
	EffectAcknowledged(now Time, from uint32, token ownership.FencingToken, v ownership.Verdict)
	// CheckpointStored reports whether the group has stored a checkpoint.
	CheckpointStored(now Time, checkpointNumber uint64, stored bool)
	// ApplyEffect carries out an effect that the fence has accepted.
	ApplyEffect(now Time, token ownership.FencingToken, body []byte)
}
