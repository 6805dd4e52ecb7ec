package owneragent

import (
	"time"

	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/ownership"
)

// Reply is the answer to a Request. Most commands set Error or Answer. The commands owners and
// status set the other fields.
type Reply struct {
	Error         string            `json:"error,omitempty"`
	Answer        string            `json:"answer,omitempty"`
	Name          string            `json:"name,omitempty"`   // member name of this process
	Leader        string            `json:"leader,omitempty"` // name of the coordinator
	Kind          string            `json:"kind,omitempty"`   // where a voter keeps its state: memory or disk
	Store         string            `json:"store,omitempty"`  // why the replica can't be used; empty if it can
	Jobs          []JobRow          `json:"jobs,omitempty"`   // all jobs of the fleet; only at members with a replica
	Group         *group.Status     `json:"group,omitempty"`  // only at members with a replica on disk
	Counts        *Counts           `json:"counts,omitempty"`
	Owned         map[string]uint64 `json:"mine,omitempty"` // tokens of the jobs that this process owns
	HighestTokens map[string]uint64 `json:"seen,omitempty"` // highest token that the fence has accepted, by job
	LeaseMS       int64             `json:"lease_ms"`       // remaining time of the lease, milliseconds
}

// JobRow is a job in this replica's copy of the table.
type JobRow struct {
	Job              string `json:"job"`
	Owner            string `json:"owner"`
	Token            uint64 `json:"token"`
	CheckpointNumber uint64 `json:"number"`     // number of the last stored checkpoint
	CheckpointBytes  int    `json:"left_bytes"` // size of that checkpoint
	ChangedAt        string `json:"since"`      // time of the last change, RFC 3339
	Reason           string `json:"why"`        // reason of the last change
}

// fillReport fills the reply to owners and status. It runs on the worker.
func (a *Agent) fillReport(reply *Reply) {
	counts := a.counts
	reply.Name, reply.Kind, reply.Store, reply.Counts = a.name, "memory", a.replica.failure, &counts
	if a.options.Dir != "" {
		reply.Kind = "disk"
	}
	for _, m := range a.jobs.members {
		if m.Peer == a.core.Leader() {
			reply.Leader = m.Name
		}
	}
	if a.replica.voter != nil {
		status := a.replica.voter.Status()
		reply.Group = &status
	}
	if a.replica.group != nil {
		for _, row := range a.replica.table.Jobs() {
			reply.Jobs = append(reply.Jobs, newJobRow(row))
		}
	}
	reply.Owned, reply.LeaseMS = a.core.OwnedJobs(), a.core.LeaseRemaining(a.now())/int64(time.Millisecond)
	reply.HighestTokens = map[string]uint64{}
	for _, name := range a.jobs.names {
		if token := a.fence.LastAccepted(name); token != (ownership.FencingToken{}) {
			reply.HighestTokens[name] = token.Token
		}
	}
}

// newJobRow returns the row of a job for the report.
func newJobRow(row *ownership.JobRecord) JobRow {
	return JobRow{Job: row.Job, Owner: row.Owner, Token: row.Token, CheckpointNumber: row.CheckpointNumber, CheckpointBytes: len(row.Checkpoint),
		ChangedAt: time.UnixMilli(row.ChangedAt).UTC().Format(time.RFC3339), Reason: row.Reason}
}
