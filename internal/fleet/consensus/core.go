package consensus

import (
	"fmt"
	"math/rand/v2"

	"go.etcd.io/raft/v3"

	"croftlock/internal/fleet/group"
)

// pauseTicks is how many tick intervals may pass between two calls of Tick before the process counts as having been paused.
const pauseTicks = 4

// Core is one process's part. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	effects Effects
	store   Store
	rng     *rand.Rand
	now     Time

	phase       Phase
	failure     error // of Broken
	identity    Identity
	incarnation uint64      // random, drawn at each start; membership's and ownership's are times
	recovered   StoredState // what the store contained at the start; raft takes its entries once it runs

	joining       joining
	configuration configuration
	machines      group.Machines
	applied       appliedLog
	election      electionTimer
	leadership    leadership

	node       *raft.RawNode // nil: raft does not run
	storage    *raft.MemoryStorage
	lastTick   Time
	processing bool // a Ready is being processed
}

// Open makes a process's part from what its store holds. It fails on a store of another group or another process.
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

// recover restores the stored snapshot and counts this start.
func (c *Core) recover() error {
	if c.identity.ID == 0 {
		c.recovered = StoredState{} // a bootstrap that was not completed starts again
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

// Tick must be called every Config.TickInterval.
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

// tickLeader counts the time that a leader was paused, too, so that it steps down if no messages of a majority came for an election timeout.
func (c *Core) tickLeader(elapsed Time) {
	ticks := max(1, min(elapsed/c.cfg.TickInterval, Time(2*c.cfg.ElectionTicks)))
	for range ticks {
		c.node.Tick()
	}
}

// tickFollower campaigns once the leader is lost.
func (c *Core) tickFollower(elapsed Time) {
	c.node.TickQuiesced()
	if elapsed > pauseTicks*c.cfg.TickInterval {
		c.election.reset(c.now) // this process was paused: missing messages of the leader show nothing
	}
	if c.election.expired(c.now) && c.configuration.isVoter(c.identity.ID) {
		c.election.reset(c.now)
		c.node.Campaign()
	}
}

// Close ends this process's part and closes the store.
func (c *Core) Close() error {
	c.node = nil
	if c.phase == Member || c.phase == Starting {
		c.phase = NotMember
	}
	return c.store.Close()
}

// becomeStale ends this process's part until an operator replaces it. That is stored, since the process that found it may lose its memory.
func (c *Core) becomeStale(foundBy uint32, cause staleCause) {
	c.identity.Stale = true
	if !c.checkStored(c.store.SaveIdentity(c.identity)) {
		return
	}
	c.phase = Stale
	c.effects.LogEvent("replica_stale", "reason", cause.String(), "by", fmt.Sprintf("%08x", foundBy))
}

// becomeBroken ends this process's part after a failure.
func (c *Core) becomeBroken(err error) {
	if c.phase == Broken {
		return
	}
	c.phase, c.failure, c.node = Broken, err, nil
	c.effects.LogEvent("replica_broken", "reason", c.reason())
}

// checkStored reports whether a call of the store succeeded. Fail-stop: this replica stops where it did not.
func (c *Core) checkStored(err error) bool {
	if err != nil {
		c.becomeBroken(err)
	}
	return err == nil
}

// recoverPanic turns a panic of the raft library into a failure of this replica. The library panics at an impossible state: the store or a message was
// damaged in a way that no checksum found, and it is not safe to continue.
func (c *Core) recoverPanic(f func()) {
	defer func() {
		if p := recover(); p != nil {
			c.becomeBroken(fmt.Errorf("%v", p))
		}
	}()
	f()
}

// updatePhase makes this process Member or NotMember after a change of the configuration.
func (c *Core) updatePhase() {
	if c.phase != Member && c.phase != NotMember {
		return
	}
	now := NotMember
	if c.configuration.contains(c.identity.ID) {
		now = Member
	}
	if now != c.phase {
		c.phase = now
		c.effects.LogEvent("replica_phase", "phase", c.phase.String())
	}
}
