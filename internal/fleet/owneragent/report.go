package owneragent

import (
	"time"

	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/ownership"
)

// Reply is the answer.
type Reply struct {
	Error  string            `json:"error,omitempty"`
	Answer string            `json:"answer,omitempty"`
	Name   string            `json:"name,omitempty"`
	Leader string            `json:"leader,omitempty"`
	Kind   string            `json:"kind,omitempty"`
	Store  string            `json:"store,omitempty"` // what is wrong with it
	Jobs   []JobRow          `json:"jobs,omitempty"`
	Group  *group.Status     `json:"group,omitempty"`
	Counts *Counts           `json:"counts,omitempty"`
	Mine   map[string]uint64 `json:"mine,omitempty"`
	Seen   map[string]uint64 `json:"seen,omitempty"`
	Lease  int64             `json:"lease_ms"`
}

// JobRow is a job as this process's copy of the table has it: a voter's; others know their own jobs alone.
type JobRow struct {
	Job    string `json:"job"`
	Owner  string `json:"owner"`
	Token  uint64 `json:"token"`
	Number uint64 `json:"number"`
	Left   int    `json:"left_bytes"`
	Since  string `json:"since"`
	Why    string `json:"why"`
}

func (s *Agent) report(r *Reply) {
	r.Name, r.Kind, r.Store = s.name, "memory", s.broken
	counts := s.counts
	r.Counts = &counts
	for _, m := range s.there {
		if m.Peer == s.core.Leader() {
			r.Leader = m.Name
		}
	}
	if s.o.Dir != "" {
		r.Kind = "disk"
	}
	if s.raft != nil {
		st := s.raft.Status()
		r.Group = &st
	}
	if s.group != nil {
		for _, row := range s.table.Jobs() {
			r.Jobs = append(r.Jobs, JobRow{row.Job, row.Owner, row.Token, row.CheckpointNumber, len(row.Checkpoint), time.UnixMilli(row.Since).UTC().Format(time.RFC3339), row.Reason})
		}
	}
	r.Mine, r.Seen, r.Lease = s.core.HeldJobs(), map[string]uint64{}, s.core.LeaseRemaining(s.now())/1e6
	for _, n := range s.names {
		if m := s.fence.Last(n); m != (ownership.FencingToken{}) {
			r.Seen[n] = m.Token
		}
	}
}
