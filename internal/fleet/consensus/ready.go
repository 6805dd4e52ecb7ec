package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/encoding"
)

// Receive handles a message from the Core of another process. It returns ErrInvalidHello,
// ErrInvalidWelcome, ErrInvalidRaftMessage, ErrUnknownMessageKind, a *MisroutedError, or the raft
// library's error for a malformed message.
func (c *Core) Receive(now Time, from uint32, msg []byte) error {
	c.now = max(c.now, now)
	r := encoding.Reader{Data: msg}
	switch r.Uint() {
	case kindHello:
		h, err := decodeHello(r)
		if err != nil {
			return err
		}
		return c.handleHello(from, h)
	case kindWelcome:
		m, err := decodeWelcome(r)
		if err != nil {
			return err
		}
		return c.handleWelcome(from, m)
	case kindRaft:
		m, err := decodeRaft(r, c.cfg.Group)
		if err != nil {
			return err
		}
		return c.handleRaft(from, m)
	}
	return ErrUnknownMessageKind
}

// handleRaft passes a message to the raft library, unless raft does not run or has stopped.
func (c *Core) handleRaft(from uint32, m raftpb.Message) error {
	if peerOf(m.From) != from || m.To != c.identity.ID || raft.IsLocalMsg(m.Type) {
		return &MisroutedError{Sender: m.From, Receiver: m.To, Peer: from}
	}
	c.joining.recordReceived(&m)
	if c.node == nil || c.phase != Member && c.phase != NotMember {
		return nil
	}
	c.recoverPanic(func() {
		c.node.Step(m)
		if c.delaysElection(&m) {
			c.election.reset(c.now)
		}
	})
	c.processReady()
	return nil
}

// delaysElection reports whether a message that raft has just handled restarts the election timer.
// It does if it is from the leader, or from a candidate that this process voted for.
func (c *Core) delaysElection(m *raftpb.Message) bool {
	status := c.node.BasicStatus()
	switch m.Type {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		return status.Lead == m.From
	case raftpb.MsgVote:
		return status.HardState.Vote == m.From && status.HardState.Term == m.Term
	}
	return false
}

// startRaft starts the raft library with the state that the store contained.
func (c *Core) startRaft() {
	c.storage = raft.NewMemoryStorage()
	if !raft.IsEmptySnap(c.recovered.Snapshot) {
		c.storage.ApplySnapshot(c.recovered.Snapshot)
	}
	c.storage.SetHardState(c.recovered.HardState)
	c.storage.Append(c.recovered.Entries)
	var err error
	c.recoverPanic(func() { c.node, err = raft.NewRawNode(c.raftConfig()) })
	if err != nil {
		c.becomeBroken(fmt.Errorf("the stored state is inconsistent: %v", err))
	}
	if c.phase == Broken {
		return
	}
	c.recovered.Entries = nil
	c.phase = NotMember
	if c.configuration.contains(c.identity.ID) {
		c.phase = Member
	}
	c.lastTick = c.now
	c.election.reset(c.now)
	c.processReady()
}

// processReady persists, sends and applies what the raft library has ready, until nothing is left.
func (c *Core) processReady() {
	if c.processing {
		return // called from an effect: the loop below is running and also handles what the effect caused
	}
	c.processing = true
	defer func() { c.processing = false }()
	c.recoverPanic(func() {
		for c.node != nil && c.node.HasReady() {
			rd := c.node.Ready()
			if !c.persist(&rd) {
				return
			}
			c.sendAndApply(&rd)
			if c.node == nil {
				return
			}
			c.node.Advance(rd)
			c.compact()
		}
		if c.node != nil {
			c.reportLeadership()
		}
	})
}

// persist stores the hard state, entries and snapshot of rd. Durability: it must be called before
// any message that depends on them is sent. It returns false if the store failed.
func (c *Core) persist(rd *raft.Ready) bool {
	if len(rd.Entries) > 0 || !raft.IsEmptyHardState(rd.HardState) || !raft.IsEmptySnap(rd.Snapshot) {
		if !c.checkStored(c.store.Save(rd.HardState, rd.Entries, rd.Snapshot)) {
			return false
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := c.storage.ApplySnapshot(rd.Snapshot); err != nil {
			panic(err)
		}
		if err := c.restoreSnapshot(rd.Snapshot); err != nil {
			panic(err)
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		c.storage.SetHardState(rd.HardState)
	}
	c.storage.Append(rd.Entries)
	return true
}

// sendAndApply sends messages, applies committed entries and reports confirmed reads.
func (c *Core) sendAndApply(rd *raft.Ready) {
	for i := range rd.Messages {
		c.sendRaft(&rd.Messages[i])
	}
	for i := range rd.CommittedEntries {
		c.apply(&rd.CommittedEntries[i])
	}
	for _, s := range rd.ReadStates {
		r := encoding.Reader{Data: s.RequestCtx}
		if tag := r.Uint(); r.Err() == nil {
			c.effects.Confirmed(tag)
		}
	}
}

// sendRaft sends a message of the raft library. It drops one to this replica itself.
func (c *Core) sendRaft(m *raftpb.Message) {
	if m.To == c.identity.ID {
		return
	}
	data, err := encodeRaft(c.cfg.Group, m)
	if err != nil {
		panic(err)
	}
	c.effects.Send(peerOf(m.To), data)
	if m.Type == raftpb.MsgSnap {
		// Without this report the library would send nothing else to that replica. If the snapshot
		// is lost, the library sends one again.
		c.node.ReportSnapshot(m.To, raft.SnapshotFinish)
	}
}

// apply applies a committed entry: a command or a change of the configuration.
func (c *Core) apply(e *raftpb.Entry) {
	c.applied.index, c.applied.term = e.Index, e.Term
	switch e.Type {
	case raftpb.EntryNormal:
		c.applyCommand(e.Data)
	case raftpb.EntryConfChange:
		var change raftpb.ConfChange
		if err := change.Unmarshal(e.Data); err != nil {
			panic(err)
		}
		c.applyChange(change.AsV2())
	case raftpb.EntryConfChangeV2:
		var change raftpb.ConfChangeV2
		if err := change.Unmarshal(e.Data); err != nil {
			panic(err)
		}
		c.applyChange(change)
	}
}

// applyCommand applies a command to its machine. It ignores an empty entry, which is the first of a
// new leader, and a command for a machine that this process does not have.
func (c *Core) applyCommand(data []byte) {
	if len(data) == 0 {
		return
	}
	p, err := decodeProposal(data)
	if err != nil {
		return
	}
	if m := c.machines.Get(p.machine); m != nil {
		c.effects.Applied(p.machine, p.tag, m.Apply(p.command))
	}
}

// applyChange applies a committed change of the configuration. An entry without changes, which the
// raft library appends itself, ends a joint configuration and is not reported.
func (c *Core) applyChange(change raftpb.ConfChangeV2) {
	context := decodeChangeContext(change.Context)
	c.configuration.apply(*c.node.ApplyConfChange(change), change.Changes, context.name)
	for _, single := range change.Changes {
		if single.Type == raftpb.ConfChangeAddNode || single.Type == raftpb.ConfChangeAddLearnerNode {
			delete(c.joining.applicants, context.name)
		}
	}
	c.updatePhase()
	if len(change.Changes) > 0 {
		state := &c.configuration.state
		c.effects.LogEvent("group_changed", "voters", len(state.Voters), "learners", len(state.Learners), "name", context.name)
		c.effects.Applied(0, context.tag, nil)
	}
}
