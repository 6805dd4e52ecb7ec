package ownership

import (
	"fmt"
	"testing"
)

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
			t.Errorf("%v: got %v after %v, want %v", c.token, verdict, highest, c.want)
		}
	}
	if last := f.LastAccepted("j"); last != (FencingToken{6, 0}) {
		t.Errorf("%v is remembered after {6 0}: an earlier token replaced a later one", last)
	}
}

// TestFenceBound: an effect of a job that can't be remembered is rejected, since a stale one of it could not be distinguished later.
func TestFenceBound(t *testing.T) {
	var f Fence
	for i := range MaxJobs {
		if verdict, _ := f.Check(fmt.Sprint("job ", i), FencingToken{1, 1}); verdict != Accepted {
			t.Fatalf("job %d: %v", i, verdict)
		}
	}
	if verdict, _ := f.Check("one more", FencingToken{1, 1}); verdict != Stale {
		t.Errorf("beyond %d jobs an effect is %v", MaxJobs, verdict)
	}
}
