package owneragent

import (
	"fmt"
	"log/slog"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

// coreEffects implements ownership.Effects.
type coreEffects struct{ agent *Agent }

// Send sends a message to the Core of another process.
func (c coreEffects) Send(peer uint32, msg []byte) { c.agent.send(peer, recipientCore, msg) }

// Start starts a job.
func (c coreEffects) Start(job string, token, checkpointNumber uint64, checkpoint []byte) error {
	return c.agent.jobs.start(job, token, checkpointNumber, checkpoint)
}

// Stop stops a job and returns its last checkpoint.
func (c coreEffects) Stop(job string, token uint64, reason ownership.ReleaseReason) (uint64, []byte) {
	return c.agent.jobs.stop(job, token, reason)
}

// ApplyEffect passes an effect to the receiver's part of its job in this process.
func (c coreEffects) ApplyEffect(job string, token ownership.FencingToken, body []byte) {
	c.agent.counts.AcceptedEffects++
	c.agent.jobs.callJob(job, 0, func(j jobs.Job) { j.ApplyEffect(c.agent.now(), token, body) })
}

// EffectAcknowledged passes a receiver's verdict to the job if it is owned here, and logs a stale
// one.
func (c coreEffects) EffectAcknowledged(peer uint32, job string, token ownership.FencingToken, v ownership.Verdict, highest ownership.FencingToken) {
	if v == ownership.Stale {
		slog.Warn("stale_owner", "job", job, "token", token.Token, "highest_token", highest.Token, "receiver", fmt.Sprintf("%08x", peer))
	}
	c.agent.jobs.callOwnedJob(job, func(j jobs.Job) { j.EffectAcknowledged(c.agent.now(), peer, token, v) })
}

// CheckpointStored passes the result to the job if it is still owned under that token.
func (c coreEffects) CheckpointStored(job string, token, checkpointNumber uint64, stored bool) {
	if c.agent.jobs.owned[job] == token {
		c.agent.jobs.callJob(job, token, func(j jobs.Job) { j.CheckpointStored(c.agent.now(), checkpointNumber, stored) })
	}
}

// QueryReceived passes a query to a job that is owned here. It drops the query if the lease has
// ended.
func (c coreEffects) QueryReceived(peer uint32, job string, tag uint64, body []byte) {
	token, owns := c.agent.jobs.owned[job]
	if owns && c.agent.core.IsOwner(c.agent.now(), job, token) {
		c.agent.jobs.callJob(job, token, func(j jobs.Job) { j.QueryReceived(c.agent.now(), peer, tag, body) })
	}
}

// ReplyReceived passes a reply to the source or operator that sent the query.
func (c coreEffects) ReplyReceived(tag uint64, body []byte) { c.agent.queries.replyReceived(tag, body) }

// LogEvent counts rejected stale effects and logs them as warnings. It logs other events at level
// info.
func (c coreEffects) LogEvent(event string, args ...any) {
	if event == ownership.EventStaleEffectRejected {
		c.agent.counts.RejectedEffects++
		slog.Warn(event, args...)
		return
	}
	slog.Info(event, args...)
}
