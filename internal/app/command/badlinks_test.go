package command

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// TestRulesThroughBadLinks: a fifth of all datagrams lost, as many doubled, all late and out of order. Changes of the operators and of a customer arrive, in
// their order; no two versions side by side for longer than stated; and an administrator whose key is revoked does nothing with what was signed before.
func TestRulesThroughBadLinks(t *testing.T) {
	t.Parallel()
	r, _ := customers(t)
	stands(t, r, 0, 0, 5)
	key, public := keyFile(t)
	for i := range 5 {
		for j := range 5 {
			if i != j {
				r.Mesh.Set(i, j, func(l *fake.Link) { l.Loss, l.Duplicated, l.Jitter = 0.2, 0.2, 40*time.Millisecond })
			}
		}
	}
	version := 0
	change := func(i int, text string, more ...string) {
		t.Helper()
		got := ""
		if _, ok := experiment.Until(2*ownersPatience, func() bool {
			got = propose(t, r, i, version, text, more...)
			return strings.Contains(got, "active: version")
		}); !ok {
			t.Fatalf("against %d: %q", version, got)
		}
		if _, err := fmt.Sscanf(got[strings.Index(got, "active"):], "active: version %d", &version); err != nil {
			t.Fatalf("%q", got)
		}
	}
	grant := fmt.Sprintf("(grant admin (key %q) (verbs route))", public)
	change(0, `(rules (account acme (tenants t1) `+grant+`))`)
	for n := range 2 {
		change(n, fmt.Sprintf(`(namespace (account acme) (route r%d (class lab) (pool main)))`, n), "--key", key)
		for i, p := range r.Procs {
			open(p.Addr, fmt.Sprintf("%04x%012x", i, n)) // a decision by each
		}
	}
	before := version
	change(4, `(rules (account acme (tenants t1)))`)
	if got := answered(t, r, 1, before, `(namespace (account acme) (route late (class lab) (pool main)))`, "--key", key); !strings.Contains(got, "refused: no grant of version") {
		t.Errorf("signed before its grant was revoked: %q", got)
	}
	stands(t, r, 2, version, 5)
	var all [][]decision
	for _, p := range r.Procs {
		all = append(all, decisions(t, p))
	}
	if o := overlap(all); o > time.Second {
		t.Errorf("two versions side by side for %v", o)
	}
}
