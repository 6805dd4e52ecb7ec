package simulation

import (
	"fmt"

	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/ownership"
)

const (
	// maxViolations is the maximum number of violations that a run reports.
	maxViolations = 5
	// maxFinalOwnerGap is how long a job may have been without an owner at the end of a run.
	maxFinalOwnerGap = 2 * Sec
)

// grantID identifies a grant of a job.
type grantID struct {
	job   string // name
	token uint64 // fencing token of the grant
}

// checks records what the checks need to know of a run, and the violations found.
type checks struct {
	violations   []string
	ownerOf      map[grantID]string // name and incarnation of the process that started the job
	highestToken map[string]uint64  // highest token under which a job was started, by job name
	stored       map[string]uint64  // highest checkpoint number reported as stored, by job name
	lastOwnedAt  map[string]Time    // last time at which a job had an owner, by job name
}

func newChecks() *checks {
	return &checks{ownerOf: map[grantID]string{}, highestToken: map[string]uint64{}, stored: map[string]uint64{}, lastOwnedAt: map[string]Time{}}
}

// passed reports whether no violation was found.
func (c *checks) passed() bool { return len(c.violations) == 0 }

// reportViolation records a violation with its time. It ignores those after the first maxViolations.
func (r *Run) reportViolation(format string, args ...any) {
	if len(r.checks.violations) < maxViolations {
		r.checks.violations = append(r.checks.violations, fmt.Sprintf("at %d ms: ", r.now/Ms)+fmt.Sprintf(format, args...))
	}
}

// checkStart checks what must hold when a process starts the job with a name: each token has one
// owner, tokens rise, and no stored checkpoint is lost.
func (r *Run) checkStart(p *process, name string, token, checkpointNumber uint64, checkpoint []byte) {
	c := r.checks
	owner := fmt.Sprint(p.name, " ", p.incarnation)
	if other, taken := c.ownerOf[grantID{name, token}]; taken && other != owner {
		r.reportViolation("fencing token %d of job %s is used by %s and by %s", token, name, other, owner)
	}
	c.ownerOf[grantID{name, token}] = owner
	if token <= c.highestToken[name] {
		r.reportViolation("%s starts job %s under token %d, after a start under token %d", owner, name, token, c.highestToken[name])
	}
	c.highestToken[name] = max(c.highestToken[name], token)
	if checkpointNumber < c.stored[name] {
		r.reportViolation("%s starts job %s from checkpoint %d, but checkpoint %d was acknowledged as stored", owner, name, checkpointNumber, c.stored[name])
	}
	if checkpointNumber > 0 && string(checkpoint) != string(checkpointOf(checkpointNumber)) {
		r.reportViolation("%s starts job %s with %q as the content of checkpoint %d", owner, name, checkpoint, checkpointNumber)
	}
}

// checkOwners checks what must hold at every step: of the processes that are awake, at most one
// leads and at most one owns each job.
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
				r.reportViolation("%s and %s both own job %s", other, p.name, name)
			}
			owners[name] = p.name
		}
	}
	r.recordGaps(owners)
}

// leads reports whether a voter without a disk leads by its lease. Voters with disks are not
// checked: two of them may believe that they lead, which is harmless because the group confirms the
// leader before each grant of a lease.
func (r *Run) leads(p *process) bool {
	if r.cfg.Disks || p.group == nil {
		return false
	}
	_, ok := p.group.Leading()
	return ok && r.localTime(p) < p.group.(*ownership.Quorum).LeaseEnd()
}

// recordGaps records the periods longer than a step in which a job had no owner, when they end. owners
// holds the names of the present owners, by job name.
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

// checkSettled checks what must hold at the end of a run: each job has had an owner within the last
// maxFinalOwnerGap. It checks nothing if no majority of the voters with disks takes part, since only
// operators can repair that.
func (r *Run) checkSettled() {
	if r.cfg.Disks && 2*(r.cfg.Voters-r.lostVoters()) <= r.cfg.Voters {
		return
	}
	for i := range r.cfg.Jobs {
		name := jobName(i)
		if at, had := r.checks.lastOwnedAt[name]; !had || r.now-at > maxFinalOwnerGap {
			r.reportViolation("job %s has had no owner since %d ms", name, at/Ms)
		}
	}
}

// lostVoters returns the number of voters with disks that do not take part in the group.
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
