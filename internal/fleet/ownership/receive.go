package ownership

import (
	"errors"
	"fmt"

	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/group"
)

var errTorn = errors.New("ownership: a message is torn, or of no known kind")

// Receive takes another Core's message.
func (c *Core) Receive(now Time, from uint32, msg []byte) error {
	c.now = max(c.now, now)
	defer c.drain()
	return c.receive(from, msg)
}

func (c *Core) receive(from uint32, msg []byte) error {
	r := encoding.Reader{Data: msg}
	switch kind := r.Uint(); kind {
	case msgKeep:
		name, life, seq, able, epoch, list := r.Text(mostName), r.Uint(), r.Uint(), r.Bool(), r.Uint(), r.Uint()
		if r.Err() != nil || group.Peer(name) != from || life == 0 {
			return errTorn
		}
		c.takeKeep(from, name, life, seq, able, epoch, list)
	case msgKept:
		seq, life, epoch, offer := r.Uint(), r.Uint(), r.Uint(), r.Bool()
		if r.Err() != nil {
			return errTorn
		}
		if life == c.cfg.Incarnation {
			c.takeKept(from, seq, epoch, offer)
		}
	case msgElse:
		leader := uint32(r.Uint())
		if r.Err() != nil {
			return errTorn
		}
		if from == c.leader && leader != 0 && leader != from {
			c.leader, c.askAt = leader, 0
		}
	case msgOffer:
		name, life := r.Text(mostName), r.Uint()
		offers := map[string]bool{}
		for n := r.Count(MaxJobs); n > 0; n-- {
			offers[r.Text(mostName)] = true
		}
		if r.Err() != nil || group.Peer(name) != from {
			return errTorn
		}
		if s := c.sessions[who{name, life}]; s != nil {
			s.offers = offers
		}
	case msgJobs:
		return c.takeJobs(from, r)
	case msgReleased:
		name, life, able := r.Text(mostName), r.Uint(), r.Bool()
		job, token, raise := r.Text(mostName), r.Uint(), r.Uint()
		number, left, why := r.Uint(), r.Bytes(MaxCheckpoint), r.Text(200)
		if r.Err() != nil || group.Peer(name) != from {
			return errTorn
		}
		if s := c.sessions[who{name, life}]; s != nil && !able {
			s.able = false // else it would be granted again what it has just given back
		}
		c.takeReleased(name, life, job, token, raise, number, left, why)
	case msgNote:
		job, token, number, left := r.Text(mostName), r.Uint(), r.Uint(), r.Bytes(MaxCheckpoint)
		if r.Err() != nil {
			return errTorn
		}
		if c.leads != 0 {
			c.propose("", noteCmd(job, token, number, left), &noted{from, token, number}, job)
		}
	case msgNoted:
		job, token, number, ok := r.Text(mostName), r.Uint(), r.Uint(), r.Bool()
		if r.Err() != nil {
			return errTorn
		}
		if h := c.held[job]; h != nil && h.token == token {
			c.fx.CheckpointStored(job, token, number, ok)
		}
	case msgEffect:
		job, m, body := r.Text(mostName), FencingToken{r.Uint(), r.Uint()}, r.Bytes(1<<16)
		if r.Err() != nil || job == "" {
			return errTorn
		}
		v, highest := c.fence.Check(job, m)
		switch v {
		case Accepted:
			c.fx.Effect(job, m, body)
		case Stale:
			c.fx.LogEvent("stale_effect_rejected", "job", job, "token", m.Token, "seen", highest.Token, "from", fmt.Sprintf("%08x", from))
		}
		var w encoding.Writer
		c.send(from, w.Uint(msgAck).Text(job).Uint(m.Token).Uint(m.Sequence).Uint(uint64(v)).Uint(highest.Token).Uint(highest.Sequence).Data)
	case msgAck:
		job, m, v, highest := r.Text(mostName), FencingToken{r.Uint(), r.Uint()}, Verdict(r.Uint()), FencingToken{r.Uint(), r.Uint()}
		if r.Err() != nil || v > Stale {
			return errTorn
		}
		if h := c.held[job]; v == Stale && h != nil && h.token == m.Token && !h.released {
			// There was a later owner, or so a receiver remembers: this one is none, and the next token is to be above.
			h.raise = highest.Token
			c.stop(job, h, "a receiver has seen a later token")
		}
		c.fx.EffectAcknowledged(from, job, m, v, highest)
	case msgMove:
		job, to, tag := r.Text(mostName), r.Text(mostName), r.Uint()
		if r.Err() != nil {
			return errTorn
		}
		var w encoding.Writer
		c.send(from, w.Uint(msgMoved).Uint(tag).Text(c.move(job, to)).Data)
	case msgMoved:
		tag, answer := r.Uint(), r.Text(200)
		if r.Err() != nil {
			return errTorn
		}
		c.fx.ReplyReceived(tag, []byte(answer))
	case msgAsk:
		job, tag, asker, body := r.Text(mostName), r.Uint(), uint32(r.Uint()), r.Bytes(1<<16)
		if r.Err() != nil {
			return errTorn
		}
		if h := c.held[job]; h != nil && !h.released && c.now < c.until {
			c.fx.QueryReceived(asker, job, tag, body)
		} else if row := c.table.Job(job); c.leads != 0 && row != nil && row.Owner != "" && row.Owner != c.cfg.Name {
			c.send(group.Peer(row.Owner), msg)
		}
	case msgAnswer:
		tag, body := r.Uint(), r.Bytes(1<<16)
		if r.Err() != nil {
			return errTorn
		}
		c.fx.ReplyReceived(tag, body)
	default:
		return errTorn
	}
	return nil
}

// takeKept takes a lease.
func (c *Core) takeKept(from uint32, seq, epoch uint64, offer bool) {
	at, out := c.asked[seq]
	if !out || epoch < c.epoch {
		return
	}
	delete(c.asked, seq)
	if c.cfg.FromAnswer {
		at = c.now
	}
	if epoch > c.epoch {
		c.epoch, c.list = epoch, 0
	}
	c.leader, c.heardAt = from, c.now
	c.until = max(c.until, at+c.cfg.Lease-c.cfg.Lease/drift)
	if offer {
		var w encoding.Writer
		w.Uint(msgOffer).Text(c.cfg.Name).Uint(c.cfg.Incarnation).Uint(uint64(len(c.cfg.Jobs)))
		for _, j := range c.cfg.Jobs {
			w.Text(j)
		}
		c.send(from, w.Data)
	}
}

func (c *Core) takeReleased(name string, life uint64, job string, token, raise, number uint64, left []byte, why string) {
	row := c.table.Job(job)
	if c.leads == 0 || row == nil || c.busy[job] != 0 {
		return // it is told again
	}
	if row.Owner != name || row.Incarnation != life || row.Token != token {
		if s := c.sessions[who{name, life}]; s != nil && c.now-s.toldAt > 50*ms {
			s.told = 0 // it does not know yet that the job is no longer its own
			c.tellList(s)
		}
		return
	}
	if raise > row.Token {
		c.propose(job, raiseCmd(job, raise), nil, job)
		return // the row's token is another now: the process is told that it owns nothing
	}
	if len(why) > len(failedMark) && why[:len(failedMark)] == failedMark {
		f := c.fails[job]
		if f == nil || c.now-f.until > 60*sec {
			f = &failing{}
			c.fails[job] = f
		}
		f.until = c.now + min(60*sec, sec<<min(f.n, 6))
		f.n++
	}
	c.propose(job, releaseCmd(job, token, number, left, c.cfg.Wall(), why), nil, job)
}
