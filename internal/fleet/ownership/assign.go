package ownership

import "hash/fnv"

// Candidate is a process that could own jobs, as the coordinator sees it.
type Candidate struct {
	Name        string
	Incarnation uint64
	Eligible    bool // not leaving, its lease has not ended, and its replica's store can be used
	UnheardBy   int  // number of members that have not left and do not hear it; fewer is better
	EligibleFor Time // how long it has been able without a break
	Offers      func(job string) bool
}

// Assignment is one decision of Assign: a job for a process.
type Assignment struct {
	Job, Member string
	Incarnation uint64
	Handover    bool   // the present owner is to release the job first
	Reason      string // text, stored with the grant
}

// A job that has an owner is handed over only after its owner has been the worse one for a while: a link that flaps must not move jobs to and fro.
const (
	minHandoverInterval  = 5 * sec  // since the last change, before a job leaves an owner that is unfit or hard to reach
	minRebalanceInterval = 10 * sec // since the last change, before a job moves to even out the load
)

// rendezvousScore ranks a process for a job (rendezvous hashing), alike at every coordinator.
func rendezvousScore(job, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(job))
	h.Write([]byte{0})
	h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	return x ^ x>>29
}

// assigner is one call of Assign.
type assigner struct {
	now        Time
	changedAt  func(job string) Time
	candidates []Candidate
	byName     map[string]*Candidate
	load       map[string]int // jobs by process
}

// Assign gives each free job an owner, and requests one handover at most. free are jobs without an owner, in order; owned are the others, and
// changedAt gives when a job's owner changed last. Jobs are spread: the process with the fewest goes first.
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

// bestCandidate is the best candidate for a job: able, not except, and stable for stableFor; nil: there is none.
func (a *assigner) bestCandidate(job, except string, stableFor Time) *Candidate {
	var best *Candidate
	for i := range a.candidates {
		candidate := &a.candidates[i]
		if !candidate.Eligible || candidate.Name == except || candidate.EligibleFor < stableFor || !candidate.Offers(job) {
			continue
		}
		if best == nil || a.isBetter(job, candidate, best) {
			best = candidate
		}
	}
	return best
}

// isBetter orders by reachability, then by load, then by rendezvousScore.
func (a *assigner) isBetter(job string, candidate, other *Candidate) bool {
	if candidate.UnheardBy != other.UnheardBy {
		return candidate.UnheardBy < other.UnheardBy
	}
	if a.load[candidate.Name] != a.load[other.Name] {
		return a.load[candidate.Name] < a.load[other.Name]
	}
	return rendezvousScore(job, candidate.Name) > rendezvousScore(job, other.Name)
}

// handover gives the handover that is most needed: an owner that is unfit or hard to reach comes before uneven load.
func (a *assigner) handover(owned []JobRecord) (Assignment, bool) {
	if p, ok := a.replaceUnfitOwner(owned); ok {
		return p, true
	}
	return a.rebalance(owned)
}

// replaceUnfitOwner finds a job whose owner is not able or not heard by some members, and a better candidate for it.
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

// rebalance finds a job whose owner has at least two jobs more than another candidate that is no harder to reach.
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

func handoverTo(job string, to *Candidate, text string) Assignment {
	return Assignment{Job: job, Member: to.Name, Incarnation: to.Incarnation, Handover: true, Reason: text}
}
