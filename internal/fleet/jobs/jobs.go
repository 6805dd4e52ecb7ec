// Package jobs owns what the fleet does once and not at each proxy: the hosts that are out by hand everywhere, and the pace at which all
// proxies together send clients away. Each job has an owner's part and a receiver's. They do no I/O and read no clock.
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
	Incarnation uint64
	Present     bool // alive, or not known not to be
}

// Owner is what a job's owner can do.
type Owner interface {
	// SendEffect sends an effect to a receiver; the token is the owner's, and nothing is sent once its lease has ended.
	SendEffect(to uint32, number uint64, body []byte)
	// StoreCheckpoint has what the job leaves kept by the group. The answer comes to Noted.
	StoreCheckpoint(number uint64, left []byte) error
	Reply(to uint32, tag uint64, body []byte)
	Members() []Member
}

// Job is one job at one process. Start to Stop are the owner's part; Effect is a receiver's.
type Job interface {
	Start(now Time, o Owner, token, number uint64, left []byte) error
	Step(now Time)
	Stop() (number uint64, left []byte)
	QueryReceived(now Time, from uint32, tag uint64, body []byte)
	EffectAcknowledged(now Time, from uint32, m ownership.FencingToken, v ownership.Verdict)
	CheckpointStored(now Time, number uint64, ok bool)
	ApplyEffect(now Time, m ownership.FencingToken, body []byte)
}
