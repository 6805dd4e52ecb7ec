package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/encoding"
)

// Receive takes a message of another process's Core.
func (c *Core) Receive(now Time, from uint32, msg []byte) error {
	c.now = max(c.now, now)
	r := encoding.Reader{Data: msg}
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
	if c.node == nil || c.phase != Member && c.phase != NotMember {
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
	c.fx.LogEvent("replica_broken", "reason", c.why)
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
				r := encoding.Reader{Data: s.RequestCtx}
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
			c.fx.LogEvent("leader_elected", "term", st.Term)
		}
	} else if c.leadsTerm != 0 {
		c.leadsTerm = 0
		c.fx.LogEvent("leader_lost", "term", st.Term)
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
	var w encoding.Writer
	w.Uint(msgRaft).Text(c.cfg.Group)
	w.Data = append(w.Data, data...)
	c.fx.Send(peerOf(m.To), w.Data)
	if m.Type == raftpb.MsgSnap {
		// It is sent again if it does not arrive; the library is to go on asking meanwhile.
		c.node.ReportSnapshot(m.To, raft.SnapshotFinish)
	}
}
