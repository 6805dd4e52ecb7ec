package owneragent

import (
	"bytes"
	"encoding/json"
	"testing"

	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/testbed/golden"
)

// TestRecordedReplies checks that the JSON of requests and replies at the admin socket is the same as
// when the golden file was recorded.
func TestRecordedReplies(t *testing.T) {
	var lines bytes.Buffer
	for _, v := range []any{
		Request{Command: "move", Argument: "job", SecondArgument: "member"},
		Request{Command: "rules", Rules: []byte("s")},
		Request{Command: "explain", Explain: &namespace.Request{Tenant: "t", Class: "c", Key: "k", Group: "g", Zone: "z", Minute: 7}},
		Reply{Error: "e", Answer: "a", Name: "n", Leader: "l", Kind: "disk", Store: "s", Jobs: []JobRow{{"job", "owner", 1, 2, 3, "since", "why"}},
			Group:  &group.Status{Phase: "member", Reason: "r", ID: "1", Starts: 2, Term: 3, Leader: "l", Commit: 4, Applied: 5, Applicants: []string{"w"}, Members: []group.StatusMember{{Name: "m", ID: "1", Votes: true, Match: 2, Active: true}}},
			Counts: &Counts{1, 2, 3, 4, 5, 6}, Owned: map[string]uint64{"a": 1}, HighestTokens: map[string]uint64{"b": 2}, LeaseMS: 7},
	} {
		if err := json.NewEncoder(&lines).Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	golden.Check(t, "replies.golden", lines.Bytes())
}
