package ownership

import (
	"fmt"
	"slices"

	"croftlock/internal/fleet/group"
)

// Config describes a process to its Core.
type Config struct {
	Name        string       // member name
	Incarnation uint64       // of the process, above 0; the owner agent passes its start in Unix milliseconds
	Voters      []string     // names of those that may lead the group
	Jobs        []string     // that this process can own
	Lease       Time         // how long an owner continues without the coordinator; default 2 s
	WallClock   func() int64 // wall clock, Unix milliseconds; default always 0
	Faults      FaultInjection
}

const defaultLease = 2 * sec

func (cfg Config) withDefaults() Config {
	if cfg.Lease <= 0 {
		cfg.Lease = defaultLease
	}
	if cfg.WallClock == nil {
		cfg.WallClock = func() int64 { return 0 }
	}
	return cfg
}

func (cfg Config) validate() error {
	if cfg.Name == "" || len(cfg.Name) > maxNameBytes || cfg.Incarnation == 0 || len(cfg.Voters) == 0 || len(cfg.Jobs) > MaxJobs {
		return fmt.Errorf("%w: name %q, incarnation %d, %d voters, %d jobs", ErrInvalidConfig, cfg.Name, cfg.Incarnation, len(cfg.Voters), len(cfg.Jobs))
	}
	return nil
}

// Effects is what a Core has done by its process. Byte strings passed are valid during the call only.
type Effects interface {
	Send(peer uint32, msg []byte)
	// Start begins a job under a token, from the last checkpoint. A job that can't start gives an error and is released.
	Start(job string, token, checkpointNumber uint64, checkpoint []byte) error
	// Stop ends a job before it returns. It gives the checkpoint for the next owner, under a number above the last one stored.
	Stop(job string, token uint64, reason ReleaseReason) (checkpointNumber uint64, checkpoint []byte)
	// ApplyEffect carries out an effect that the fence has accepted.
	ApplyEffect(job string, token FencingToken, body []byte)
	// EffectAcknowledged passes a receiver's verdict to the owner of the job.
	EffectAcknowledged(peer uint32, job string, token FencingToken, v Verdict, highest FencingToken)
	// CheckpointStored reports to an owner whether a checkpoint was stored or rejected.
	CheckpointStored(job string, token, checkpointNumber uint64, stored bool)
	// QueryReceived passes on a query to a job that this process owns.
	QueryReceived(peer uint32, job string, tag uint64, body []byte)
	// ReplyReceived passes on the answer to Core.Query or Core.MoveJob.
	ReplyReceived(tag uint64, body []byte)
	LogEvent(event string, args ...any)
}

// processID distinguishes two processes of one name: during a replacement both run for a moment.
type processID struct {
	name        string
	incarnation uint64
}

// environment is what the participant and the coordinator of one process share.
type environment struct {
	cfg     Config
	effects Effects
	group   Group // nil: this process is no voter
	table   *Table
	self    uint32 // peer
	now     Time
	toSelf  [][]byte // messages to this process, delivered after the current step
}

func (e *environment) advance(now Time) { e.now = max(e.now, now) }

func (e *environment) processID() processID { return processID{e.cfg.Name, e.cfg.Incarnation} }

// send sends an encoded message. One to this process waits for the end of the current step.
func (e *environment) send(peer uint32, data []byte) {
	if peer == e.self {
		e.toSelf = append(e.toSelf, slices.Clone(data))
		return
	}
	e.effects.Send(peer, data)
}

// Core is one process's part: a participant that may own jobs, a receiver of effects behind a fence, and the coordinator while the
// process leads the group. Its methods must not be called concurrently.
type Core struct {
	*environment
	fence       *Fence
	participant *participant
	coordinator *coordinator
	delivering  bool // messages to this process are being delivered
}

// New makes a process's part. table is the one that group replicates.
func New(cfg Config, group Group, table *Table, fence *Fence, effects Effects) (*Core, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	env := &environment{cfg: cfg.withDefaults(), effects: effects, group: group, table: table, self: peerOf(cfg.Name)}
	return &Core{environment: env, fence: fence, participant: newParticipant(env), coordinator: newCoordinator(env)}, nil
}

func peerOf(name string) uint32 { return group.Peer(name) }

// Tick is to be called every 50 to 100 ms. The end of the lease stops all jobs here.
func (c *Core) Tick(now Time) {
	c.advance(now)
	defer c.deliverToSelf()
	c.participant.stopAtLeaseEnd()
	if c.group != nil {
		c.group.Tick(c.now)
		c.coordinator.tick()
	}
	c.participant.tick()
}

// Applied is the group's report that a proposed command was applied.
func (c *Core) Applied(now Time, tag uint64, result []byte) {
	c.advance(now)
	defer c.deliverToSelf()
	c.coordinator.commandApplied(tag, result)
}

// Confirmed is the group's report that this process still led after Confirm was called.
func (c *Core) Confirmed(now Time, tag uint64) {
	c.advance(now)
	defer c.deliverToSelf()
	c.coordinator.leadershipConfirmed(tag)
}

// SetGroup replaces the group; nil: this process is no voter, as while its store has failed. The table stays.
func (c *Core) SetGroup(g Group) {
	c.group = g
	c.coordinator.stepDown()
}

// TransferLeadership gives up the lead of the group.
func (c *Core) TransferLeadership(now Time) {
	if c.group != nil {
		c.group.TransferLeadership(now)
	}
}

// SetEligible sets whether this process is fit to own jobs: not while its replica's store can't be used.
func (c *Core) SetEligible(eligible bool) { c.participant.eligible = eligible }

// SetUnheardBy sets by how many members that have not left each member is not heard; this is not the state membership.Unreachable. The
// coordinator keeps jobs away from members that others do not hear.
func (c *Core) SetUnheardBy(unheardBy map[string]int) {
	c.coordinator.unheardBy = unheardBy
}

// Leave releases all jobs, and takes none any more. text is stored as the reason.
func (c *Core) Leave(now Time, text string) {
	c.advance(now)
	defer c.deliverToSelf()
	c.participant.leave(text)
}

// HasLeft reports whether the coordinator has taken back all that Leave released, or the lease has ended. A coordinator that leaves waits for
// its proposals as well: a job that it has granted without notifying the new owner would have none until the next coordinator's first list.
func (c *Core) HasLeft() bool {
	if c.participant.leaseEnded() {
		return true
	}
	return len(c.participant.jobs) == 0 && (!c.coordinator.leads() || c.coordinator.proposals.empty())
}

// JobFailed releases a job that ended by a fault of its own. cause is stored.
func (c *Core) JobFailed(now Time, job string, token uint64, cause string) {
	c.advance(now)
	defer c.deliverToSelf()
	c.participant.jobFailed(job, token, cause)
}

// IsOwner reports whether this process may act as a job's owner under a token now. Lease alone: the process may be paused right after the call,
// and then only the receivers' fences reject what it sends.
func (c *Core) IsOwner(now Time, job string, token uint64) bool {
	c.advance(now)
	return c.participant.ownsUnder(job, token)
}

// Leader is the peer that this process takes for the coordinator; 0: none.
func (c *Core) Leader() uint32 { return c.participant.lease.leader }

// LeaseRemaining is how long this process may go on as an owner.
func (c *Core) LeaseRemaining(now Time) Time { return max(0, c.participant.lease.end-now) }

// OwnedJobs gives the jobs that this process owns, with their tokens.
func (c *Core) OwnedJobs() map[string]uint64 { return c.participant.ownedJobs() }
