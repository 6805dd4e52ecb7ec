package simulation

import (
	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/ownership"
)

// Trace is called with each event of a run. name is the name of the process, or empty for a fault
// that the simulation injects. args are key-value pairs, except for the events start, stop and
// fault, which have values only. Trace does nothing by default; set it to debug a run.
var Trace = func(now Time, name, event string, args []any) {}

// groupEffects is what the replicated group of a simulated process calls to send messages, to report
// results to the Core and to log events.
type groupEffects struct {
	run     *Run
	process *process
}

// Send passes a message to the network.
func (g groupEffects) Send(peer uint32, msg []byte) { g.run.send(g.process, peer, true, msg) }

// Applied reports an applied command or group change to the Core, if it exists yet.
func (g groupEffects) Applied(_ byte, tag uint64, result []byte) {
	if g.process.core != nil {
		g.process.core.Applied(g.run.localTime(g.process), tag, result)
	}
}

// Confirmed reports to the Core, if it exists yet, that the group has confirmed this process as the
// leader.
func (g groupEffects) Confirmed(tag uint64) {
	if g.process.core != nil {
		g.process.core.Confirmed(g.run.localTime(g.process), tag)
	}
}

// LogEvent counts elections and traces the event.
func (g groupEffects) LogEvent(event string, args ...any) {
	if event == consensus.EventLeaderElected || event == ownership.EventQuorumLeaderElected {
		g.run.Elections++
	}
	if event == ownership.EventQuorumLeaderElected && eventField(args, ownership.FieldStateComplete) == false {
		// The quorum reports that checkpoints may be lost, so later starts are not checked against the
		// checkpoints stored until now.
		clear(g.run.checks.stored)
		g.run.UncertainElections++
	}
	Trace(g.run.now, g.process.name, event, args)
}

// eventField returns the value of an event's field, or nil if the event does not have it.
func eventField(args []any, name string) any {
	for i := 0; i+1 < len(args); i += 2 {
		if args[i] == name {
			return args[i+1]
		}
	}
	return nil
}

// coreEffects implements ownership.Effects for a simulated process.
type coreEffects struct {
	run     *Run
	process *process
}

// Send passes a message to the network.
func (c coreEffects) Send(peer uint32, msg []byte) { c.run.send(c.process, peer, false, msg) }

// Start checks the grant and starts the job.
func (c coreEffects) Start(name string, token, checkpointNumber uint64, checkpoint []byte) error {
	Trace(c.run.now, c.process.name, "start", []any{name, token, checkpointNumber})
	c.run.checkStart(c.process, name, token, checkpointNumber, checkpoint)
	c.process.jobs[name] = &job{token: token, sequence: checkpointNumber, nextStepAt: c.run.localTime(c.process)}
	c.run.JobStarts++
	return nil
}

// Stop stops a job and returns its checkpoint.
func (c coreEffects) Stop(name string, token uint64, reason ownership.ReleaseReason) (uint64, []byte) {
	Trace(c.run.now, c.process.name, "stop", []any{name, token, reason})
	j := c.process.jobs[name]
	delete(c.process.jobs, name)
	if j == nil || j.token != token {
		c.run.reportViolation("%s stops job %s under token %d, but did not start the job under that token", c.process.name, name, token)
		return 0, nil
	}
	j.sequence++
	return j.sequence, checkpointOf(j.sequence)
}

// ApplyEffect counts an accepted effect (a message from a job's owner). It reports a violation if the
// effect's token is older than that of the job's previous effect at this process.
func (c coreEffects) ApplyEffect(name string, token ownership.FencingToken, _ []byte) {
	if token.Before(c.process.accepted[name]) {
		c.run.reportViolation("%s accepts an effect with token %v of job %s after one with token %v", c.process.name, token, name, c.process.accepted[name])
	}
	c.process.accepted[name] = token
	c.run.AcceptedEffects++
}

// EffectAcknowledged counts the effects rejected as stale.
func (c coreEffects) EffectAcknowledged(_ uint32, _ string, _ ownership.FencingToken, v ownership.Verdict, _ ownership.FencingToken) {
	if v == ownership.Stale {
		c.run.RejectedEffects++
	}
}

// CheckpointStored records a stored checkpoint. A later owner must start from it or a newer one.
func (c coreEffects) CheckpointStored(name string, token, checkpointNumber uint64, stored bool) {
	if j := c.process.jobs[name]; j != nil && j.token == token && stored {
		c.run.checks.stored[name] = max(c.run.checks.stored[name], checkpointNumber)
		c.run.Checkpoints++
	}
}

// QueryReceived does nothing: the simulation sends no queries.
func (c coreEffects) QueryReceived(uint32, string, uint64, []byte) {}

// ReplyReceived does nothing: the simulation sends no queries or requests to move jobs.
func (c coreEffects) ReplyReceived(uint64, []byte) {}

// LogEvent traces the event.
func (c coreEffects) LogEvent(event string, args ...any) {
	Trace(c.run.now, c.process.name, event, args)
}
