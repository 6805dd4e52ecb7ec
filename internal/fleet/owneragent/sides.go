package owneragent

import (
	"errors"
	"fmt"
	"log/slog"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

type boxSide struct{ s *Agent }

func (b boxSide) Datagram(peer uint32, data []byte) {
	d := append([]byte(nil), data...)
	b.s.loop.Post(func() { b.s.members.Carry(peer, whose, d) })
}

func (b boxSide) Message(peer uint32, data []byte) {
	if len(data) == 0 {
		return
	}
	s := b.s
	var err error
	switch data[0] {
	case forGroup:
		if s.group != nil {
			err = s.group.Receive(s.now(), peer, data[1:])
		}
	case forCore:
		err = s.core.Receive(s.now(), peer, data[1:])
	default:
		err = errors.New("a message for nobody")
	}
	if err != nil {
		if s.counts.Malformed++; s.counts.Malformed == 1 {
			slog.Warn("owner_message_rejected", "peer", fmt.Sprintf("%08x", peer), "reason", err)
		}
	}
}

// The first byte of a message says for whom it is.
const (
	forGroup = 1
	forCore  = 2
)

func (s *Agent) send(to uint32, whom byte, msg []byte) {
	if err := s.box.Send(s.now(), to, append([]byte{whom}, msg...)); err != nil {
		slog.Error("owner_message_too_long", "bytes", len(msg), "reason", err)
	}
}

type groupSide struct{ s *Agent }

func (g groupSide) Send(peer uint32, msg []byte) { g.s.send(peer, forGroup, msg) }
func (g groupSide) Applied(_ byte, tag uint64, result []byte) {
	if g.s.core != nil {
		g.s.core.Applied(g.s.now(), tag, result)
	}
}
func (g groupSide) Confirmed(tag uint64) {
	if g.s.core != nil {
		g.s.core.Confirmed(g.s.now(), tag)
	}
}
func (g groupSide) LogEvent(event string, args ...any) { slog.Info(event, args...) }

type coreSide struct{ s *Agent }

func (c coreSide) Send(peer uint32, msg []byte) { c.s.send(peer, forCore, msg) }

func (c coreSide) Start(job string, token, number uint64, left []byte) (err error) {
	s := c.s
	j := s.handles[job]
	if j == nil {
		return fmt.Errorf("this process knows no job %q", job)
	}
	defer func() {
		if p := recover(); p != nil {
			s.counts.Panics++
			err = fmt.Errorf("%v", p)
		}
	}()
	if err := j.Start(s.now(), ownerSide{s, job, token}, token, number, left); err != nil {
		return err
	}
	s.owned[job] = token
	slog.Info("job_acquired", "job", job, "token", token)
	return nil
}

func (c coreSide) Stop(job string, token uint64, why string) (number uint64, left []byte) {
	delete(c.s.owned, job)
	slog.Info("job_released", "job", job, "token", token, "reason", why)
	c.s.guard(job, 0, func(j jobs.Job) { number, left = j.Stop() })
	return number, left
}

func (c coreSide) Effect(job string, m ownership.FencingToken, body []byte) {
	c.s.counts.Taken++
	c.s.guard(job, 0, func(j jobs.Job) { j.ApplyEffect(c.s.now(), m, body) })
}

func (c coreSide) EffectAcknowledged(peer uint32, job string, m ownership.FencingToken, v ownership.Verdict, highest ownership.FencingToken) {
	if v == ownership.Stale {
		slog.Warn("stale_owner", "job", job, "token", m.Token, "seen", highest.Token, "by", fmt.Sprintf("%08x", peer))
	}
	if token, owns := c.s.owned[job]; owns {
		c.s.guard(job, token, func(j jobs.Job) { j.EffectAcknowledged(c.s.now(), peer, m, v) })
	}
}

func (c coreSide) CheckpointStored(job string, token, number uint64, ok bool) {
	if c.s.owned[job] == token {
		c.s.guard(job, token, func(j jobs.Job) { j.CheckpointStored(c.s.now(), number, ok) })
	}
}

func (c coreSide) QueryReceived(peer uint32, job string, tag uint64, body []byte) {
	if token, owns := c.s.owned[job]; owns && c.s.core.Holds(c.s.now(), job, token) {
		c.s.guard(job, token, func(j jobs.Job) { j.QueryReceived(c.s.now(), peer, tag, body) })
	}
}

func (c coreSide) ReplyReceived(tag uint64, body []byte) {
	s := c.s
	if t, permits := s.paceTags[tag]; permits {
		delete(s.paceTags, tag)
		s.pace.ReplyReceived(s.now(), t, body)
		return
	}
	if t, asked := s.ruleTags[tag]; asked {
		delete(s.ruleTags, tag)
		s.ruled.ReplyReceived(s.now(), t, body)
		return
	}
	if t, asked := s.purseTags[tag]; asked {
		delete(s.purseTags, tag)
		s.quota.ReplyReceived(t, body)
		return
	}
	if ch := s.asks[tag]; ch != nil {
		delete(s.asks, tag)
		ch <- string(body)
	}
}

func (c coreSide) LogEvent(event string, args ...any) {
	if event == "stale_effect_rejected" {
		c.s.counts.Refused++
		slog.Warn(event, args...)
		return
	}
	slog.Info(event, args...)
}

// ownerSide is what a job may do while it is owned here.
type ownerSide struct {
	s     *Agent
	job   string
	token uint64
}

func (o ownerSide) SendEffect(to uint32, number uint64, body []byte) {
	now := o.s.now()
	if !o.s.core.Holds(now, o.job, o.token) {
		return
	}
	o.s.counts.Sent++
	o.s.core.SendEffect(now, to, o.job, ownership.FencingToken{Token: o.token, Sequence: number}, body)
}

// DoAnyway is Do without another look at the lease.
func (o ownerSide) DoAnyway(to uint32, number uint64, body []byte) {
	o.s.core.SendEffect(o.s.now(), to, o.job, ownership.FencingToken{Token: o.token, Sequence: number}, body)
}

func (o ownerSide) StoreCheckpoint(number uint64, left []byte) error {
	return o.s.core.StoreCheckpoint(o.s.now(), o.job, o.token, number, left)
}

func (o ownerSide) Reply(to uint32, tag uint64, body []byte) {
	o.s.core.Reply(o.s.now(), to, tag, body)
}

func (o ownerSide) Members() []jobs.Member { return o.s.there }
