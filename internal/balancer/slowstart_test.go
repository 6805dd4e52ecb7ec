package balancer

import (
	"math"
	"testing"
)

// chanceBudget is how many calls a warming host may get in a window in which the settings allow it n, chance included.
func chanceBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// slowStartUse returns what part of its budget any warming host was sent at most in any second, and what part of all that the settings allow
// was left unused.
func slowStartUse(up Time, sent map[string][]Time) (closest, unused float64) {
	const warmUp, coldFrom, multiple = 9.0, 0.31, 3.0
	const usual = 2.5 * unquotedFlow / 80 // what a full host takes in a second
	allowed := func(age float64) float64 { return multiple * (coldFrom + (1-coldFrom)*age/warmUp) * usual }
	used, all := 0.0, 0.0
	for _, at := range sent {
		used += float64(len(at))
		for i, from := range at {
			n := allowed(float64(from-up) / float64(sec))
			closest = max(closest, float64(within(at[i:min(len(at), i+40)], sec))/chanceBudget(n))
		}
	}
	for age := 0.5; age < warmUp; age++ {
		all += warmingHosts * allowed(age)
	}
	return closest, 1 - used/all
}

// The budget holds for the sum over all instances, however few or many there are and however many of them know nothing of what was.
func TestSlowStartInSumOverAllInstances(t *testing.T) {
	for _, n := range []int{1, 3, 20, 30, 300} {
		for _, restarted := range []float64{0, 0.25, 0.5, 1} {
			worst, least := 0.0, 1.0
			for seed := int64(1); seed <= slowStartSeeds; seed++ {
				up, sent, _ := startWarming(t, n, restarted, seed)
				closest, unused := slowStartUse(up, sent)
				worst, least = max(worst, closest), min(least, unused)
			}
			t.Logf("%3d instances, %3.0f%% new: at most %.2f of a host's budget, at least %.2f of all unused", n, 100*restarted, worst, least)
			if worst > 1 {
				t.Errorf("%d instances, %.0f%% new: %.2f times a warming host's budget", n, 100*restarted, worst)
			}
		}
	}
}

// slowStartSeeds are the draws of each fleet.
const slowStartSeeds = 2
