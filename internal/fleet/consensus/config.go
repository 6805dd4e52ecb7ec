package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"

	"croftlock/internal/fleet/group"
)

// Time is a time or duration in nanoseconds on the caller's monotonic clock.
type Time = group.Time

type (
	// Machine is a state machine of the group.
	Machine = group.Machine
	// Effects receives the messages, results and log events of a replica.
	Effects = group.Effects
	// Status describes a replica to operators.
	Status = group.Status
	// StatusMember describes one member in a Status.
	StatusMember = group.StatusMember
)

// Errors that Core's methods return for commands and changes of the group.
var (
	ErrNotLeader      = group.ErrNotLeader
	ErrCommandTooLong = group.ErrCommandTooLong
	ErrBusy           = group.ErrBusy
)

const (
	// maxMessageBytes bounds the entries in one message of the raft library, maxInflightMessages the
	// unacknowledged messages to each replica, and maxUncommittedBytes the leader's uncommitted
	// entries.
	maxMessageBytes     = 2048
	maxInflightMessages = 16
	maxUncommittedBytes = 1 << 20
)

const (
	maxCommandBytes  = 64 << 10 // of a command passed to Propose
	maxNameBytes     = 64       // of the name of a group or a process
	maxInitialVoters = 9
	// maxMachineBytes bounds the state of one machine in a snapshot.
	maxMachineBytes = 150 << 10

	defaultTickInterval    = Time(1e8) // 100 ms
	defaultHeartbeatTicks  = 2
	defaultElectionTicks   = 8
	defaultSnapshotEvery   = 512
	defaultTrailingEntries = 128
)

// Config configures a Core. A numeric option that is zero or negative selects its default.
type Config struct {
	// Group and Name name the group and this process.
	Group, Name string
	// InitialVoters lists the names of the 1 to 9 voters that bootstrap the group. All processes
	// must have the same list.
	InitialVoters []string
	// Seed seeds the random numbers: election timeouts, the incarnation and new identities.
	Seed uint64
	// TickInterval is the time between two calls of Tick. The default is 100 ms.
	TickInterval Time
	// HeartbeatTicks is the number of ticks between two heartbeats of a leader. The default is 2.
	HeartbeatTicks int
	// ElectionTicks is the shortest election timeout, in ticks. A follower considers its leader
	// lost after a random time between this and twice this without a message from it. The default
	// is 8.
	ElectionTicks int
	// SnapshotEvery is the number of applied log entries after which a snapshot is taken. The
	// default is 512.
	SnapshotEvery int
	// TrailingEntries is the number of log entries that are kept although a snapshot covers them,
	// for replicas that lag. The default is 128.
	TrailingEntries int
}

// withDefaults validates cfg and returns it with the defaults set.
func (cfg Config) withDefaults() (Config, error) {
	if cfg.Name == "" || len(cfg.Name) > maxNameBytes || len(cfg.InitialVoters) == 0 || len(cfg.InitialVoters) > maxInitialVoters {
		return cfg, fmt.Errorf("consensus: the name must have 1 to %d bytes and there must be 1 to %d initial voters, got name %q and %d voters", maxNameBytes, maxInitialVoters, cfg.Name, len(cfg.InitialVoters))
	}
	setDefault(&cfg.TickInterval, defaultTickInterval)
	setDefault(&cfg.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&cfg.ElectionTicks, defaultElectionTicks)
	setDefault(&cfg.SnapshotEvery, defaultSnapshotEvery)
	setDefault(&cfg.TrailingEntries, defaultTrailingEntries)
	return cfg, nil
}

// setDefault sets *value to fallback unless it is positive.
func setDefault[T int | Time](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// electionTimeout returns the shortest time after which a follower considers its leader lost.
func (cfg Config) electionTimeout() Time { return Time(cfg.ElectionTicks) * cfg.TickInterval }

// raftConfig returns the configuration of the raft library.
func (c *Core) raftConfig() *raft.Config {
	return &raft.Config{
		ID:                        c.identity.ID,
		ElectionTick:              c.cfg.ElectionTicks,
		HeartbeatTick:             c.cfg.HeartbeatTicks,
		Storage:                   currentSnapshots{c.storage, c},
		Applied:                   c.applied.index,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    panicLogger{},
	}
}
