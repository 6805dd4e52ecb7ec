package consensus

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Open makes a process's part from what its store holds. It refuses a store of another group or another process.
func Open(cfg Config, store Store, machines map[byte]Machine, fx Effects) (*Core, error) {
	if cfg.Name == "" || len(cfg.Name) > mostName || len(cfg.InitialVoters) == 0 || len(cfg.InitialVoters) > 9 {
		return nil, fmt.Errorf("consensus: a name of 1 to %d bytes and 1 to 9 first voters are possible, not %q and %d", mostName, cfg.Name, len(cfg.InitialVoters))
	}
	for _, d := range []struct {
		v    *int
		that int
	}{{&cfg.HeartbeatTicks, 2}, {&cfg.ElectionTicks, 8}, {&cfg.SnapshotEvery, 512}, {&cfg.KeepBehindSnapshot, 128}} {
		if *d.v <= 0 {
			*d.v = d.that
		}
	}
	if cfg.TickInterval <= 0 {
		cfg.TickInterval = 1e8
	}
	saved, err := store.Load()
	if err != nil {
		return nil, err
	}
	if saved.ID != 0 && (saved.Group != cfg.Group || saved.Name != cfg.Name) {
		return nil, fmt.Errorf("consensus: the store is of %s in group %s, not of %s in group %s", saved.Name, saved.Group, cfg.Name, cfg.Group)
	}
	c := &Core{cfg: cfg, fx: fx, store: store, machines: machines, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(PeerID(cfg.Name)))), saved: saved,
		who: saved.Identity, seen: saved.Seen, met: map[uint64]met{}, answers: map[uint32]bool{}, applicant: map[string]uint64{}, names: map[uint64]string{}, began: -1}
	c.life = c.rng.Uint64() | 1
	for k := range machines {
		c.kinds = append(c.kinds, k)
	}
	sort.Slice(c.kinds, func(i, j int) bool { return c.kinds[i] < c.kinds[j] })
	if c.seen == nil {
		c.seen = map[uint64]StartRecord{}
	}
	if saved.ID == 0 {
		c.saved = StoredState{} // a beginning that was not ended: it begins anew
	} else if !raft.IsEmptySnap(saved.Snap) {
		if err := c.restore(saved.Snap); err != nil {
			return nil, err
		}
	}
	if c.who.Stale {
		c.phase, c.why = Stale, staleWhy
		fx.LogEvent("replica_stale", "reason", c.why)
		return c, nil
	}
	if c.who.ID != 0 {
		c.who.Starts++
		if err := store.SaveIdentity(c.who); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Core) promotable() bool {
	for _, id := range c.conf.Voters {
		if id == c.who.ID {
			return true
		}
	}
	return false
}

// formed tells whether this process knows a group that has begun.
func (c *Core) formed() bool { return len(c.conf.Voters) > 0 }

// decide ends a start once enough have answered.
func (c *Core) decide() {
	others := c.others()
	groups := 0
	for _, p := range others {
		if c.answers[p] {
			groups++
		}
	}
	initial := false
	for _, n := range c.cfg.InitialVoters {
		initial = initial || n == c.cfg.Name
	}
	switch {
	case c.who.ID != 0:
		// A majority of the voters, this one counted, has noted this start: a later one with an older file meets one of them.
		enough := (len(others) + 1) / 2
		if c.who.Starts == 1 && c.who.ID>>32 == 0 {
			enough = len(others) // all are there at the beginning, and one that loses its disk later meets nobody who does not know it
		}
		if len(c.answers) < enough || len(c.answers) < len(others) && c.now-c.began < waitOthers {
			return
		}
		c.begin()
	case !initial || groups > 0:
		// Either it never was of the group, or it was and has lost its disk. It may have voted: it can't be that voter again.
		nonce := c.rng.Uint32() | 1
		c.who = Identity{Group: c.cfg.Group, Name: c.cfg.Name, ID: VoterID(c.cfg.Name, nonce), Starts: 1}
		if c.check(c.store.SaveIdentity(c.who)) {
			c.fx.LogEvent("replica_not_member", "reason", "there is a group already, and this process is not of it, or lost its store: it waits to be added")
			c.begin()
		}
	case len(c.answers) == len(others):
		c.bootstrap()
	}
}

// bootstrap begins the group. All first voters are there and none knows of one, so that all come to the same beginning.
func (c *Core) bootstrap() {
	c.who = Identity{Group: c.cfg.Group, Name: c.cfg.Name, ID: VoterID(c.cfg.Name, 0), Starts: 1}
	for _, n := range c.cfg.InitialVoters {
		c.conf.Voters = append(c.conf.Voters, VoterID(n, 0))
		c.names[VoterID(n, 0)] = n
	}
	sort.Slice(c.conf.Voters, func(i, j int) bool { return c.conf.Voters[i] < c.conf.Voters[j] })
	snap := raftpb.Snapshot{Data: c.snapshot(), Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: c.conf}}
	hard := raftpb.HardState{Term: 1, Commit: 1}
	if !c.check(c.store.Save(hard, nil, snap)) || !c.check(c.store.SaveIdentity(c.who)) {
		return
	}
	c.saved.Snap, c.saved.Hard = snap, hard
	c.applied, c.snapAt, c.termAt = 1, 1, 1
	c.fx.LogEvent("group_bootstrapped", "voters", len(c.conf.Voters))
	clear(c.answers)
	c.began = c.now
	if c.hello(); len(c.others()) == 0 {
		c.decide()
	}
}

// begin takes part.
func (c *Core) begin() {
	c.mem = raft.NewMemoryStorage()
	if !raft.IsEmptySnap(c.saved.Snap) {
		c.mem.ApplySnapshot(c.saved.Snap)
	}
	c.mem.SetHardState(c.saved.Hard)
	c.mem.Append(c.saved.Entries)
	var err error
	c.guard(func() {
		c.node, err = raft.NewRawNode(&raft.Config{ID: c.who.ID, ElectionTick: c.cfg.ElectionTicks, HeartbeatTick: c.cfg.HeartbeatTicks, Storage: live{c.mem, c},
			Applied: c.applied, MaxSizePerMsg: 2048, MaxInflightMsgs: 16, MaxUncommittedEntriesSize: 1 << 20, CheckQuorum: true, PreVote: true,
			ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{}})
	})
	if err != nil || c.phase == Broken {
		c.fail(fmt.Errorf("what the store holds does not fit together: %v", cmpErr(err, c.why)))
		return
	}
	c.saved.Entries = nil
	c.phase = NotMember
	for id := range c.names {
		if id == c.who.ID {
			c.phase = Member
		}
	}
	c.turnAt = c.now
	c.heard()
	c.work()
}

const staleWhy = "its store is older than what others have had from this voter: a file was put back; move it away and have the voter replaced"

func (c *Core) stale(from uint32) {
	c.who.Stale = true
	if !c.check(c.store.SaveIdentity(c.who)) {
		return
	}
	c.phase, c.why = Stale, staleWhy
	c.fx.LogEvent("replica_stale", "reason", c.why, "by", fmt.Sprintf("%08x", from))
}
