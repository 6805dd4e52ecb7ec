package rules

import (
	"strings"
	"testing"
)

// TestStatus checks the status that operators see while a change waits for an isolated member, once
// the change is active, and while a member can't use a change.
func TestStatus(t *testing.T) {
	fleet := newTestFleet(t, 3)
	status := func() string {
		fleet.publisher.QueryReceived(fleet.now, 0, 9, QueryStatus())
		return DecodeReply(fleet.lastAnswer())
	}
	expect := func(texts ...string) {
		t.Helper()
		got := status()
		for _, text := range texts {
			if !strings.Contains(got, text) {
				t.Errorf("the status does not contain %q:\n%s", text, got)
			}
		}
	}
	expect("version 0 is active, 0 entries", "a        0        ", "-")
	fleet.isolated[3] = true
	fleet.proposeOperators(rejectAll, 0)
	fleet.run(200 * ms)
	expect("version 1 is on its way for", "on its way: a change of rules by operators", "not ready", "ready")
	fleet.run(2 * leaseDuration)
	expect("version 1 is active, 1 entries; 1 earlier", "c        none: not there  -")
	fleet.isolated[3] = false
	fleet.run(leaseDuration)
	fleet.members[2].MaxEntries = 1
	fleet.isolated[3] = true // delays the abandonment, so that the status still contains the fault
	fleet.publisher.versions.staged = nil
	fleet.proposeOperators(&Version{ExcludedHosts: []string{"a", "b"}}, 1)
	fleet.run(60 * ms)
	if got := status(); !strings.Contains(got, "can't be used: rules: 2 entries, this process takes 1") && !strings.Contains(strings.Join(fleet.answers, "\n"), "refused: b: rules: 2 entries") {
		t.Errorf("neither the status nor an answer contains the fault of member b:\n%s", got)
	}
	if !IsAdminQuery(QueryStatus()) || !strings.HasPrefix(DecodeReply("refused: x"), "refused") {
		t.Error("IsAdminQuery rejects the status query, or DecodeReply changes an uncompressed reply")
	}
}
