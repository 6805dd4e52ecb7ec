package owneragent

import (
	"time"

	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/ownership"
)

// Reply is the answer to a Request. Error or Answer is set by commands, the others by owners and status.
type Reply struct {
	Error         string            `json:"error,omitempty"`
	Answer        string            `json:"answer,omitempty"`
	Name          string            `json:"name,omitempty"`   // of this process
	Leader        string            `json:"leader,omitempty"` // name of the coordinator
	Kind          string            `json:"kind,omitempty"`   // where votes are kept: memory or disk
	Store         string            `json:"store,omitempty"`  // what is wrong with it
	Jobs          []JobRow          `json:"jobs,omitempty"`   // at voters
	Group         *group.Status     `json:"group,omitempty"`  // at voters with a disk
	Counts        *Counts           `json:"counts,omitempty"`
	Owned         map[string]uint64 `json:"mine,omitempty"` // tokens of the jobs owned here
	HighestTokens map[string]uint64 `json:"seen,omitempty"` // highest tokens that the fence here has accepted
	LeaseMS       int64             `json:"lease_ms"`       // remaining
}

// JobRow is a job as this voter's copy of the table has it.
type JobRow struct {
	Job              string `json:"job"`
	Owner            string `json:"owner"`
	Token            uint64 `json:"token"`
	CheckpointNumber uint64 `json:"number"`     // of the checkpoint
	CheckpointBytes  int    `json:"left_bytes"` // size of the checkpoint
	ChangedAt        string `json:"since"`      // last change, RFC 3339
	Reason           string `json:"why"`        // reason of the last change
}

// fillReport fills the answer to owners and status, on the worker.
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

func newJobRow(row *ownership.JobRecord) JobRow {
	return JobRow{Job: row.Job, Owner: row.Owner, Token: row.Token, CheckpointNumber: row.CheckpointNumber, CheckpointBytes: len(row.Checkpoint),
		ChangedAt: time.UnixMilli(row.ChangedAt).UTC().Format(time.RFC3339), Reason: row.Reason}
}
