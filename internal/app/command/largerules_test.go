package command

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestLargeRulesVersionAmongProcesses checks that rules with 250 accounts and a thousand routes
// reach all processes in datagrams, that a change of one entry becomes active while one process is
// cut off, and that this process can return the active version afterwards.
func TestLargeRulesVersionAmongProcesses(t *testing.T) {
	t.Parallel()
	rig := startRulesRig(t, "")
	waitActive(t, rig, 0, 0, 5)
	// rulesText returns rules with 250 accounts, 1000 routes, and hostsOut hosts that get no requests.
	rulesText := func(hostsOut int) string {
		var b strings.Builder
		b.WriteString("(rules (pool a (prefixes a))\n")
		for i := range 250 {
			fmt.Fprintf(&b, "(account customer%03d (tenants tenant%03d))\n", i, i)
		}
		for i := range 1000 {
			fmt.Fprintf(&b, "(route r%04d (group g%04d) (pool main))\n", i, i)
		}
		for i := range hostsOut {
			fmt.Fprintf(&b, "(out host%04d-of-somewhere)\n", i)
		}
		return b.String() + ")"
	}
	if answer := putUntilAnswered(t, rig, 1, 0, rulesText(400)); !strings.HasPrefix(answer, "0 active: version 2 at") {
		t.Fatalf("the rules are answered with %q, want active version 2", answer)
	}
	waitActive(t, rig, 2, 2, 5)
	rig.SetCutOff(4, true)
	startedAt := time.Now()
	if answer := putUntilAnswered(t, rig, 3, 2, rulesText(401)); !strings.HasPrefix(answer, "0 active: version 3 at") {
		t.Fatalf("a change of one entry is answered with %q, want active version 3", answer)
	}
	t.Logf("a change of 1,651 entries with one process cut off: %v", time.Since(startedAt).Round(time.Millisecond))
	rig.SetCutOff(4, false)
	waitActive(t, rig, 4, 3, 5)
	out, status := command(t, "rules", "show", "0", "--socket", filepath.Join(rig.Dir(4), "owners.sock"))
	if status != 0 || !strings.Contains(out, "host0400-of-somewhere") || !strings.Contains(out, "(route \"r0999\"") {
		t.Errorf("the active version at n4: exit status %d, want 0; %d bytes of output, want the last host and route in them", status, len(out))
	}
	if answer := putUntilAnswered(t, rig, 1, 3, rulesText(3000)); !strings.HasPrefix(answer, "1 ") || !strings.Contains(answer, "entries") {
		t.Errorf("rules with too many entries are answered with %.200q, want an error that names the entries", answer)
	}
}
