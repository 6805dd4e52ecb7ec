package ownership

import (
	"fmt"
	"slices"

	"croftlock/internal/fleet/group"
)

// Config configures a Core. The group is the set of voters that replicates the table of jobs.
type Config struct {
	Name        string         // member name
	Incarnation uint64         // of the process, 1 or more; the owner agent passes its start time in Unix milliseconds
	Voters      []string       // names of the members that replicate the table and may lead their group
	Jobs        []string       // names of the jobs that this process can own
	Lease       Time           // how long an owner continues without the coordinator; zero or less means 2 s
	WallClock   func() int64   // returns the wall clock in Unix milliseconds; if nil, it is always 0
	Faults      FaultInjection // set only by simulations and experiments
}

const defaultLease = 2 * sec

// withDefaults returns cfg with the defaults for fields that are not set.
func (cfg Config) withDefaults() Config {
	if cfg.Lease <= 0 {
		cfg.Lease = defaultLease
	}
	if cfg.WallClock == nil {
		cfg.WallClock = func() int64 { return 0 }
	}
	return cfg
}

// validate returns an error that wraps ErrInvalidConfig if a field is out of its bounds.
func (cfg Config) validate() error {
	if cfg.Name == "" || len(cfg.Name) > maxNameBytes || cfg.Incarnation == 0 || len(cfg.Voters) == 0 || len(cfg.Jobs) > MaxJobs {
		return fmt.Errorf("%w: name %q, expected 1 to %d bytes; incarnation %d, expected 1 or more; %d voters, expected 1 or more; %d jobs, expected at most %d",
			ErrInvalidConfig, cfg.Name, maxNameBytes, cfg.Incarnation, len(cfg.Voters), len(cfg.Jobs), MaxJobs)
	}
	return nil
}

// Effects is the interface through which a Core acts on its process. Byte slices passed to its
// methods are valid only during the call.
type Effects interface {
	// Send sends a message to another process.
	Send(peer uint32, msg []byte)
	// Start starts a job under the token of its grant, from the last checkpoint. checkpointNumber is 0
	// if there is none. If Start returns an error, the job is released.
	Start(job string, token, checkpointNumber uint64, checkpoint []byte) error
	// Stop stops a job before it returns. It returns the checkpoint for the next owner, with a
	// number above that of the last one stored.
	Stop(job string, token uint64, reason ReleaseReason) (checkpointNumber uint64, checkpoint []byte)
	// ApplyEffect applies an effect, a message by which the owner of a job changes this process. The
	// Fence, the record of accepted tokens, has accepted it.
	ApplyEffect(job string, token FencingToken, body []byte)
	// EffectAcknowledged reports a receiver's verdict to the owner of the job. peer is the receiver,
	// and highest the token of the latest effect of the job that it has accepted.
	EffectAcknowledged(peer uint32, job string, token FencingToken, v Verdict, highest FencingToken)
	// CheckpointStored reports to an owner whether a checkpoint was stored or rejected.
	CheckpointStored(job string, token, checkpointNumber uint64, stored bool)
	// QueryReceived passes on a query to a job that this process owns. peer is the requester. Core.Reply
	// answers the query.
	QueryReceived(peer uint32, job string, tag uint64, body []byte)
	// ReplyReceived passes on the reply to Core.Query or Core.MoveJob with the same tag.
	ReplyReceived(tag uint64, body []byte)
	// LogEvent logs an event with alternating keys and values.
	LogEvent(event string, args ...any)
}

// processID identifies a process. The incarnation distinguishes two processes of the same name,
// which both run for a short time while one replaces the other.
type processID struct {
	name        string
	incarnation uint64
}

// environment is the state that the participant and the coordinator of one process share.
type environment struct {
	cfg     Config
	effects Effects
	group   Group // nil if this process is not a voter
	table   *Table
	self    uint32   // peer number of this process, by which messages are addressed
	now     Time     // latest time that the caller has passed in
	toSelf  [][]byte // messages of this process to itself, delivered after the current step
}

// advance sets the time. A time before the present one changes nothing.
func (e *environment) advance(now Time) { e.now = max(e.now, now) }

func (e *environment) processID() processID { return processID{e.cfg.Name, e.cfg.Incarnation} }

// send sends an encoded message. A message to this process itself is queued until the current step
// is done.
func (e *environment) send(peer uint32, data []byte) {
	if peer == e.self {
		e.toSelf = append(e.toSelf, slices.Clone(data))
		return
	}
	e.effects.Send(peer, data)
}

// Core implements ownership in one process: a participant that may own jobs, a receiver of effects
// behind a fence, and the coordinator while the process leads the group. Its methods must not be
// called concurrently.
type Core struct {
	*environment
	fence       *Fence
	participant *participant
	coordinator *coordinator
	delivering  bool // whether deliverToSelf is running
}

// New returns the Core of a process. table is the state machine that group replicates. group is nil
// if the process is not a voter.
func New(cfg Config, group Group, table *Table, fence *Fence, effects Effects) (*Core, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	env := &environment{cfg: cfg.withDefaults(), effects: effects, group: group, table: table, self: peerOf(cfg.Name)}
	return &Core{environment: env, fence: fence, participant: newParticipant(env), coordinator: newCoordinator(env)}, nil
}

// peerOf returns the peer number of a member, which is derived from its name and addresses messages.
func peerOf(name string) uint32 { return group.Peer(name) }

// Tick must be called every 50 to 100 ms. It stops all jobs once the lease has ended, renews the lease,
// and lets the group and the coordinator act on the time that has passed.
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

// Applied must be called when the group has applied a proposed command. tag is the one passed to
// Group.Propose, and result what Table.Apply returned.
func (c *Core) Applied(now Time, tag uint64, result []byte) {
	c.advance(now)
	defer c.deliverToSelf()
	c.coordinator.commandApplied(tag, result)
}

// Confirmed must be called when the group has confirmed that this process still led after it called
// Group.Confirm with tag.
func (c *Core) Confirmed(now Time, tag uint64) {
	c.advance(now)
	defer c.deliverToSelf()
	c.coordinator.leadershipConfirmed(tag)
}

// SetGroup replaces the group and keeps the table. A nil group means that this process is not a
// voter, for example while its store has failed.
func (c *Core) SetGroup(g Group) {
	c.group = g
	c.coordinator.stepDown()
}

// TransferLeadership gives up the leadership of the group.
func (c *Core) TransferLeadership(now Time) {
	if c.group != nil {
		c.group.TransferLeadership(now)
	}
}

// SetEligible sets whether this process may be assigned jobs. It is not eligible while its replica's
// store can't be used.
func (c *Core) SetEligible(eligible bool) { c.participant.eligible = eligible }

// SetUnheardBy sets, by member name, the number of members that have not left and do not hear that
// member. This is not the state membership.Unreachable. The coordinator avoids assigning jobs to
// members that others do not hear.
func (c *Core) SetUnheardBy(unheardBy map[string]int) {
	c.coordinator.unheardBy = unheardBy
}

// Leave releases all jobs and refuses new ones. text is stored in the table as the reason.
func (c *Core) Leave(now Time, text string) {
	c.advance(now)
	defer c.deliverToSelf()
	c.participant.leave(text)
}

// HasLeft reports whether the coordinator has accepted the release of all jobs, or the lease has
// ended. A coordinator that leaves also waits for its proposals: otherwise a job that it has
// granted, but whose new owner it has not notified, would not run until the next coordinator sends
// its first list.
func (c *Core) HasLeft() bool {
	if c.participant.leaseEnded() {
		return true
	}
	return len(c.participant.jobs) == 0 && (!c.coordinator.leads() || c.coordinator.proposals.empty())
}

// JobFailed releases a job that ended because of its own failure. cause is stored in the table.
func (c *Core) JobFailed(now Time, job string, token uint64, cause string) {
	c.advance(now)
	defer c.deliverToSelf()
	c.participant.jobFailed(job, token, cause)
}

// IsOwner reports whether this process may act now as the job's owner under a token. Lease: the
// result is valid only at the time of the call. If the process is paused right after it, only the
// receivers' fences reject what it sends.
func (c *Core) IsOwner(now Time, job string, token uint64) bool {
	c.advance(now)
	return c.participant.ownsUnder(job, token)
}

// Leader returns the peer that this process believes to be the coordinator, or 0 if it knows none.
func (c *Core) Leader() uint32 { return c.participant.lease.leader }

// LeaseRemaining returns how long this process may continue to own jobs without a renewal, or 0 if
// its lease has ended.
func (c *Core) LeaseRemaining(now Time) Time { return max(0, c.participant.lease.end-now) }

// OwnedJobs returns the tokens of the jobs that this process owns, by job name.
func (c *Core) OwnedJobs() map[string]uint64 { return c.participant.ownedJobs() }
