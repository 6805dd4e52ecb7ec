package experiment

import (
	"testing"

	"croftlock/internal/fleet/membership/simulation"
)

// TestParsePlanRoundTrip checks that ParsePlan parses the output of FormatPlan as the same plan.
func TestParsePlanRoundTrip(t *testing.T) {
	plan := []simulation.Fault{{Kind: "cut", StartMS: 100, DurationMS: 2000, Process: 1}, {Kind: "loss", StartMS: 5, DurationMS: 7, Amount: 0.25}}
	got, err := ParsePlan("plan", []byte(FormatPlan(plan)), 3)
	if err != nil {
		t.Fatalf("ParsePlan(%q): %v", FormatPlan(plan), err)
	}
	if len(got) != len(plan) || got[0] != plan[0] || got[1] != plan[1] {
		t.Errorf("ParsePlan(%q) = %v, want %v", FormatPlan(plan), got, plan)
	}
}

// TestPlanErrors checks that each error contains the name of the plan, the position and the cause.
func TestPlanErrors(t *testing.T) {
	for _, c := range []struct{ plan, want string }{
		{"()", "expected (KIND (at MS) (for MS) (a N) ...)"},
		{"(melt)", `unknown fault "melt"`},
		{"(cut (at))", "expected (NAME NUMBER)"},
		{"(cut (at x))", `at: "x" is not a number from 0 to 1e9`},
		{"(cut (at -1))", `at: "-1" is not a number from 0 to 1e9`},
		{"(cut (when 1))", `unknown field "when"`},
		{"(cut (a 3))", "process 3 and destination 0 must be less than 3, and part 0 at most 1"},
		{"(loss (part 2))", "process 0 and destination 0 must be less than 3, and part 2 at most 1"},
	} {
		_, err := ParsePlan("plan", []byte(c.plan), 3)
		if err == nil || err.Error() != "plan:{1 1}: "+c.want {
			t.Errorf("ParsePlan(%q): error %v, want plan:{1 1}: %s", c.plan, err, c.want)
		}
	}
}

// TestLinkEffects checks that each kind of fault affects exactly its links, in the right direction.
func TestLinkEffects(t *testing.T) {
	const victim, peer, other = 1, 2, 0
	for _, c := range []struct {
		kind                 string
		out, in, toPeer, far bool // victim to other, other to victim, victim to peer, peer to other
	}{
		{"cut", true, true, true, false},
		{"one-way", false, false, true, false},
		{"deaf", false, true, false, false},
		{"mute", true, false, true, false},
		{"loss", true, true, true, true},
	} {
		which, change := linkEffect(simulation.Fault{Kind: c.kind, Process: victim, Destination: peer})
		if change == nil {
			t.Fatalf("linkEffect of fault %q returned nil, want an effect", c.kind)
		}
		if which(victim, other) != c.out || which(other, victim) != c.in || which(victim, peer) != c.toPeer || which(peer, other) != c.far {
			t.Errorf("fault %q affects victim to other %t, other to victim %t, victim to peer %t, peer to other %t; want %t, %t, %t, %t", c.kind,
				which(victim, other), which(other, victim), which(victim, peer), which(peer, other), c.out, c.in, c.toPeer, c.far)
		}
	}
	if _, change := linkEffect(simulation.Fault{Kind: "kill"}); change != nil {
		t.Error(`linkEffect of fault "kill" returned a change of links, want nil`)
	}
}
