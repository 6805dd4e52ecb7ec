package command

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// TestRulesOverLossyLinks checks rules while a fifth of all datagrams is lost, a fifth is
// duplicated, and all are delayed and reordered. Changes by the operators and by a customer become
// active in order, two versions are applied at once for at most agree_within (1 s here), and a change
// that was signed before its grant was revoked is rejected. A grant permits the holder of a key to
// change some of an account's rules.
func TestRulesOverLossyLinks(t *testing.T) {
	t.Parallel()
	rig, _ := startCustomersRig(t)
	waitActive(t, rig, 0, 0, 5)
	key, public := keyFile(t)
	for i := range 5 {
		for j := range 5 {
			if i != j {
				rig.Mesh.UpdateLink(i, j, func(link *fake.Link) { link.Loss, link.Duplicates, link.Jitter = 0.2, 0.2, 40*time.Millisecond })
			}
		}
	}
	version := 0
	// change puts a change against the latest version, at process via, until it is active, and then
	// updates version.
	change := func(via int, text string, args ...string) {
		t.Helper()
		answer := ""
		if _, ok := experiment.AwaitCondition(2*recoveryTimeout, func() bool {
			answer = putRules(t, rig, via, version, text, args...)
			return strings.Contains(answer, "active: version")
		}); !ok {
			t.Fatalf("a change against version %d is answered with %q, want an active version", version, answer)
		}
		if _, err := fmt.Sscanf(answer[strings.Index(answer, "active"):], "active: version %d", &version); err != nil {
			t.Fatalf("no version in the answer %q: %v", answer, err)
		}
	}
	grant := fmt.Sprintf("(grant admin (key %q) (verbs route))", public)
	change(0, `(rules (account acme (tenants t1) `+grant+`))`)
	for n := range 2 {
		change(n, fmt.Sprintf(`(namespace (account acme) (route r%d (class lab) (pool main)))`, n), "--key", key)
		for i, p := range rig.Procs {
			requestAnswer(p.Addr, fmt.Sprintf("%04x%012x", i, n)) // makes each process log a decision
		}
	}
	beforeRevocation := version
	change(4, `(rules (account acme (tenants t1)))`)
	if answer := putUntilAnswered(t, rig, 1, beforeRevocation, `(namespace (account acme) (route late (class lab) (pool main)))`, "--key", key); !strings.Contains(answer, "refused: no grant of version") {
		t.Errorf("a change that was signed before its grant was revoked is answered with %q, want a rejection", answer)
	}
	waitActive(t, rig, 2, version, 5)
	var all [][]ruleDecision
	for _, p := range rig.Procs {
		all = append(all, ruleDecisions(t, p))
	}
	if o := longestOverlap(all); o > time.Second {
		t.Errorf("two versions were applied at once for %v, want at most 1 s", o)
	}
}
