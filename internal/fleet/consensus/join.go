package consensus

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

const (
	helloInterval = Time(2e8) // 200 ms
	// otherVotersTimeout is how long, from its first tick or bootstrap, a start waits for the
	// answers of all other voters even if a majority has answered.
	otherVotersTimeout = Time(1e9) // 1 s
)

// provenState describes what another replica must have on its disk, since this process received
// messages that the replica sends only once it has stored them.
type provenState struct {
	term              uint64
	logTerm, logIndex uint64 // the last log entry that the replica must have
}

// joining holds the answers (welcome messages) to this process's hellos, and the state from which
// this process answers the hellos of others.
type joining struct {
	startedAt    Time                   // first tick or bootstrap; negative before the first tick
	lastHello    Time                   // 0 before the first hello
	answers      map[uint32]bool        // whether a peer knows a group, for each peer whose answer counts
	startRecords map[uint64]StartRecord // copy of the stored records, by identity of the replica
	received     map[uint64]provenState // proven since this process started, by identity of the replica
	applicants   map[string]uint64      // identities of the processes that ask to be added, by name
}

func newJoining(stored map[uint64]StartRecord) joining {
	if stored == nil {
		stored = map[uint64]StartRecord{}
	}
	return joining{startedAt: -1, answers: map[uint32]bool{}, startRecords: stored, received: map[uint64]provenState{}, applicants: map[string]uint64{}}
}

// recordFirstTick records the time of the first tick. Later calls do nothing.
func (j *joining) recordFirstTick(now Time) {
	if j.startedAt < 0 {
		j.startedAt = now
	}
}

// restart discards answers to hellos without an identity, and restarts the wait for voters at now.
func (j *joining) restart(now Time) {
	clear(j.answers)
	j.startedAt = now
}

// helloDue reports whether a hello must be sent now, and if so records it as sent.
func (j *joining) helloDue(now Time) bool {
	if j.lastHello != 0 && now-j.lastHello < helloInterval {
		return false
	}
	j.lastHello = now
	return true
}

// recordReceived records what m proves its sender to have stored. Pre-votes prove nothing, since
// their sender does not store their term.
func (j *joining) recordReceived(m *raftpb.Message) {
	if m.Type == raftpb.MsgPreVote || m.Type == raftpb.MsgPreVoteResp {
		return
	}
	e := j.received[m.From]
	e.term = max(e.term, m.Term)
	switch {
	case m.Type == raftpb.MsgApp:
		e.logTerm, e.logIndex = m.Term, m.Index+uint64(len(m.Entries))
	case m.Type == raftpb.MsgAppResp && !m.Reject:
		e.logTerm, e.logIndex = m.Term, m.Index
	}
	j.received[m.From] = e
}

// otherVoters returns the peers that a start queries: all voters other than this process. They are
// the initial voters until the group is formed.
func (c *Core) otherVoters() (peers []uint32) {
	self := PeerID(c.cfg.Name)
	add := func(peer uint32) {
		if peer != self && !slices.Contains(peers, peer) {
			peers = append(peers, peer)
		}
	}
	if !c.configuration.formed() {
		for _, name := range c.cfg.InitialVoters {
			add(PeerID(name))
		}
	}
	for _, id := range c.configuration.state.Voters {
		add(peerOf(id))
	}
	return peers
}

// sendHello sends a hello to each other voter.
func (c *Core) sendHello() {
	h := hello{group: c.cfg.Group, name: c.cfg.Name, replica: c.identity.ID, starts: c.identity.Starts, incarnation: c.incarnation}
	data := h.encode()
	for _, p := range c.otherVoters() {
		c.effects.Send(p, data)
	}
}

// handleHello answers a starting process with what this process knows of it.
func (c *Core) handleHello(from uint32, h hello) error {
	if h.group != c.cfg.Group || PeerID(h.name) != from || h.replica != 0 && peerOf(h.replica) != from {
		return ErrInvalidHello
	}
	if c.phase == Broken || c.phase == Stale {
		return nil // a broken process can't store the start, and a stale one may be out of date
	}
	replica := h.replica
	if replica == 0 {
		replica = VoterID(h.name, 0)
	}
	start := c.joining.startRecords[replica]
	if h.replica != 0 && h.starts > start.Starts {
		// Durability: the start is stored before the answer, which lets the other process vote.
		start = StartRecord{h.starts, h.incarnation}
		if !c.checkStored(c.store.SaveStartRecord(h.replica, start)) {
			return nil
		}
		c.joining.startRecords[h.replica] = start
	}
	if !c.configuration.contains(h.replica) && !isInitial(h.replica) && c.phase == Member {
		c.joining.applicants[h.name] = h.replica
	}
	received := c.joining.received[replica]
	// An initial voter that this process has never seen must be able to complete the bootstrap, so
	// the answer does not report the group to it.
	reportsGroup := start.Starts > 0 || received.term > 0 || !c.configuration.isInitialMember(replica)
	answer := welcome{
		group:      c.cfg.Group,
		replica:    h.replica,
		hasGroup:   c.configuration.formed() && reportsGroup,
		hasRecords: c.identity.ID != 0 && c.phase != NotMember,
		start:      start,
		received:   received,
	}
	c.effects.Send(from, answer.encode())
	return nil
}

// handleWelcome handles the answer to a hello. An answer without hasRecords counts only while this
// process has no identity.
func (c *Core) handleWelcome(from uint32, m welcome) error {
	if m.group != c.cfg.Group || m.replica != c.identity.ID {
		return ErrInvalidWelcome
	}
	if c.phase != Starting {
		return nil
	}
	if cause := c.staleCause(m); m.replica != 0 && cause != storeCurrent {
		c.becomeStale(from, cause)
		return nil
	}
	if (m.hasRecords || m.replica == 0) && slices.Contains(c.otherVoters(), from) {
		c.joining.answers[from] = m.hasGroup
	}
	c.tryStart()
	return nil
}

// staleCause returns the first reason why m shows the store of this process to be stale, or
// storeCurrent if there is none.
func (c *Core) staleCause(m welcome) staleCause {
	lastIndex, lastTerm := c.recovered.lastEntry()
	switch {
	case m.start.Starts > c.identity.Starts, m.start.Starts == c.identity.Starts && m.start.Incarnation != c.incarnation:
		return laterStart
	case m.received.term > c.recovered.HardState.Term:
		return laterTerm
	case m.received.logIndex > lastIndex && lastTerm <= m.received.logTerm:
		return longerLog
	}
	return storeCurrent
}

// tryStart completes the start once enough other voters have answered. A process without an identity
// bootstraps the group, or becomes a new replica if a voter knows a group or it is no initial voter.
func (c *Core) tryStart() {
	others, answers := c.otherVoters(), c.joining.answers
	hasGroup := false
	for _, p := range others {
		hasGroup = hasGroup || answers[p]
	}
	switch {
	case c.identity.ID != 0:
		if c.enoughAnswers(len(others)) {
			c.startRaft()
		}
	case hasGroup:
		c.startAsNewReplica(groupExists)
	case !slices.Contains(c.cfg.InitialVoters, c.cfg.Name):
		c.startAsNewReplica(notInitialVoter)
	case len(answers) == len(others):
		c.bootstrap()
	}
}

// enoughAnswers reports whether a majority of the voters, including this one, has recorded this
// start. others is the number of other voters. Staleness: a later start with an older file then
// gets an answer from at least one of that majority.
func (c *Core) enoughAnswers(others int) bool {
	enough := (others + 1) / 2
	if c.identity.Starts == 1 && isInitial(c.identity.ID) {
		// All others must know an initial voter, so that none lets it bootstrap again after it lost
		// its disk.
		enough = others
	}
	answers := len(c.joining.answers)
	return answers >= enough && (answers >= others || c.now-c.joining.startedAt >= otherVotersTimeout)
}

// startAsNewReplica starts raft with a new identity. This process never was a member, or it lost its
// disk and must not vote again with its earlier identity, with which it may have voted.
func (c *Core) startAsNewReplica(reason notMemberReason) {
	nonce := c.rng.Uint32() | 1
	c.identity = Identity{Group: c.cfg.Group, Name: c.cfg.Name, ID: VoterID(c.cfg.Name, nonce), Starts: 1}
	if c.checkStored(c.store.SaveIdentity(c.identity)) {
		c.effects.LogEvent("replica_not_member", "reason", reason.String())
		c.startRaft()
	}
}

// bootstrap forms the group. It is called once all other initial voters have answered and none
// knows a group, so that all of them start with the same state.
func (c *Core) bootstrap() {
	c.identity = Identity{Group: c.cfg.Group, Name: c.cfg.Name, ID: VoterID(c.cfg.Name, 0), Starts: 1}
	c.configuration.bootstrap(c.cfg.InitialVoters)
	snap := raftpb.Snapshot{Data: c.encodeSnapshot(), Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: c.configuration.state}}
	hard := raftpb.HardState{Term: 1, Commit: 1}
	if !c.checkStored(c.store.Save(hard, nil, snap)) || !c.checkStored(c.store.SaveIdentity(c.identity)) {
		return
	}
	c.recovered.Snapshot, c.recovered.HardState = snap, hard
	c.applied.reset(snap.Metadata)
	c.effects.LogEvent("group_bootstrapped", "voters", len(c.configuration.state.Voters))
	c.joining.restart(c.now)
	c.sendHello()
	if len(c.otherVoters()) == 0 {
		c.tryStart()
	}
}
