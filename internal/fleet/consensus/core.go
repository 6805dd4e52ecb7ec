package consensus

import (
	"fmt"
	"math/rand/v2"

	"go.etcd.io/raft/v3"

	"croftlock/internal/fleet/group"
)

// pauseTicks is the number of tick intervals that may pass between two calls of Tick. After a
// longer interval the process counts as having been paused.
const pauseTicks = 4

// Core is one replica of a group. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	effects Effects
	store   Store
	rng     *rand.Rand
	now     Time // latest time passed by the caller

	phase       Phase
	failure     error // why the phase is Broken
	identity    Identity
	incarnation uint64      // random at each start and never 0; unlike the incarnations of membership and ownership, not a time
	recovered   StoredState // loaded at the start; startRaft passes the entries to raft and clears them

	joining       joining
	configuration configuration
	machines      group.Machines
	applied       appliedLog
	election      electionTimer
	leadership    leadership

	node       *raft.RawNode // nil while raft does not run
	storage    *raft.MemoryStorage
	lastTick   Time // time of the last call of Tick, or of startRaft
	processing bool // whether processReady is running
}

// Open returns a Core with the state in store. machines maps the numbers that commands carry to
// state machines. Open fails if the store belongs to another group or process.
func Open(cfg Config, store Store, machines map[byte]Machine, effects Effects) (*Core, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	stored, err := store.Load()
	if err != nil {
		return nil, err
	}
	if stored.ID != 0 && (stored.Group != cfg.Group || stored.Name != cfg.Name) {
		return nil, fmt.Errorf("consensus: the store is of %s in group %s, not of %s in group %s", stored.Name, stored.Group, cfg.Name, cfg.Group)
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(PeerID(cfg.Name))))
	c := &Core{
		cfg:           cfg,
		effects:       effects,
		store:         store,
		rng:           rng,
		identity:      stored.Identity,
		incarnation:   rng.Uint64() | 1,
		recovered:     stored,
		joining:       newJoining(stored.StartRecords),
		configuration: newConfiguration(),
		machines:      group.NewMachines(machines),
		election:      electionTimer{rng: rng, minTimeout: cfg.electionTimeout()},
	}
	if err := c.recover(); err != nil {
		return nil, err
	}
	return c, nil
}

// recover restores the stored snapshot, and increments and stores the number of starts. If the store
// is known to be stale, the phase becomes Stale instead of the increment. State that is stored
// without an identity is from a bootstrap that did not complete, and is ignored.
func (c *Core) recover() error {
	if c.identity.ID == 0 {
		c.recovered = StoredState{}
	} else if !raft.IsEmptySnap(c.recovered.Snapshot) {
		if err := c.restoreSnapshot(c.recovered.Snapshot); err != nil {
			return err
		}
	}
	if c.identity.Stale {
		c.phase = Stale
		c.effects.LogEvent("replica_stale", "reason", staleRecorded.String())
		return nil
	}
	if c.identity.ID == 0 {
		return nil
	}
	c.identity.Starts++
	return c.store.SaveIdentity(c.identity)
}

// Tick must be called every Config.TickInterval. It sends hellos, which ask the other voters what
// they know of this process, while this process starts or is not a member. It advances raft's timers
// once raft runs.
func (c *Core) Tick(now Time) {
	c.now = max(c.now, now)
	c.joining.recordFirstTick(c.now)
	if c.phase == Starting || c.phase == NotMember {
		if c.joining.helloDue(c.now) {
			c.sendHello()
		}
	}
	if c.phase == Starting {
		c.tryStart()
	}
	if c.node == nil || c.phase == Broken || c.phase == Stale {
		return
	}
	elapsed := c.now - c.lastTick
	c.lastTick = c.now
	if c.node.BasicStatus().RaftState == raft.StateLeader {
		c.tickLeader(elapsed)
	} else {
		c.tickFollower(elapsed)
	}
	c.processReady()
}

// tickLeader ticks raft for the time since the last call, including a pause of this process, so
// that a leader steps down if it has not heard from a majority for an election timeout. It ticks
// raft for at most two election timeouts.
func (c *Core) tickLeader(elapsed Time) {
	ticks := max(1, min(elapsed/c.cfg.TickInterval, Time(2*c.cfg.ElectionTicks)))
	for range ticks {
		c.node.Tick()
	}
}

// tickFollower starts an election if this process is a voter and considers its leader lost.
func (c *Core) tickFollower(elapsed Time) {
	c.node.TickQuiesced()
	if elapsed > pauseTicks*c.cfg.TickInterval {
		c.election.reset(c.now) // while this process was paused it could not receive the leader's messages
	}
	if c.election.expired(c.now) && c.configuration.isVoter(c.identity.ID) {
		c.election.reset(c.now)
		c.node.Campaign()
	}
}

// Close stops this replica and closes the store.
func (c *Core) Close() error {
	c.node = nil
	if c.phase == Member || c.phase == Starting {
		c.phase = NotMember
	}
	return c.store.Close()
}

// becomeStale stops this replica until an operator replaces it. foundBy is the peer whose answer
// showed that the store is stale, and cause is what it showed. Staleness: the finding is stored, since
// that peer may forget what it has received.
func (c *Core) becomeStale(foundBy uint32, cause staleCause) {
	c.identity.Stale = true
	if !c.checkStored(c.store.SaveIdentity(c.identity)) {
		return
	}
	c.phase = Stale
	c.effects.LogEvent("replica_stale", "reason", cause.String(), "by", fmt.Sprintf("%08x", foundBy))
}

// becomeBroken stops this replica after a failure. Only the first failure is recorded and logged.
func (c *Core) becomeBroken(err error) {
	if c.phase == Broken {
		return
	}
	c.phase, c.failure, c.node = Broken, err, nil
	c.effects.LogEvent("replica_broken", "reason", c.reason())
}

// checkStored reports whether a call of the store succeeded. Fail-stop: it stops this replica if
// err is not nil.
func (c *Core) checkStored(err error) bool {
	if err != nil {
		c.becomeBroken(err)
	}
	return err == nil
}

// recoverPanic calls f and stops this replica if f panics. The raft library panics in a state that
// should be impossible: the store or a message was corrupted in a way that no checksum detected,
// and it is not safe to continue.
func (c *Core) recoverPanic(f func()) {
	defer func() {
		if p := recover(); p != nil {
			c.becomeBroken(fmt.Errorf("%v", p))
		}
	}()
	f()
}

// updatePhase sets the phase to Member or NotMember after a change of the configuration. It does
// not change any other phase.
func (c *Core) updatePhase() {
	if c.phase != Member && c.phase != NotMember {
		return
	}
	newPhase := NotMember
	if c.configuration.contains(c.identity.ID) {
		newPhase = Member
	}
	if newPhase != c.phase {
		c.phase = newPhase
		c.effects.LogEvent("replica_phase", "phase", c.phase.String())
	}
}
