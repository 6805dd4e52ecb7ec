package ownership

import (
	"fmt"
	"slices"
	"testing"
)

func offersAll(string) bool  { return true }
func offersNone(string) bool { return false }

const assignTestTime = 100 * sec

func stableCandidates() (candidates []Candidate) {
	for i, name := range []string{"a", "b", "c"} {
		candidates = append(candidates, Candidate{Name: name, Incarnation: uint64(i + 1), Able: true, StableFor: 60 * sec, Offers: offersAll})
	}
	return candidates
}

func changedLongAgo(string) Time { return 0 }

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
		t.Errorf("200 jobs are spread %v", load)
	}
}

func TestHandover(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(c []Candidate)
		want   string // whoever gets the job that a owns; "": it stays
	}{
		{"all is well", func(c []Candidate) {}, ""},
		{"its owner is not fit", func(c []Candidate) { c[0].Able = false; c[2].UnreachableFrom = 1 }, "b"},
		{"its owner is hard to hear", func(c []Candidate) { c[0].UnreachableFrom, c[1].UnreachableFrom = 2, 1 }, "c"},
		{"the others have just come back", func(c []Candidate) { c[0].Able = false; c[1].StableFor, c[2].StableFor = sec, sec }, ""},
		{"the others are as hard to hear", func(c []Candidate) { c[0].UnreachableFrom, c[1].UnreachableFrom, c[2].UnreachableFrom = 1, 1, 1 }, ""},
		{"nobody else can do it", func(c []Candidate) { c[0].Able = false; c[1].Offers, c[2].Offers = offersNone, offersNone }, ""},
	} {
		candidates := stableCandidates()
		c.change(candidates)
		got := Assign(assignTestTime, nil, []JobRecord{{Job: "j", Owner: "a"}}, changedLongAgo, candidates)
		switch {
		case c.want == "" && len(got) > 0, c.want != "" && (len(got) != 1 || got[0].Member != c.want || !got[0].Handover):
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

func TestRebalance(t *testing.T) {
	owned := []JobRecord{{Job: "x", Owner: "a"}, {Job: "y", Owner: "a"}, {Job: "z", Owner: "b"}}
	if got := Assign(assignTestTime, nil, owned, changedLongAgo, stableCandidates()); len(got) != 1 || got[0].Member != "c" {
		t.Errorf("two at one and none at another: %+v", got)
	}
	changedJustNow := func(string) Time { return assignTestTime - 2*sec }
	if got := Assign(assignTestTime, nil, slices.Clone(owned), changedJustNow, stableCandidates()); len(got) != 0 {
		t.Errorf("a job that has just moved moves again: %+v", got)
	}
}
