package ownership

import "hash/fnv"

// Candidate is a process that could own jobs, as the coordinator sees it.
type Candidate struct {
	Name            string
	Incarnation     uint64
	Able            bool // it is not leaving, starved or short of disk, and is heard
	UnreachableFrom int  // how many others can't hear it, or the like: the less the better
	StableFor       Time // how long it has been able without a break
	Offers          func(job string) bool
}

// Placement is one decision: a job for a process.
type Placement struct {
	Job, To, Reason string
	Incarnation     uint64
	Handover        bool // the present owner is to be asked for it first
}

// Pace of moves that are not needed: a job stays where it is unless its place is worse for a while, so that a link that flaps does
// not have jobs go to and fro.
const (
	settle    = 5 * sec
	spreadFor = 10 * sec
)

// score is a process's place in a job's order, the same at every coordinator.
func score(job, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(job))
	h.Write([]byte{0})
	h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	return x ^ x>>29
}

// Assign decides who gets what is free, and one handover at most. free are jobs without an owner, in order; owned tells the owner of the
// others, and since when. Jobs are spread: whoever has the fewest goes first.
func Assign(now Time, free []string, owned []JobRecord, since func(job string) Time, cands []Candidate) (out []Placement) {
	load := map[string]int{}
	at := map[string]int{}
	for i, c := range cands {
		at[c.Name] = i
	}
	for _, r := range owned {
		load[r.Owner]++
	}
	best := func(job, but string, stable Time) *Candidate {
		var b *Candidate
		for i := range cands {
			c := &cands[i]
			if !c.Able || c.Name == but || c.StableFor < stable || !c.Offers(job) {
				continue
			}
			if b == nil || c.UnreachableFrom != b.UnreachableFrom && c.UnreachableFrom < b.UnreachableFrom || c.UnreachableFrom == b.UnreachableFrom && (load[c.Name] < load[b.Name] ||
				load[c.Name] == load[b.Name] && score(job, c.Name) > score(job, b.Name)) {
				b = c
			}
		}
		return b
	}
	for _, job := range free {
		if c := best(job, "", 0); c != nil {
			load[c.Name]++
			out = append(out, Placement{Job: job, To: c.Name, Incarnation: c.Incarnation, Reason: "free, and it has the fewest"})
		}
	}
	for _, r := range owned {
		i, known := at[r.Owner]
		if !known || now-since(r.Job) < settle {
			continue
		}
		own := cands[i]
		if !own.Able || own.UnreachableFrom > 0 {
			if c := best(r.Job, r.Owner, settle); c != nil && (!own.Able || c.UnreachableFrom < own.UnreachableFrom) {
				return append(out, Placement{Job: r.Job, To: c.Name, Incarnation: c.Incarnation, Handover: true, Reason: "its owner is leaving, starved or hard to hear"})
			}
		}
	}
	for _, r := range owned {
		if _, known := at[r.Owner]; !known || now-since(r.Job) < spreadFor {
			continue
		}
		if c := best(r.Job, r.Owner, spreadFor); c != nil && load[c.Name]+1 < load[r.Owner] && c.UnreachableFrom <= cands[at[r.Owner]].UnreachableFrom {
			return append(out, Placement{Job: r.Job, To: c.Name, Incarnation: c.Incarnation, Handover: true, Reason: "its owner has more than others"})
		}
	}
	return out
}
