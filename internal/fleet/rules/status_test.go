package rules

import (
	"strings"
	"testing"
)

// What operators see while a change waits for one that is cut off, while one can't use it, and once all is well.
func TestStatus(t *testing.T) {
	g := newGroup(t, 3)
	status := func() string {
		g.publisher.QueryReceived(g.now, 0, 9, QueryStatus())
		return DecodeReply(g.last())
	}
	says := func(words ...string) {
		t.Helper()
		got := status()
		for _, w := range words {
			if !strings.Contains(got, w) {
				t.Errorf("expected %q in\n%s", w, got)
			}
		}
	}
	says("version 0 is active, 0 entries", "a        0        ", "-")
	g.cut[3] = true
	g.put(refuseAll, 0)
	g.run(200 * ms)
	says("version 1 is on its way for", "on its way: a change of rules by operators", "not ready", "ready")
	g.run(2 * within)
	says("version 1 is active, 1 entries; 1 earlier", "c        none: not there  -")
	g.cut[3] = false
	g.run(within)
	g.members[2].MaxEntries = 1
	g.cut[3] = true // holds it up, so that what the other says is still there
	g.publisher.versions.staged = nil
	g.put(&Version{HostsOut: []string{"a", "b"}}, 1)
	g.run(60 * ms)
	if got := status(); !strings.Contains(got, "can't be used: rules: 2 entries, this process takes 1") && !strings.Contains(strings.Join(g.answers, "\n"), "refused: b: rules: 2 entries") {
		t.Error(got)
	}
	if !IsQuestion(QueryStatus()) || !strings.HasPrefix(DecodeReply("refused: x"), "refused") {
		t.Error("administrators may ask it")
	}
}
