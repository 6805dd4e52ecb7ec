package simulation

import (
	"fmt"

	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/ownership"
)

const (
	maxViolations = 5 // that are reported
	// maxFinalOwnerGap bounds how long a job may have been without an owner at the end of the run.
	maxFinalOwnerGap = 2 * Sec
)

// grantID names a grant of a job.
type grantID struct {
	job   string
	token uint64
}

// checks remember what has happened in a run, and the violations found.
type checks struct {
	violations   []string
	ownerOf      map[grantID]string // process and incarnation that started the job
	highestToken map[string]uint64  // that a job was started under
	stored       map[string]uint64  // highest checkpoint number that was reported as stored
	lastOwnedAt  map[string]Time    // last time that a job had an owner
}

func newChecks() *checks {
	return &checks{ownerOf: map[grantID]string{}, highestToken: map[string]uint64{}, stored: map[string]uint64{}, lastOwnedAt: map[string]Time{}}
}

func (c *checks) passed() bool { return len(c.violations) == 0 }

func (r *Run) reportViolation(format string, args ...any) {
	if len(r.checks.violations) < maxViolations {
		r.checks.violations = append(r.checks.violations, fmt.Sprintf("at %d ms: ", r.now/Ms)+fmt.Sprintf(format, args...))
	}
}

// checkStart checks what must hold where a job starts: one owner for each token, rising tokens, no checkpoint lost.
func (r *Run) checkStart(p *process, name string, token, number uint64, checkpoint []byte) {
	c := r.checks
	owner := fmt.Sprint(p.name, " ", p.incarnation)
	if other, taken := c.ownerOf[grantID{name, token}]; taken && other != owner {
		r.reportViolation("fencing token %d of %s is used by %s and by %s", token, name, other, owner)
	}
	c.ownerOf[grantID{name, token}] = owner
	if token <= c.highestToken[name] {
		r.reportViolation("%s starts %s under token %d, after token %d", owner, name, token, c.highestToken[name])
	}
	c.highestToken[name] = max(c.highestToken[name], token)
	if number < c.stored[name] {
		r.reportViolation("%s starts %s from checkpoint %d, but checkpoint %d was acknowledged as stored", owner, name, number, c.stored[name])
	}
	if number > 0 && string(checkpoint) != string(checkpointOf(number)) {
		r.reportViolation("%s starts %s with %q as checkpoint %d", owner, name, checkpoint, number)
	}
}

// checkOwners checks what must hold at every step: of the processes that are awake at most one leads, and at most one owns each job.
func (r *Run) checkOwners() {
	owners, leader := map[string]string{}, ""
	for _, p := range r.processes {
		if !r.awake(p) {
			continue
		}
		if r.leads(p) {
			if leader != "" {
				r.reportViolation("%s and %s both lead", leader, p.name)
			}
			leader = p.name
		}
		for name, j := range p.jobs {
			if !p.core.IsOwner(r.localTime(p), name, j.token) {
				continue
			}
			if other := owners[name]; other != "" {
				r.reportViolation("%s and %s both own %s", other, p.name, name)
			}
			owners[name] = p.name
		}
	}
	r.recordGaps(owners)
}

// leads reports whether a voter without a disk leads by its lease. With disks two may believe that they lead: there the group confirms each lease.
func (r *Run) leads(p *process) bool {
	if r.cfg.Disks || p.group == nil {
		return false
	}
	_, ok := p.group.Leading()
	return ok && r.localTime(p) < p.group.(*ownership.Quorum).LeaseEnd()
}

// recordGaps records how long each job was without an owner.
func (r *Run) recordGaps(owners map[string]string) {
	for i := range r.cfg.Jobs {
		name := jobName(i)
		if owners[name] == "" {
			continue
		}
		if at, had := r.checks.lastOwnedAt[name]; had && r.now-at > stepInterval {
			r.OwnerGaps = append(r.OwnerGaps, r.now-at)
		}
		r.checks.lastOwnedAt[name] = r.now
	}
}

// checkSettled checks what must hold at the end: each job has an owner, unless a majority of the disks is lost: only operators can repair that.
func (r *Run) checkSettled() {
	if r.cfg.Disks && 2*(r.cfg.Voters-r.lostVoters()) <= r.cfg.Voters {
		return
	}
	for i := range r.cfg.Jobs {
		name := jobName(i)
		if at, had := r.checks.lastOwnedAt[name]; !had || r.now-at > maxFinalOwnerGap {
			r.reportViolation("%s has had no owner since %d ms", name, at/Ms)
		}
	}
}

// lostVoters counts the voters with disks that take no part.
func (r *Run) lostVoters() (lost int) {
	for _, p := range r.processes {
		if p.raft != nil {
			if phase, _ := p.raft.Phase(); phase != consensus.Member {
				lost++
			}
		} else if p.index < r.cfg.Voters && r.cfg.Disks {
			lost++
		}
	}
	return lost
}
