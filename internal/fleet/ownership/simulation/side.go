package simulation

import (
	"fmt"

	"croftlock/internal/fleet/ownership"
)

type groupSide struct {
	r *Run
	p int
}

func (s groupSide) Send(peer uint32, msg []byte) { s.r.send(s.p, peer, true, msg) }

func (s groupSide) Applied(_ byte, tag uint64, result []byte) {
	p := s.r.ps[s.p]
	if p.core != nil {
		p.core.Applied(s.r.local(p), tag, result)
	}
}

func (s groupSide) Confirmed(tag uint64) {
	p := s.r.ps[s.p]
	if p.core != nil {
		p.core.Confirmed(s.r.local(p), tag)
	}
}

func (s groupSide) LogEvent(event string, args ...any) {
	if event == "leader_elected" || event == "quorum_leader_elected" {
		s.r.Leads++
	}
	if event == "quorum_leader_elected" && args[3] == false {
		// It says itself that what was kept may be gone.
		clear(s.r.acked)
		s.r.Unsure++
	}
	Trace(s.r.now, s.r.ps[s.p].name, event, args)
}

// Trace is called with each event; for looking into a run.
var Trace = func(now Time, name, event string, args []any) {}

type side struct {
	r *Run
	p int
}

func (s side) Send(peer uint32, msg []byte) { s.r.send(s.p, peer, false, msg) }

func (s side) Start(name string, token, number uint64, left []byte) error {
	r, p := s.r, s.r.ps[s.p]
	Trace(r.now, p.name, "start", []any{name, token, number})
	key, me := fmt.Sprint(name, " ", token), fmt.Sprint(p.name, " ", p.life)
	if o, taken := r.owners[key]; taken && o != me {
		r.fail("token %d of %s was %s's and is %s's", token, name, o, me)
	}
	r.owners[key] = me
	if token <= r.top[name] {
		r.fail("%s begins %s with token %d, after %d", me, name, token, r.top[name])
	}
	r.top[name] = max(r.top[name], token)
	if number < r.acked[name] {
		r.fail("%s begins %s from note %d, %d was kept for sure", me, name, number, r.acked[name])
	}
	if string(left) != fmt.Sprint(number) && number > 0 {
		r.fail("%s begins %s with %q under number %d", me, name, left, number)
	}
	p.jobs[name] = &job{token: token, number: number, stepAt: r.local(p)}
	r.Starts++
	return nil
}

func (s side) Stop(name string, token uint64, why string) (uint64, []byte) {
	p := s.r.ps[s.p]
	Trace(s.r.now, p.name, "stop", []any{name, token, why})
	j := p.jobs[name]
	delete(p.jobs, name)
	if j == nil || j.token != token {
		s.r.fail("%s stops %s with token %d, which it did not begin", p.name, name, token)
		return 0, nil
	}
	j.number++
	return j.number, []byte(fmt.Sprint(j.number))
}

func (s side) Effect(name string, m ownership.FencingToken, _ []byte) {
	p := s.r.ps[s.p]
	if m.Before(p.taken[name]) {
		s.r.fail("%s takes %v of %s after %v", p.name, m, name, p.taken[name])
	}
	p.taken[name] = m
	s.r.Effects++
}

func (s side) EffectAcknowledged(_ uint32, _ string, _ ownership.FencingToken, v ownership.Verdict, _ ownership.FencingToken) {
	if v == ownership.Stale {
		s.r.Refused++
	}
}

func (s side) CheckpointStored(name string, token, number uint64, ok bool) {
	p := s.r.ps[s.p]
	if j := p.jobs[name]; j != nil && j.token == token && ok {
		s.r.acked[name] = max(s.r.acked[name], number)
		s.r.Notes++
	}
}

func (s side) QueryReceived(uint32, string, uint64, []byte) {}

func (s side) ReplyReceived(uint64, []byte) {}

func (s side) LogEvent(event string, args ...any) { Trace(s.r.now, s.r.ps[s.p].name, event, args) }
