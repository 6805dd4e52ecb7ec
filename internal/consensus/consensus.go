// Package consensus is one process's part of a group of voters that agree on a sequence of commands, on go.etcd.io/raft/v3. It owns who
// is of the group and under which identity, when a process may vote, what is kept and compacted, and several state machines that take
// the commands in their order. It does no I/O but through the Store it is given, reads no clock, and draws its randomness from a seed:
// a run can be played again. It is driven beside the loop, by one goroutine, since a Store waits for its disk.
//
// A process votes and acknowledges only what its Store has made durable. One whose Store fails stops at once. One whose Store is older
// than what others have had from it (a file put back) does not take part: they are asked at each start. docs/design-ownership.md.
package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/group"
	"croftlock/internal/pack"
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
	ErrNotLeader = group.ErrNotLeader
	ErrLong      = group.ErrLong
	ErrBusy      = group.ErrBusy
)

// Peer names a process in messages.
func Peer(name string) uint32 { return group.Peer(name) }

// ID is a voter's identity: a process that lost its disk is not the voter that it was, and comes back under another nonce.
func ID(name string, nonce uint32) uint64 { return uint64(nonce)<<32 | uint64(Peer(name)) }

func peerOf(id uint64) uint32 { return uint32(id) }

// Store keeps what a voter must not forget. What returned without error is durable. After an error nothing else may be asked of it but
// Close.
type Store interface {
	Load() (Saved, error)
	SaveIdentity(Identity) error
	SaveSeen(id uint64, s Seen) error
	Save(hard raftpb.HardState, entries []raftpb.Entry, snap raftpb.Snapshot) error
	Compact(upTo uint64) error
	Close() error
}

// Identity is who a store belongs to.
type Identity struct {
	Group, Name string
	ID          uint64 // 0: none yet
	Boots       uint64 // how often it was begun with
	Stale       bool   // it was found to be older than what others have had: whoever found it may forget, so it is kept here
}

// Seen is the last start of another voter that this process knows of.
type Seen struct {
	Boots uint64
	Life  uint64 // drawn at each start
}

// Saved is all that a store holds.
type Saved struct {
	Identity
	Hard    raftpb.HardState
	Snap    raftpb.Snapshot
	Entries []raftpb.Entry
	Seen    map[uint64]Seen
}

// Phase is how far a process takes part.
type Phase uint8

// The phases.
const (
	Starting Phase = iota // asks the others what they know of it
	Outside               // not of the group, or not yet
	Member                // takes part
	Stale                 // its store is older than what others had from it: it must be replaced
	Broken                // its store failed
)

var phaseNames = [...]string{"starting", "outside", "member", "stale", "broken"}

func (p Phase) String() string { return phaseNames[p] }

// Config is what a process is told once.
type Config struct {
	Group, Name string
	Initial     []string // voters at the group's first start, by name; the same list everywhere
	Seed        uint64
	Turn        Time // between two calls of Tick; 0: 100 ms
	Heartbeat   int  // in turns; 0: 2
	Election    int  // in turns: a leader unheard for so long, and up to twice as long by lot, is lost; 0: 8
	Every       int  // commands after which a snapshot is taken; 0: 512
	Keep        int  // commands kept behind it, for voters that lag; 0: 128
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
	saved     Saved
	seen      map[uint64]Seen
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

// Open makes a process's part from what its store holds. It refuses a store of another group or another process.
func Open(cfg Config, store Store, machines map[byte]Machine, fx Effects) (*Core, error) {
	if cfg.Name == "" || len(cfg.Name) > mostName || len(cfg.Initial) == 0 || len(cfg.Initial) > 9 {
		return nil, fmt.Errorf("consensus: a name of 1 to %d bytes and 1 to 9 first voters are possible, not %q and %d", mostName, cfg.Name, len(cfg.Initial))
	}
	for _, d := range []struct {
		v    *int
		that int
	}{{&cfg.Heartbeat, 2}, {&cfg.Election, 8}, {&cfg.Every, 512}, {&cfg.Keep, 128}} {
		if *d.v <= 0 {
			*d.v = d.that
		}
	}
	if cfg.Turn <= 0 {
		cfg.Turn = 1e8
	}
	saved, err := store.Load()
	if err != nil {
		return nil, err
	}
	if saved.ID != 0 && (saved.Group != cfg.Group || saved.Name != cfg.Name) {
		return nil, fmt.Errorf("consensus: the store is of %s in group %s, not of %s in group %s", saved.Name, saved.Group, cfg.Name, cfg.Group)
	}
	c := &Core{cfg: cfg, fx: fx, store: store, machines: machines, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(Peer(cfg.Name)))), saved: saved,
		who: saved.Identity, seen: saved.Seen, met: map[uint64]met{}, answers: map[uint32]bool{}, applicant: map[string]uint64{}, names: map[uint64]string{}, began: -1}
	c.life = c.rng.Uint64() | 1
	for k := range machines {
		c.kinds = append(c.kinds, k)
	}
	sort.Slice(c.kinds, func(i, j int) bool { return c.kinds[i] < c.kinds[j] })
	if c.seen == nil {
		c.seen = map[uint64]Seen{}
	}
	if saved.ID == 0 {
		c.saved = Saved{} // a beginning that was not ended: it begins anew
	} else if !raft.IsEmptySnap(saved.Snap) {
		if err := c.restore(saved.Snap); err != nil {
			return nil, err
		}
	}
	if c.who.Stale {
		c.phase, c.why = Stale, staleWhy
		fx.Tell("group_stale", "reason", c.why)
		return c, nil
	}
	if c.who.ID != 0 {
		c.who.Boots++
		if err := store.SaveIdentity(c.who); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Tick is to be called every turn.
func (c *Core) Tick(now Time) {
	c.now = max(c.now, now)
	if c.began < 0 {
		c.began = c.now
	}
	switch c.phase {
	case Starting, Outside:
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
		for n := Time(0); n < max(1, min(late/c.cfg.Turn, Time(2*c.cfg.Election))); n++ {
			c.node.Tick()
		}
	} else {
		// The library draws its time-outs from a source that can't be seeded. Its clock goes on without them, and the
		// drawing is done here.
		c.node.TickQuiesced()
		if late > 4*c.cfg.Turn {
			c.heard() // this process slept: what it did not hear meanwhile says nothing
		}
		if c.now-c.heardAt > c.patience && c.promotable() {
			c.heard()
			c.node.Campaign()
		}
	}
	c.work()
}

func (c *Core) promotable() bool {
	for _, id := range c.conf.Voters {
		if id == c.who.ID {
			return true
		}
	}
	return false
}

// heard begins anew the time in which the leader has to be heard.
func (c *Core) heard() {
	c.heardAt = c.now
	e := Time(c.cfg.Election) * c.cfg.Turn
	c.patience = e + Time(c.rng.Int64N(int64(e)))
}

// others are the peers that a start asks: all voters but this one.
func (c *Core) others() (peers []uint32) {
	seen := map[uint32]bool{Peer(c.cfg.Name): true}
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
	for _, n := range c.cfg.Initial {
		add(Peer(n))
	}
	return peers
}

func (c *Core) hello() {
	var w pack.Writer
	w.Uint(msgHello).Text(c.cfg.Group).Text(c.cfg.Name).Uint(c.who.ID).Uint(c.who.Boots).Uint(c.life)
	for _, p := range c.others() {
		c.fx.Send(p, w.Data)
	}
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
	for _, n := range c.cfg.Initial {
		initial = initial || n == c.cfg.Name
	}
	switch {
	case c.who.ID != 0:
		// A majority of the voters, this one counted, has noted this start: a later one with an older file meets one of them.
		enough := (len(others) + 1) / 2
		if c.who.Boots == 1 && c.who.ID>>32 == 0 {
			enough = len(others) // all are there at the beginning, and one that loses its disk later meets nobody who does not know it
		}
		if len(c.answers) < enough || len(c.answers) < len(others) && c.now-c.began < waitOthers {
			return
		}
		c.begin()
	case !initial || groups > 0:
		// Either it never was of the group, or it was and has lost its disk. It may have voted: it can't be that voter again.
		nonce := c.rng.Uint32() | 1
		c.who = Identity{Group: c.cfg.Group, Name: c.cfg.Name, ID: ID(c.cfg.Name, nonce), Boots: 1}
		if c.check(c.store.SaveIdentity(c.who)) {
			c.fx.Tell("group_outside", "reason", "there is a group already, and this process is not of it, or lost its store: it waits to be added")
			c.begin()
		}
	case len(c.answers) == len(others):
		c.bootstrap()
	}
}

// bootstrap begins the group. All first voters are there and none knows of one, so that all come to the same beginning.
func (c *Core) bootstrap() {
	c.who = Identity{Group: c.cfg.Group, Name: c.cfg.Name, ID: ID(c.cfg.Name, 0), Boots: 1}
	for _, n := range c.cfg.Initial {
		c.conf.Voters = append(c.conf.Voters, ID(n, 0))
		c.names[ID(n, 0)] = n
	}
	sort.Slice(c.conf.Voters, func(i, j int) bool { return c.conf.Voters[i] < c.conf.Voters[j] })
	snap := raftpb.Snapshot{Data: c.snapshot(), Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: c.conf}}
	hard := raftpb.HardState{Term: 1, Commit: 1}
	if !c.check(c.store.Save(hard, nil, snap)) || !c.check(c.store.SaveIdentity(c.who)) {
		return
	}
	c.saved.Snap, c.saved.Hard = snap, hard
	c.applied, c.snapAt, c.termAt = 1, 1, 1
	c.fx.Tell("group_begun", "voters", len(c.conf.Voters))
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
		c.node, err = raft.NewRawNode(&raft.Config{ID: c.who.ID, ElectionTick: c.cfg.Election, HeartbeatTick: c.cfg.Heartbeat, Storage: live{c.mem, c},
			Applied: c.applied, MaxSizePerMsg: 2048, MaxInflightMsgs: 16, MaxUncommittedEntriesSize: 1 << 20, CheckQuorum: true, PreVote: true,
			ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{}})
	})
	if err != nil || c.phase == Broken {
		c.fail(fmt.Errorf("what the store holds does not fit together: %v", cmpErr(err, c.why)))
		return
	}
	c.saved.Entries = nil
	c.phase = Outside
	for id := range c.names {
		if id == c.who.ID {
			c.phase = Member
		}
	}
	c.turnAt = c.now
	c.heard()
	c.work()
}

func cmpErr(err error, why string) any {
	if err != nil {
		return err
	}
	return why
}

// live gives the library snapshots as of now: an earlier one does not know of a member that was added since, which would refuse it.
type live struct {
	*raft.MemoryStorage
	c *Core
}

func (l live) Snapshot() (raftpb.Snapshot, error) {
	conf := l.c.conf
	snap, err := l.CreateSnapshot(l.c.applied, &conf, l.c.snapshot())
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return l.MemoryStorage.Snapshot()
	}
	return snap, err
}

// Receive takes a message of another process's Core.
func (c *Core) Receive(now Time, from uint32, msg []byte) error {
	c.now = max(c.now, now)
	r := pack.Reader{Data: msg}
	switch r.Uint() {
	case msgHello:
		return c.takeHello(from, r)
	case msgWelcome:
		return c.takeWelcome(from, r)
	case msgRaft:
		if r.Text(mostName) != c.cfg.Group || r.Err() != nil {
			return fmt.Errorf("consensus: a message of another group, or torn")
		}
		var m raftpb.Message
		if err := m.Unmarshal(r.Data); err != nil {
			return fmt.Errorf("consensus: %w", err)
		}
		return c.step(from, m)
	}
	return errors.New("consensus: a message of no known kind")
}

func (c *Core) takeHello(from uint32, r pack.Reader) error {
	group, name, id, boots, life := r.Text(mostName), r.Text(mostName), r.Uint(), r.Uint(), r.Uint()
	if r.Err() != nil || group != c.cfg.Group || Peer(name) != from || id != 0 && peerOf(id) != from {
		return errors.New("consensus: a start of another group, or torn")
	}
	if c.phase == Broken || c.phase == Stale {
		return nil // what it remembers can't be kept, or is old, so it says nothing
	}
	asked := id
	if id == 0 {
		asked = ID(name, 0)
	}
	known := c.seen[asked]
	if id != 0 && boots > known.Boots {
		// Noted before it is answered: the answer lets the other one vote.
		known = Seen{boots, life}
		if !c.check(c.store.SaveSeen(id, known)) {
			return nil
		}
		c.seen[id] = known
	}
	if _, in := c.names[id]; !in && id>>32 != 0 && c.phase == Member {
		c.applicant[name] = id
	}
	m := c.met[asked]
	// A process that has begun the group but never heard of this voter does not stand in the way of its beginning too.
	lost := c.formed() && (known.Boots > 0 || m.term > 0 || !c.first(asked))
	var w pack.Writer
	// Only who has a memory of its own counts as one who would know.
	knows := c.who.ID != 0 && c.phase != Outside
	w.Uint(msgWelcome).Text(c.cfg.Group).Uint(id).Bool(lost).Bool(knows).Uint(known.Boots).Uint(known.Life).Uint(m.term).Uint(m.ackTerm).Uint(m.ackIndex)
	c.fx.Send(from, w.Data)
	return nil
}

// first tells whether an identity is of the group's first voters and still in it.
func (c *Core) first(id uint64) bool {
	_, in := c.names[id]
	return in && id>>32 == 0
}

func (c *Core) takeWelcome(from uint32, r pack.Reader) error {
	group, id, lost, knows := r.Text(mostName), r.Uint(), r.Bool(), r.Bool()
	known := Seen{r.Uint(), r.Uint()}
	m := met{r.Uint(), r.Uint(), r.Uint()}
	if r.Err() != nil || group != c.cfg.Group || id != c.who.ID {
		return errors.New("consensus: an answer for another start, or torn")
	}
	if id != 0 && (c.phase == Starting || c.phase == Member) {
		last, lastTerm := c.saved.Snap.Metadata.Index, c.saved.Snap.Metadata.Term
		hard := c.saved.Hard
		if c.node == nil {
			if n := len(c.saved.Entries); n > 0 {
				last, lastTerm = c.saved.Entries[n-1].Index, c.saved.Entries[n-1].Term
			}
			if known.Boots > c.who.Boots || known.Boots == c.who.Boots && known.Life != c.life ||
				m.term > hard.Term || m.ackIndex > last && lastTerm <= m.ackTerm {
				c.stale(from)
				return nil
			}
		}
	}
	if c.phase == Starting {
		for _, p := range c.others() {
			if p == from && (knows || id == 0) {
				c.answers[from] = lost
			}
		}
		c.decide()
	}
	return nil
}

const staleWhy = "its store is older than what others have had from this voter: a file was put back; move it away and have the voter replaced"

func (c *Core) stale(from uint32) {
	c.who.Stale = true
	if !c.check(c.store.SaveIdentity(c.who)) {
		return
	}
	c.phase, c.why = Stale, staleWhy
	c.fx.Tell("group_stale", "reason", c.why, "by", fmt.Sprintf("%08x", from))
}

// step takes a message of the library's.
func (c *Core) step(from uint32, m raftpb.Message) error {
	if peerOf(m.From) != from || m.To != c.who.ID || raft.IsLocalMsg(m.Type) {
		return fmt.Errorf("consensus: a message from %x to %x, sent by %08x", m.From, m.To, from)
	}
	if m.Type != raftpb.MsgPreVote && m.Type != raftpb.MsgPreVoteResp {
		k := c.met[m.From]
		k.term = max(k.term, m.Term)
		switch {
		case m.Type == raftpb.MsgApp:
			k.ackTerm, k.ackIndex = m.Term, m.Index+uint64(len(m.Entries))
		case m.Type == raftpb.MsgAppResp && !m.Reject:
			k.ackTerm, k.ackIndex = m.Term, m.Index
		}
		c.met[m.From] = k
	}
	if c.node == nil || c.phase != Member && c.phase != Outside {
		return nil
	}
	c.guard(func() {
		c.node.Step(m)
		st := c.node.BasicStatus()
		switch m.Type {
		case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
			if st.Lead == m.From {
				c.heard()
			}
		case raftpb.MsgVote:
			if st.HardState.Vote == m.From && st.HardState.Term == m.Term {
				c.heard()
			}
		}
	})
	c.work()
	return nil
}

// guard turns what the library finds impossible into a failure of this voter: its store or a message was damaged in a way that no sum
// found, and going on could do harm.
func (c *Core) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			c.fail(fmt.Errorf("%v", p))
		}
	}()
	f()
}

func (c *Core) fail(err error) {
	if c.phase == Broken {
		return
	}
	c.phase, c.why, c.failure, c.node = Broken, err.Error(), err, nil
	c.fx.Tell("group_broken", "reason", c.why)
}

// check stops this voter where its store failed.
func (c *Core) check(err error) bool {
	if err != nil {
		c.fail(err)
	}
	return err == nil
}

// work carries out what the library has decided: durable first, then sent, then applied.
func (c *Core) work() {
	if c.working {
		return // an effect asks for more: whoever is at work goes on with it
	}
	c.working = true
	defer func() { c.working = false }()
	c.guard(func() {
		for c.node != nil && c.node.HasReady() {
			rd := c.node.Ready()
			if len(rd.Entries) > 0 || !raft.IsEmptyHardState(rd.HardState) || !raft.IsEmptySnap(rd.Snapshot) {
				if !c.check(c.store.Save(rd.HardState, rd.Entries, rd.Snapshot)) {
					return
				}
			}
			if !raft.IsEmptySnap(rd.Snapshot) {
				if err := c.mem.ApplySnapshot(rd.Snapshot); err != nil {
					panic(err)
				}
				if err := c.restore(rd.Snapshot); err != nil {
					panic(err)
				}
			}
			if !raft.IsEmptyHardState(rd.HardState) {
				c.mem.SetHardState(rd.HardState)
			}
			c.mem.Append(rd.Entries)
			for i := range rd.Messages {
				c.transmit(&rd.Messages[i])
			}
			for i := range rd.CommittedEntries {
				c.apply(&rd.CommittedEntries[i])
			}
			for _, s := range rd.ReadStates {
				r := pack.Reader{Data: s.RequestCtx}
				if tag := r.Uint(); r.Err() == nil {
					c.fx.Confirmed(tag)
				}
			}
			if c.node == nil {
				return
			}
			c.node.Advance(rd)
			c.compact()
		}
		if c.node != nil {
			c.watch()
		}
	})
}

// watch tells of changes in who leads.
func (c *Core) watch() {
	st := c.node.BasicStatus()
	if st.RaftState == raft.StateLeader {
		if c.leadsTerm != st.Term {
			c.leadsTerm, c.changing = st.Term, false
			c.fx.Tell("group_leads", "term", st.Term)
		}
	} else if c.leadsTerm != 0 {
		c.leadsTerm = 0
		c.fx.Tell("group_follows", "term", st.Term)
	}
}

func (c *Core) transmit(m *raftpb.Message) {
	if m.To == c.who.ID {
		return
	}
	data, err := m.Marshal()
	if err != nil {
		panic(err)
	}
	var w pack.Writer
	w.Uint(msgRaft).Text(c.cfg.Group)
	w.Data = append(w.Data, data...)
	c.fx.Send(peerOf(m.To), w.Data)
	if m.Type == raftpb.MsgSnap {
		// It is sent again if it does not arrive; the library is to go on asking meanwhile.
		c.node.ReportSnapshot(m.To, raft.SnapshotFinish)
	}
}

func (c *Core) apply(e *raftpb.Entry) {
	c.applied, c.termAt = e.Index, e.Term
	switch e.Type {
	case raftpb.EntryNormal:
		r := pack.Reader{Data: e.Data}
		tag, kind := r.Uint(), byte(r.Uint())
		if m := c.machines[kind]; len(e.Data) > 0 && r.Err() == nil && m != nil {
			c.fx.Applied(kind, tag, m.Apply(r.Data))
		}
	case raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		if err := cc.Unmarshal(e.Data); err != nil {
			panic(err)
		}
		c.reconfigure(cc.AsV2())
	case raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if err := cc.Unmarshal(e.Data); err != nil {
			panic(err)
		}
		c.reconfigure(cc)
	}
}

func (c *Core) reconfigure(cc raftpb.ConfChangeV2) {
	c.conf = *c.node.ApplyConfChange(cc)
	r := pack.Reader{Data: cc.Context}
	tag, name := r.Uint(), r.Text(mostName)
	for _, ch := range cc.Changes {
		switch ch.Type {
		case raftpb.ConfChangeAddNode, raftpb.ConfChangeAddLearnerNode:
			c.names[ch.NodeID] = name
			delete(c.applicant, name)
		case raftpb.ConfChangeRemoveNode:
			delete(c.names, ch.NodeID)
		}
	}
	c.changing = len(c.conf.VotersOutgoing) > 0
	c.place()
	if len(cc.Changes) > 0 {
		c.fx.Tell("group_changed", "voters", len(c.conf.Voters), "learners", len(c.conf.Learners), "name", name)
		c.fx.Applied(0, tag, nil)
	}
}

// place sees whether this process is of the group.
func (c *Core) place() {
	if c.phase != Member && c.phase != Outside {
		return
	}
	_, in := c.names[c.who.ID]
	if in != (c.phase == Member) {
		if c.phase = Outside; in {
			c.phase = Member
		}
		c.fx.Tell("group_phase", "phase", c.phase.String())
	}
}

// snapshot holds the members' names and every machine's state.
func (c *Core) snapshot() []byte {
	var w pack.Writer
	ids := make([]uint64, 0, len(c.names))
	for id := range c.names {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	w.Uint(1).Uint(uint64(len(ids)))
	for _, id := range ids {
		w.Uint(id).Text(c.names[id])
	}
	w.Uint(uint64(len(c.kinds)))
	for _, k := range c.kinds {
		w.Uint(uint64(k)).Bytes(c.machines[k].Snapshot())
	}
	return w.Data
}

// mostSnapshot bounds the state of all machines.
const mostSnapshot = 150 << 10

func (c *Core) restore(snap raftpb.Snapshot) error {
	r := pack.Reader{Data: snap.Data}
	if v := r.Uint(); v != 1 {
		return fmt.Errorf("consensus: a snapshot of version %d, only 1 is known", v)
	}
	names := map[uint64]string{}
	for n := r.Count(64); n > 0; n-- {
		id := r.Uint()
		names[id] = r.Text(mostName)
	}
	for n := r.Count(256); n > 0; n-- {
		k, data := byte(r.Uint()), r.Bytes(mostSnapshot)
		if r.Err() != nil {
			break
		}
		if m := c.machines[k]; m != nil {
			if err := m.Restore(data); err != nil {
				return fmt.Errorf("consensus: machine %d: %w", k, err)
			}
		}
	}
	if err := r.Err(); err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	c.names, c.conf = names, snap.Metadata.ConfState
	c.applied, c.snapAt, c.termAt = snap.Metadata.Index, snap.Metadata.Index, snap.Metadata.Term
	c.place()
	return nil
}

func (c *Core) compact() {
	if c.applied-c.snapAt < uint64(c.cfg.Every) {
		return
	}
	conf := c.conf
	snap, err := c.mem.CreateSnapshot(c.applied, &conf, c.snapshot())
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		snap, err = c.mem.Snapshot()
	}
	if err != nil {
		panic(err)
	}
	if !c.check(c.store.Save(raftpb.HardState{}, nil, snap)) {
		return
	}
	c.snapAt = c.applied
	first, _ := c.mem.FirstIndex()
	if to := c.applied - uint64(c.cfg.Keep); c.applied > uint64(c.cfg.Keep) && to > first {
		if err := c.mem.Compact(to); err != nil {
			panic(err)
		}
		c.check(c.store.Compact(to))
	}
}

// Leading tells whether this process leads and has applied all that earlier leaders agreed on, and in which term. It may have been
// deposed without knowing yet: what must not rest on a deposed leader's word asks Confirm first.
func (c *Core) Leading() (term uint64, ok bool) {
	if c.node == nil || c.phase != Member {
		return 0, false
	}
	st := c.node.BasicStatus()
	return st.Term, st.RaftState == raft.StateLeader && c.termAt == st.Term && c.now >= c.yields
}

// Leader is whom this process takes for the leader; 0: nobody.
func (c *Core) Leader() uint32 {
	if c.node == nil {
		return 0
	}
	return peerOf(c.node.BasicStatus().Lead)
}

// Confirm asks the voters whether this process leads still; Confirmed is called under the tag if so, and never if not.
func (c *Core) Confirm(now Time, tag uint64) error {
	c.now = max(c.now, now)
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	var w pack.Writer
	c.guard(func() { c.node.ReadIndex(w.Uint(tag).Data) })
	c.work()
	return nil
}

// Propose has a command agreed on. Applied tells that it was, under the tag; a leader that loses its place may never hear.
func (c *Core) Propose(now Time, machine byte, tag uint64, cmd []byte) error {
	c.now = max(c.now, now)
	if len(cmd) > mostCommand {
		return ErrLong
	}
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	var w pack.Writer
	w.Uint(tag).Uint(uint64(machine))
	var err error
	c.guard(func() { err = c.node.Propose(append(w.Data, cmd...)) })
	c.work()
	if err != nil {
		return ErrBusy
	}
	return nil
}

// Add takes a process that has asked for it into the group, as one that listens and does not vote.
func (c *Core) Add(now Time, tag uint64, name string) error {
	id, asks := c.applicant[name]
	if !asks {
		return fmt.Errorf("%s has not asked to be taken in: start it with an empty store and this group's name", name)
	}
	if _, in := c.names[id]; in {
		return fmt.Errorf("%s is of the group already", name)
	}
	return c.change(now, tag, name, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddLearnerNode, NodeID: id})
}

// Promote lets a member that listens vote, once it has caught up. An earlier identity of the same process loses its vote in the same
// step.
func (c *Core) Promote(now Time, tag uint64, name string) error {
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	var changes []raftpb.ConfChangeSingle
	for _, id := range c.conf.Learners {
		if c.names[id] != name {
			continue
		}
		behind := true
		c.node.WithProgress(func(p uint64, _ raft.ProgressType, pr tracker) {
			if p == id && pr.RecentActive && pr.Match > 0 && pr.Match+64 >= c.node.BasicStatus().Commit {
				behind = false
			}
		})
		if behind {
			return fmt.Errorf("%s has not caught up yet", name)
		}
		changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode, NodeID: id})
	}
	if len(changes) == 0 {
		return fmt.Errorf("%s is no member that listens: add it first", name)
	}
	for _, id := range c.conf.Voters {
		if c.names[id] == name {
			changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: id})
		}
	}
	return c.change(now, tag, name, changes...)
}

// Remove takes a process out of the group.
func (c *Core) Remove(now Time, tag uint64, name string) error {
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	var changes []raftpb.ConfChangeSingle
	left, active := 0, 0
	recent := map[uint64]bool{c.who.ID: true}
	c.node.WithProgress(func(p uint64, _ raft.ProgressType, pr tracker) { recent[p] = recent[p] || pr.RecentActive })
	for _, id := range append(append([]uint64(nil), c.conf.Voters...), c.conf.Learners...) {
		if c.names[id] == name {
			changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: id})
		}
	}
	for _, id := range c.conf.Voters {
		if c.names[id] != name {
			left++
			if recent[id] {
				active++
			}
		}
	}
	switch {
	case len(changes) == 0:
		return fmt.Errorf("%s is not of the group", name)
	case left == 0 || 2*active <= left:
		return fmt.Errorf("without %s %d voters are left, of which %d answer: that is no majority", name, left, active)
	}
	return c.change(now, tag, name, changes...)
}

func (c *Core) change(now Time, tag uint64, name string, changes ...raftpb.ConfChangeSingle) error {
	c.now = max(c.now, now)
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	if c.changing {
		return ErrBusy
	}
	var w pack.Writer
	var err error
	c.guard(func() {
		err = c.node.ProposeConfChange(raftpb.ConfChangeV2{Changes: changes, Context: w.Uint(tag).Text(name).Data})
	})
	c.work()
	if err != nil {
		return ErrBusy
	}
	return nil
}

// Yield gives the lead to the voter that is most up to date, if this process has it.
func (c *Core) Yield(now Time) {
	c.now = max(c.now, now)
	if _, ok := c.Leading(); !ok {
		return
	}
	best, match := uint64(0), uint64(0)
	c.node.WithProgress(func(id uint64, kind raft.ProgressType, pr tracker) {
		if id != c.who.ID && kind == raft.ProgressTypePeer && pr.RecentActive && (best == 0 || pr.Match > match) {
			best, match = id, pr.Match
		}
	})
	if best != 0 {
		c.yields = c.now + Time(c.cfg.Election)*c.cfg.Turn // as long as the library tries
		c.guard(func() { c.node.TransferLeader(best) })
		c.work()
	}
}

// Close ends this process's part.
func (c *Core) Close() error {
	c.node = nil
	if c.phase == Member || c.phase == Starting {
		c.phase = Outside
	}
	return c.store.Close()
}

// Status tells how this process stands.
func (c *Core) Status() Status {
	s := Status{Phase: c.phase.String(), Reason: c.why, ID: fmt.Sprintf("%016x", c.who.ID), Boots: c.who.Boots, Applied: c.applied, Waits: []string{}, Members: []StatusMember{}}
	progress := map[uint64]tracker{}
	if c.node != nil {
		st := c.node.BasicStatus()
		s.Term, s.Commit, s.Leader = st.Term, st.Commit, c.names[st.Lead]
		if st.RaftState == raft.StateLeader {
			c.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker) { progress[id] = pr })
		}
	}
	for name := range c.applicant {
		s.Waits = append(s.Waits, name)
	}
	sort.Strings(s.Waits)
	for _, votes := range []bool{true, false} {
		ids := c.conf.Voters
		if !votes {
			ids = c.conf.Learners
		}
		for _, id := range ids {
			pr := progress[id]
			s.Members = append(s.Members, StatusMember{Name: c.names[id], ID: fmt.Sprintf("%016x", id), Votes: votes, Match: pr.Match,
				Active: pr.RecentActive || id == c.who.ID && pr.Match > 0})
		}
	}
	return s
}

// Phase is how far this process takes part, and why not further.
func (c *Core) Phase() (Phase, string) { return c.phase, c.why }

// Failure is what broke this voter; nil: nothing.
func (c *Core) Failure() error { return c.failure }

// Applied is the last command applied here.
func (c *Core) Applied() uint64 { return c.applied }
