package ownership

import "hash/fnv"

// Candidate is a process that could own jobs, as known to the coordinator.
type Candidate struct {
	Name        string                // member name
	Incarnation uint64                // distinguishes the process from others of this name
	Eligible    bool                  // whether it is not leaving, its lease has not ended, and its replica's store can be used
	UnheardBy   int                   // number of members that have not left and do not hear it; lower is better
	EligibleFor Time                  // how long it has been eligible without interruption
	Offers      func(job string) bool // reports whether the process can own a job
}

// Assignment is a decision to assign a job to a process.
type Assignment struct {
	Job, Member string // names; Member is the new owner
	Incarnation uint64 // of the member's process
	Handover    bool   // whether the present owner must release the job first; false for a job without an owner
	Reason      string // text, stored with the grant
}

// Minimum time from a job's last change of owner to its handover. The new owner must have been
// eligible for the same time, so that an unstable link does not move jobs back and forth.
const (
	minHandoverInterval  = 5 * sec  // for a handover from an owner that is not eligible or that some members do not hear
	minRebalanceInterval = 10 * sec // for a handover that balances the load
)

// rendezvousScore returns the score of a process for a job by rendezvous hashing. Every coordinator
// computes the same scores.
func rendezvousScore(job, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(job))
	h.Write([]byte{0})
	h.Write([]byte(name))
	// Mix the bits, like the finalizer of SplitMix64.
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	return x ^ x>>29
}

// assigner is the state of one call of Assign.
type assigner struct {
	now        Time
	changedAt  func(job string) Time
	candidates []Candidate
	byName     map[string]*Candidate // by member name
	load       map[string]int        // number of jobs by member name
}

// Assign assigns each free job to a candidate and requests at most one handover. free holds the jobs
// to assign and owned the jobs whose owner may be alive, both in the order in which they are
// considered. changedAt returns when a job's owner last changed. Among candidates with the same
// UnheardBy, Assign prefers the one with the fewest jobs.
func Assign(now Time, free []string, owned []JobRecord, changedAt func(job string) Time, candidates []Candidate) []Assignment {
	a := assigner{now: now, changedAt: changedAt, candidates: candidates, byName: map[string]*Candidate{}, load: map[string]int{}}
	for i := range candidates {
		a.byName[candidates[i].Name] = &candidates[i]
	}
	for _, row := range owned {
		a.load[row.Owner]++
	}
	var assignments []Assignment
	for _, job := range free {
		if to := a.bestCandidate(job, "", 0); to != nil {
			a.load[to.Name]++
			assignments = append(assignments, Assignment{Job: job, Member: to.Name, Incarnation: to.Incarnation, Reason: textFree})
		}
	}
	if handover, ok := a.handover(owned); ok {
		assignments = append(assignments, handover)
	}
	return assignments
}

// bestCandidate returns the best candidate for a job among those that offer it, are not named except
// and have been eligible for minEligible or longer. It returns nil if there is none.
func (a *assigner) bestCandidate(job, except string, minEligible Time) *Candidate {
	var best *Candidate
	for i := range a.candidates {
		candidate := &a.candidates[i]
		if !candidate.Eligible || candidate.Name == except || candidate.EligibleFor < minEligible || !candidate.Offers(job) {
			continue
		}
		if best == nil || a.isBetter(job, candidate, best) {
			best = candidate
		}
	}
	return best
}

// isBetter reports whether candidate is better than other: by lower UnheardBy, then by lower load,
// then by higher rendezvousScore.
func (a *assigner) isBetter(job string, candidate, other *Candidate) bool {
	if candidate.UnheardBy != other.UnheardBy {
		return candidate.UnheardBy < other.UnheardBy
	}
	if a.load[candidate.Name] != a.load[other.Name] {
		return a.load[candidate.Name] < a.load[other.Name]
	}
	return rendezvousScore(job, candidate.Name) > rendezvousScore(job, other.Name)
}

// handover returns the most urgent handover, if any: replacing an owner that is not eligible, or not
// heard by some members, comes before balancing the load.
func (a *assigner) handover(owned []JobRecord) (Assignment, bool) {
	if replacement, ok := a.replaceUnfitOwner(owned); ok {
		return replacement, true
	}
	return a.rebalance(owned)
}

// replaceUnfitOwner returns a handover of the first job whose owner is not eligible, or not heard by
// some members, and for which there is a better candidate.
func (a *assigner) replaceUnfitOwner(owned []JobRecord) (Assignment, bool) {
	for _, row := range owned {
		owner := a.byName[row.Owner]
		if owner == nil || a.now-a.changedAt(row.Job) < minHandoverInterval {
			continue
		}
		if owner.Eligible && owner.UnheardBy == 0 {
			continue
		}
		to := a.bestCandidate(row.Job, row.Owner, minHandoverInterval)
		if to != nil && (!owner.Eligible || to.UnheardBy < owner.UnheardBy) {
			return handoverTo(row.Job, to, textOwnerUnfit), true
		}
	}
	return Assignment{}, false
}

// rebalance returns a handover of the first job whose owner has at least two jobs more than the best
// other candidate, provided that the candidate's UnheardBy is not higher than the owner's. With a
// difference of one, the handover would only exchange the loads of the two.
func (a *assigner) rebalance(owned []JobRecord) (Assignment, bool) {
	for _, row := range owned {
		owner := a.byName[row.Owner]
		if owner == nil || a.now-a.changedAt(row.Job) < minRebalanceInterval {
			continue
		}
		to := a.bestCandidate(row.Job, row.Owner, minRebalanceInterval)
		if to != nil && a.load[to.Name]+1 < a.load[row.Owner] && to.UnheardBy <= owner.UnheardBy {
			return handoverTo(row.Job, to, textRebalanced), true
		}
	}
	return Assignment{}, false
}

// handoverTo returns the assignment that hands a job over to a candidate, with text as the reason.
func handoverTo(job string, to *Candidate, text string) Assignment {
	return Assignment{Job: job, Member: to.Name, Incarnation: to.Incarnation, Handover: true, Reason: text}
}
