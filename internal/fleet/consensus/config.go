package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"

	"croftlock/internal/fleet/group"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = group.Time

type (
	// Machine is a state machine of the group.
	Machine = group.Machine
	// Effects is what a replica can do.
	Effects = group.Effects
	// Status is what operators see of a replica.
	Status = group.Status
	// StatusMember is one member in a Status.
	StatusMember = group.StatusMember
)

// Errors of requests to a Core.
var (
	ErrNotLeader      = group.ErrNotLeader
	ErrCommandTooLong = group.ErrCommandTooLong
	ErrBusy           = group.ErrBusy
)

const (
	// Bounds on what the raft library has in flight to each replica, and on uncommitted entries.
	maxMessageBytes     = 2048
	maxInflightMessages = 16
	maxUncommittedBytes = 1 << 20
)

const (
	maxCommandBytes  = 64 << 10
	maxNameBytes     = 64
	maxInitialVoters = 9
	// maxMachineBytes bounds one machine's state in a snapshot.
	maxMachineBytes = 150 << 10

	defaultTickInterval    = Time(1e8) // 100 ms
	defaultHeartbeatTicks  = 2
	defaultElectionTicks   = 8
	defaultSnapshotEvery   = 512
	defaultTrailingEntries = 128
)

// Config is what a process is configured with.
type Config struct {
	Group, Name     string
	InitialVoters   []string // voters at the group's first start, by name, 1 to 9; the same list everywhere
	Seed            uint64
	TickInterval    Time // between two calls of Tick; 0: 100 ms
	HeartbeatTicks  int  // between two heartbeats of a leader; 0: 2
	ElectionTicks   int  // a leader without a message for this to twice this, drawn at random, counts as lost; 0: 8
	SnapshotEvery   int  // commands after which a snapshot is taken; 0: 512
	TrailingEntries int  // commands kept behind a snapshot, for replicas that lag; 0: 128
}

// withDefaults checks a configuration and sets the defaults.
func (cfg Config) withDefaults() (Config, error) {
	if cfg.Name == "" || len(cfg.Name) > maxNameBytes || len(cfg.InitialVoters) == 0 || len(cfg.InitialVoters) > maxInitialVoters {
		return cfg, fmt.Errorf("consensus: a name of 1 to %d bytes and 1 to 9 first voters are possible, not %q and %d", maxNameBytes, cfg.Name, len(cfg.InitialVoters))
	}
	setDefault(&cfg.TickInterval, defaultTickInterval)
	setDefault(&cfg.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&cfg.ElectionTicks, defaultElectionTicks)
	setDefault(&cfg.SnapshotEvery, defaultSnapshotEvery)
	setDefault(&cfg.TrailingEntries, defaultTrailingEntries)
	return cfg, nil
}

func setDefault[T int | Time](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// electionTimeout is the shortest time after which a leader counts as lost.
func (cfg Config) electionTimeout() Time { return Time(cfg.ElectionTicks) * cfg.TickInterval }

// raftConfig is the raft library's configuration.
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
