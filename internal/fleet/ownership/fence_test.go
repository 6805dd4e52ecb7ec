package ownership

import (
	"fmt"
	"testing"
)

// TestFence tests that a Fence accepts effects, the messages from a job's owner, in the order of
// their fencing tokens only, and that a rejected effect does not replace the latest accepted one.
func TestFence(t *testing.T) {
	var f Fence
	for _, c := range []struct {
		token FencingToken
		want  Verdict
	}{
		{FencingToken{5, 1}, Accepted},
		{FencingToken{5, 1}, Duplicate},
		{FencingToken{5, 3}, Accepted},
		{FencingToken{5, 2}, Duplicate},
		{FencingToken{4, 9}, Stale},
		{FencingToken{6, 0}, Accepted},
		{FencingToken{5, 9}, Stale},
	} {
		if verdict, highest := f.Check("j", c.token); verdict != c.want || verdict != Accepted && highest.Before(c.token) {
			t.Errorf("Check(%q, %v) = %v, %v, want verdict %v and, if it is not %v, a latest token not before %v", "j", c.token, verdict, highest, c.want, Accepted, c.token)
		}
	}
	if last := f.LastAccepted("j"); last != (FencingToken{6, 0}) {
		t.Errorf("LastAccepted(%q) = %v, want {6 0}: an earlier token replaced a later one", "j", last)
	}
}

// TestFenceBound tests that a full Fence rejects an effect of an unknown job, since it could not
// recognize a stale effect of that job later.
func TestFenceBound(t *testing.T) {
	var f Fence
	for i := range MaxJobs {
		if verdict, _ := f.Check(fmt.Sprint("job ", i), FencingToken{1, 1}); verdict != Accepted {
			t.Fatalf("effect of job %d of %d: verdict %v, want %v", i+1, MaxJobs, verdict, Accepted)
		}
	}
	if verdict, _ := f.Check("one more", FencingToken{1, 1}); verdict != Stale {
		t.Errorf("effect of a job beyond %d jobs: verdict %v, want %v", MaxJobs, verdict, Stale)
	}
}
