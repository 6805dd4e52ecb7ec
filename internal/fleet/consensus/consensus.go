// Package consensus is one process's part of a group of voters that agree on a sequence of commands, on go.etcd.io/raft/v3. It owns who
// is of the group and under which identity, when a process may vote, what is kept and compacted, and several state machines that take
// the commands in their order. It does no I/O but through the Store it is given, reads no clock, and draws its randomness from a seed:
// a run can be played again. It is driven beside the loop, by one goroutine, since a Store waits for its disk.
//
// A process votes and acknowledges only what its Store has made durable. One whose Store fails stops at once. One whose Store is older
// than what others have had from it (a file put back) does not take part: they are asked at each start. docs/design-ownership.md.
package consensus

import (
	"math/rand/v2"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/group"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = group.Time

// What a group is to those who build on it.
type (
	Machine      = group.Machine
	Effects      = group.Effects
	Status       = group.Status
	StatusMember = group.StatusMember
)

// Errors of what is asked of a Core.
var (
	ErrNotLeader      = group.ErrNotLeader
	ErrCommandTooLong = group.ErrCommandTooLong
	ErrBusy           = group.ErrBusy
)

// The phases.
const (
	Starting  Phase = iota // asks the others what they know of it
	NotMember              // not of the group, or not yet
	Member                 // takes part
	Stale                  // its store is older than what others had from it: it must be replaced
	Broken                 // its store failed
)

// Config is what a process is told once.
type Config struct {
	Group, Name        string
	InitialVoters      []string // voters at the group's first start, by name; the same list everywhere
	Seed               uint64
	TickInterval       Time // between two calls of Tick; 0: 100 ms
	HeartbeatTicks     int  // in turns; 0: 2
	ElectionTicks      int  // in turns: a leader unheard for so long, and up to twice as long by lot, is lost; 0: 8
	SnapshotEvery      int  // commands after which a snapshot is taken; 0: 512
	KeepBehindSnapshot int  // commands kept behind it, for voters that lag; 0: 128
}

const (
	mostCommand = 64 << 10
	mostName    = 64

	msgRaft    = 1
	msgHello   = 2
	msgWelcome = 3

	helloEach  = Time(2e8)
	waitOthers = Time(1e9) // for those voters beyond a majority that a start would like to hear
)

type met struct {
	term              uint64 // that it must have on its disk
	ackTerm, ackIndex uint64 // up to which it must have the log
}

// Core is one process's part.
type Core struct {
	cfg      Config
	fx       Effects
	store    Store
	machines map[byte]Machine
	kinds    []byte
	rng      *rand.Rand
	now      Time

	phase     Phase
	why       string // of Stale and Broken
	failure   error
	who       Identity
	life      uint64
	saved     StoredState
	seen      map[uint64]StartRecord
	met       map[uint64]met
	answers   map[uint32]bool // at a start: whether the one who answered knows a group
	began     Time
	helloAt   Time
	applicant map[string]uint64 // processes that ask to be taken in

	node      *raft.RawNode
	mem       *raft.MemoryStorage
	names     map[uint64]string // of the group's members, voters and learners
	conf      raftpb.ConfState
	applied   uint64
	termAt    uint64 // of the last command applied
	snapAt    uint64
	heardAt   Time // the leader, or since when a vote was given
	patience  Time
	turnAt    Time
	changing  bool
	working   bool
	yields    Time // until then this process does not act as leader
	leadsTerm uint64
}

// Tick is to be called every turn.
func (c *Core) Tick(now Time) {
	c.now = max(c.now, now)
	if c.began < 0 {
		c.began = c.now
	}
	switch c.phase {
	case Starting, NotMember:
		if c.now-c.helloAt >= helloEach || c.helloAt == 0 {
			c.helloAt = c.now
			c.hello()
		}
		if c.phase == Starting {
			c.decide()
		}
	}
	if c.node == nil || c.phase == Broken || c.phase == Stale {
		return
	}
	late := c.now - c.turnAt
	c.turnAt = c.now
	if c.node.BasicStatus().RaftState == raft.StateLeader {
		// A leader that slept counts what it slept: it must not go on as if no time had passed.
		for n := Time(0); n < max(1, min(late/c.cfg.TickInterval, Time(2*c.cfg.ElectionTicks))); n++ {
			c.node.Tick()
		}
	} else {
		// The library draws its time-outs from a source that can't be seeded. Its clock goes on without them, and the
		// drawing is done here.
		c.node.TickQuiesced()
		if late > 4*c.cfg.TickInterval {
			c.heard() // this process slept: what it did not hear meanwhile says nothing
		}
		if c.now-c.heardAt > c.patience && c.promotable() {
			c.heard()
			c.node.Campaign()
		}
	}
	c.work()
}

// heard begins anew the time in which the leader has to be heard.
func (c *Core) heard() {
	c.heardAt = c.now
	e := Time(c.cfg.ElectionTicks) * c.cfg.TickInterval
	c.patience = e + Time(c.rng.Int64N(int64(e)))
}

// others are the peers that a start asks: all voters but this one.
func (c *Core) others() (peers []uint32) {
	seen := map[uint32]bool{PeerID(c.cfg.Name): true}
	add := func(p uint32) {
		if !seen[p] {
			seen[p] = true
			peers = append(peers, p)
		}
	}
	if len(c.conf.Voters) > 0 {
		for _, id := range c.conf.Voters {
			add(peerOf(id))
		}
		return peers
	}
	for _, n := range c.cfg.InitialVoters {
		add(PeerID(n))
	}
	return peers
}
