package ownership

import (
	"fmt"
	"slices"
	"testing"
)

func offersAll(string) bool  { return true }
func offersNone(string) bool { return false }

// assignTestTime is the time that the tests pass to Assign as the present one.
const assignTestTime = 100 * sec

// stableCandidates returns the candidates a, b and c, which have been eligible for 60 s, are heard by all
// members and can own every job.
func stableCandidates() (candidates []Candidate) {
	for i, name := range []string{"a", "b", "c"} {
		candidates = append(candidates, Candidate{Name: name, Incarnation: uint64(i + 1), Eligible: true, EligibleFor: 60 * sec, Offers: offersAll})
	}
	return candidates
}

// changedLongAgo returns 0 as the time of a job's last change of owner: at assignTestTime the job may be
// handed over.
func changedLongAgo(string) Time { return 0 }

// TestFreeJobsAreSpread tests that Assign balances the number of jobs when it assigns free jobs.
func TestFreeJobsAreSpread(t *testing.T) {
	var jobs []string
	for i := range 200 {
		jobs = append(jobs, fmt.Sprint("job", i))
	}
	load := map[string]int{}
	for _, a := range Assign(assignTestTime, jobs, nil, changedLongAgo, stableCandidates()) {
		load[a.Member]++
	}
	if load["a"]+load["b"]+load["c"] != 200 || load["a"] < 66 || load["b"] < 66 || load["c"] < 66 {
		t.Errorf("200 free jobs were assigned as %v, want 66 or more to each of 3 candidates", load)
	}
}

// TestHandover tests that Assign replaces the owner of a job only if it is not eligible or not heard
// by some members, and if a better candidate has been eligible for minHandoverInterval.
func TestHandover(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(c []Candidate)
		want   string // member to which the job that a owns is handed over; empty if it stays
	}{
		{"all are eligible", func(c []Candidate) {}, ""},
		{"its owner is not eligible", func(c []Candidate) { c[0].Eligible = false; c[2].UnheardBy = 1 }, "b"},
		{"its owner is not heard by two members", func(c []Candidate) { c[0].UnheardBy, c[1].UnheardBy = 2, 1 }, "c"},
		{"the others have not been eligible for long", func(c []Candidate) { c[0].Eligible = false; c[1].EligibleFor, c[2].EligibleFor = sec, sec }, ""},
		{"the others are not heard by as many members", func(c []Candidate) { c[0].UnheardBy, c[1].UnheardBy, c[2].UnheardBy = 1, 1, 1 }, ""},
		{"no other offers the job", func(c []Candidate) { c[0].Eligible = false; c[1].Offers, c[2].Offers = offersNone, offersNone }, ""},
	} {
		candidates := stableCandidates()
		c.change(candidates)
		got := Assign(assignTestTime, nil, []JobRecord{{Job: "j", Owner: "a"}}, changedLongAgo, candidates)
		switch {
		case c.want == "" && len(got) > 0, c.want != "" && (len(got) != 1 || got[0].Member != c.want || !got[0].Handover):
			t.Errorf("%s: Assign returned %+v, want a handover to %q (none if empty)", c.name, got, c.want)
		}
	}
}

// TestRebalance tests that Assign moves a job from an owner of two jobs to a candidate without jobs,
// but not within minRebalanceInterval of the last change of the job's owner.
func TestRebalance(t *testing.T) {
	owned := []JobRecord{{Job: "x", Owner: "a"}, {Job: "y", Owner: "a"}, {Job: "z", Owner: "b"}}
	if got := Assign(assignTestTime, nil, owned, changedLongAgo, stableCandidates()); len(got) != 1 || got[0].Member != "c" {
		t.Errorf("a owns two jobs and c none: Assign returned %+v, want a handover to c", got)
	}
	changedJustNow := func(string) Time { return assignTestTime - 2*sec }
	if got := Assign(assignTestTime, nil, slices.Clone(owned), changedJustNow, stableCandidates()); len(got) != 0 {
		t.Errorf("the jobs changed their owners 2 s ago: Assign returned %+v, want no handover", got)
	}
}
