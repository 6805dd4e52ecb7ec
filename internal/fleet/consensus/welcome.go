package consensus

import (
	"errors"

	"croftlock/internal/fleet/encoding"
)

func (c *Core) hello() {
	var w encoding.Writer
	w.Uint(msgHello).Text(c.cfg.Group).Text(c.cfg.Name).Uint(c.who.ID).Uint(c.who.Starts).Uint(c.life)
	for _, p := range c.others() {
		c.fx.Send(p, w.Data)
	}
}

func (c *Core) takeHello(from uint32, r encoding.Reader) error {
	group, name, id, boots, life := r.Text(mostName), r.Text(mostName), r.Uint(), r.Uint(), r.Uint()
	if r.Err() != nil || group != c.cfg.Group || PeerID(name) != from || id != 0 && peerOf(id) != from {
		return errors.New("consensus: a start of another group, or torn")
	}
	if c.phase == Broken || c.phase == Stale {
		return nil // what it remembers can't be kept, or is old, so it says nothing
	}
	asked := id
	if id == 0 {
		asked = VoterID(name, 0)
	}
	known := c.seen[asked]
	if id != 0 && boots > known.Starts {
		// Noted before it is answered: the answer lets the other one vote.
		known = StartRecord{boots, life}
		if !c.check(c.store.SaveStartRecord(id, known)) {
			return nil
		}
		c.seen[id] = known
	}
	if _, in := c.names[id]; !in && id>>32 != 0 && c.phase == Member {
		c.applicant[name] = id
	}
	m := c.met[asked]
	// A process that has begun the group but never heard of this voter does not stand in the way of its beginning too.
	lost := c.formed() && (known.Starts > 0 || m.term > 0 || !c.first(asked))
	var w encoding.Writer
	// Only who has a memory of its own counts as one who would know.
	knows := c.who.ID != 0 && c.phase != NotMember
	w.Uint(msgWelcome).Text(c.cfg.Group).Uint(id).Bool(lost).Bool(knows).Uint(known.Starts).Uint(known.Incarnation).Uint(m.term).Uint(m.ackTerm).Uint(m.ackIndex)
	c.fx.Send(from, w.Data)
	return nil
}

// first tells whether an identity is of the group's first voters and still in it.
func (c *Core) first(id uint64) bool {
	_, in := c.names[id]
	return in && id>>32 == 0
}

func (c *Core) takeWelcome(from uint32, r encoding.Reader) error {
	group, id, lost, knows := r.Text(mostName), r.Uint(), r.Bool(), r.Bool()
	known := StartRecord{r.Uint(), r.Uint()}
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
			if known.Starts > c.who.Starts || known.Starts == c.who.Starts && known.Incarnation != c.life ||
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
