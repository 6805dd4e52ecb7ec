package simulation

import (
	"croftlock/internal/fleet/ownership"
)

// Trace is called with each event; for looking into a run.
var Trace = func(now Time, name, event string, args []any) {}

// groupEffects are a voter's effects on its process.
type groupEffects struct {
	r *Run
	p *process
}

// Send gives a message to the network.
func (g groupEffects) Send(peer uint32, msg []byte) { g.r.send(g.p, peer, true, msg) }

// Applied passes the report on to the Core.
func (g groupEffects) Applied(_ byte, tag uint64, result []byte) {
	if g.p.core != nil {
		g.p.core.Applied(g.r.localTime(g.p), tag, result)
	}
}

// Confirmed passes the report on to the Core.
func (g groupEffects) Confirmed(tag uint64) {
	if g.p.core != nil {
		g.p.core.Confirmed(g.r.localTime(g.p), tag)
	}
}

// LogEvent counts elections.
func (g groupEffects) LogEvent(event string, args ...any) {
	if event == "leader_elected" || event == "quorum_leader_elected" {
		g.r.Leads++
	}
	if event == "quorum_leader_elected" && args[3] == false {
		// The quorum says itself that what was stored may be gone.
		clear(g.r.checks.stored)
		g.r.Unsure++
	}
	Trace(g.r.now, g.p.name, event, args)
}

// coreEffects are a Core's effects on its process.
type coreEffects struct {
	r *Run
	p *process
}

// Send gives a message to the network.
func (c coreEffects) Send(peer uint32, msg []byte) { c.r.send(c.p, peer, false, msg) }

// Start begins a job.
func (c coreEffects) Start(name string, token, number uint64, checkpoint []byte) error {
	Trace(c.r.now, c.p.name, "start", []any{name, token, number})
	c.r.checkStart(c.p, name, token, number, checkpoint)
	c.p.jobs[name] = &job{token: token, number: number, stepAt: c.r.localTime(c.p)}
	c.r.Starts++
	return nil
}

// Stop ends a job, with a checkpoint.
func (c coreEffects) Stop(name string, token uint64, reason string) (uint64, []byte) {
	Trace(c.r.now, c.p.name, "stop", []any{name, token, reason})
	j := c.p.jobs[name]
	delete(c.p.jobs, name)
	if j == nil || j.token != token {
		c.r.fail("%s stops %s with token %d, which it did not begin", c.p.name, name, token)
		return 0, nil
	}
	j.number++
	return j.number, checkpointOf(j.number)
}

// Effect checks the order of what the fence has accepted.
func (c coreEffects) Effect(name string, token ownership.FencingToken, _ []byte) {
	if token.Before(c.p.accepted[name]) {
		c.r.fail("%s takes %v of %s after %v", c.p.name, token, name, c.p.accepted[name])
	}
	c.p.accepted[name] = token
	c.r.Effects++
}

// EffectAcknowledged counts rejected effects.
func (c coreEffects) EffectAcknowledged(_ uint32, _ string, _ ownership.FencingToken, v ownership.Verdict, _ ownership.FencingToken) {
	if v == ownership.Stale {
		c.r.Refused++
	}
}

// CheckpointStored notes what no later owner may miss.
func (c coreEffects) CheckpointStored(name string, token, number uint64, stored bool) {
	if j := c.p.jobs[name]; j != nil && j.token == token && stored {
		c.r.checks.stored[name] = max(c.r.checks.stored[name], number)
		c.r.Notes++
	}
}

// QueryReceived does nothing: no job here is asked.
func (c coreEffects) QueryReceived(uint32, string, uint64, []byte) {}

// ReplyReceived does nothing.
func (c coreEffects) ReplyReceived(uint64, []byte) {}

// LogEvent traces the event.
func (c coreEffects) LogEvent(event string, args ...any) { Trace(c.r.now, c.p.name, event, args) }
