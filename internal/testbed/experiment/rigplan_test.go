package experiment

import (
	"testing"

	"croftlock/internal/fleet/membership/simulation"
)

// TestPlanReadsAsPrinted: a printed plan is parsed as the same plan.
func TestPlanReadsAsPrinted(t *testing.T) {
	plan := []simulation.Fault{{Kind: "cut", StartMS: 100, DurationMS: 2000, Process: 1}, {Kind: "loss", StartMS: 5, DurationMS: 7, Amount: 0.25}}
	got, err := ParsePlan("plan", []byte(FormatPlan(plan)), 3)
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != len(plan) || got[0] != plan[0] || got[1] != plan[1] {
		t.Errorf("plan %v is parsed as %v", plan, got)
	}
}

// TestPlanErrors: each error names the file, the position and the fault.
func TestPlanErrors(t *testing.T) {
	for _, c := range []struct{ plan, want string }{
		{"()", "expected (KIND (at MS) (for MS) (a N) ...)"},
		{"(melt)", `no fault "melt"`},
		{"(cut (at))", "expected (NAME NUMBER)"},
		{"(cut (at x))", `at: "x" is no number from 0 to 1e9`},
		{"(cut (at -1))", `at: "-1" is no number from 0 to 1e9`},
		{"(cut (when 1))", `no field "when"`},
		{"(cut (a 3))", "a process under 3 and a part up to 1 are possible"},
		{"(loss (part 2))", "a process under 3 and a part up to 1 are possible"},
	} {
		_, err := ParsePlan("plan", []byte(c.plan), 3)
		if err == nil || err.Error() != "plan:{1 1}: "+c.want {
			t.Errorf("plan %s: error %v, want plan:{1 1}: %s", c.plan, err, c.want)
		}
	}
}

// TestLinkEffects: each kind of fault affects its links alone, in their direction.
func TestLinkEffects(t *testing.T) {
	const victim, peer, other = 1, 2, 0
	for _, c := range []struct {
		kind                 string
		out, in, toPeer, far bool // out of the victim to a third one, into it, to the peer, between two others
	}{
		{"cut", true, true, true, false},
		{"one-way", false, false, true, false},
		{"deaf", false, true, false, false},
		{"mute", true, false, true, false},
		{"loss", true, true, true, true},
	} {
		which, change := linkEffect(simulation.Fault{Kind: c.kind, Process: victim, Destination: peer})
		if change == nil {
			t.Fatalf("%s has no effect", c.kind)
		}
		if which(victim, other) != c.out || which(other, victim) != c.in || which(victim, peer) != c.toPeer || which(peer, other) != c.far {
			t.Errorf("fault %s affects other links than its own", c.kind)
		}
	}
	if _, change := linkEffect(simulation.Fault{Kind: "kill"}); change != nil {
		t.Error("fault kill changes links")
	}
}
