package rendezvous

import (
	"fmt"
	"testing"
)

// TestHashIsStable checks recorded hashes, which proxies of different versions compare with each
// other.
func TestHashIsStable(t *testing.T) {
	for name, want := range map[string]uint64{"": 0x4f43b61ebe0f3fa7, "s01": 0x6e2594086aa949df} {
		if got := Hash(name); got != want {
			t.Errorf("Hash(%q) = %#x, expected %#x", name, got, want)
		}
	}
}

// TestScoreFollowsWeights checks that a host with three times the weight is first three times as
// often.
func TestScoreFollowsWeights(t *testing.T) {
	const keys = 20000
	first := 0
	for i := range keys {
		key := fmt.Sprint("group", i)
		if Score(key, "large", 3) < Score(key, "small", 1) {
			first++
		}
	}
	if share := float64(first) / keys; share < 0.73 || share > 0.77 {
		t.Errorf("the host of weight 3 is first for %.3f of the keys, expected about 0.75", share)
	}
}
