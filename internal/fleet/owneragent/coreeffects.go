package owneragent

import (
	"fmt"
	"log/slog"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

// coreEffects are the effects of the ownership Core.
type coreEffects struct{ agent *Agent }

// Send sends a message to another process's Core.
func (c coreEffects) Send(peer uint32, msg []byte) { c.agent.send(peer, recipientCore, msg) }

// Start begins a job.
func (c coreEffects) Start(job string, token, checkpointNumber uint64, checkpoint []byte) error {
	return c.agent.jobs.start(job, token, checkpointNumber, checkpoint)
}

// Stop ends a job.
func (c coreEffects) Stop(job string, token uint64, reason ownership.ReleaseReason) (uint64, []byte) {
	return c.agent.jobs.stop(job, token, reason)
}

// ApplyEffect passes an effect of a job's owner to the receiver's part here.
func (c coreEffects) ApplyEffect(job string, token ownership.FencingToken, body []byte) {
	c.agent.counts.AcceptedEffects++
	c.agent.jobs.callJob(job, 0, func(j jobs.Job) { j.ApplyEffect(c.agent.now(), token, body) })
}

// EffectAcknowledged passes a receiver's verdict to the job.
func (c coreEffects) EffectAcknowledged(peer uint32, job string, token ownership.FencingToken, v ownership.Verdict, highest ownership.FencingToken) {
	if v == ownership.Stale {
		slog.Warn("stale_owner", "job", job, "token", token.Token, "highest_token", highest.Token, "receiver", fmt.Sprintf("%08x", peer))
	}
	c.agent.jobs.callOwnedJob(job, func(j jobs.Job) { j.EffectAcknowledged(c.agent.now(), peer, token, v) })
}

// CheckpointStored passes the result to the job, if it is still owned under that token.
func (c coreEffects) CheckpointStored(job string, token, checkpointNumber uint64, stored bool) {
	if c.agent.jobs.owned[job] == token {
		c.agent.jobs.callJob(job, token, func(j jobs.Job) { j.CheckpointStored(c.agent.now(), checkpointNumber, stored) })
	}
}

// QueryReceived passes a query to a job, while the lease lasts.
func (c coreEffects) QueryReceived(peer uint32, job string, tag uint64, body []byte) {
	token, owns := c.agent.jobs.owned[job]
	if owns && c.agent.core.IsOwner(c.agent.now(), job, token) {
		c.agent.jobs.callJob(job, token, func(j jobs.Job) { j.QueryReceived(c.agent.now(), peer, tag, body) })
	}
}

// ReplyReceived passes a reply to whoever sent the query.
func (c coreEffects) ReplyReceived(tag uint64, body []byte) { c.agent.queries.replyReceived(tag, body) }

// LogEvent counts stale effects and logs them as warnings, other events at level info.
func (c coreEffects) LogEvent(event string, args ...any) {
	if event == ownership.EventStaleEffectRejected {
		c.agent.counts.RejectedEffects++
		slog.Warn(event, args...)
		return
	}
	slog.Info(event, args...)
}
