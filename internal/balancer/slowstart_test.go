package balancer

import (
	"math"
	"testing"
)

// budgetWithChanceMargin returns how many attempts may come to a host in slow start (a warming host)
// within a period for which the settings allow n: chance may bring more than n.
func budgetWithChanceMargin(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// slowStartUse returns the largest number of attempts that any warming host got within any second, as
// a fraction of its budget with the margin for chance, and the fraction of the budgets of all warming
// hosts that was not used. up is when the hosts started, and attempts holds the times of attempts by
// host ID, both as startWarming returns them.
func slowStartUse(up Time, attempts map[string][]Time) (largest, unused float64) {
	// Slow start duration in seconds, floor and overload factor of manyBalancersWithoutQuotas.
	const duration, floor, factor = 9.0, 0.31, 3.0
	const capacity = 2.5 * noQuotaRequestRate / noQuotaHosts // of a host, in requests per second
	// allowed returns the attempts per second that the settings allow a host, age seconds after its
	// start.
	allowed := func(age float64) float64 { return factor * (floor + (1-floor)*age/duration) * capacity }
	used, all := 0.0, 0.0
	for _, at := range attempts {
		used += float64(len(at))
		for i, from := range at {
			n := allowed(float64(from-up) / float64(sec))
			most := maxInWindow(at[i:min(len(at), i+40)], sec)
			largest = max(largest, float64(most)/budgetWithChanceMargin(n))
		}
	}
	for age := 0.5; age < duration; age++ {
		all += warmingHosts * allowed(age)
	}
	return largest, 1 - used/all
}

// slowStartSeeds is the number of seeds with which each case is run.
const slowStartSeeds = 2

// TestSlowStartBudgetHoldsForAllInstances checks that all instances (balancers) together keep to a
// warming host's budget, however many there are and however many of them have just restarted.
func TestSlowStartBudgetHoldsForAllInstances(t *testing.T) {
	for _, n := range []int{1, 3, 20, 30, 300} {
		for _, restarted := range []float64{0, 0.25, 0.5, 1} {
			largest, leastUnused := 0.0, 1.0
			for seed := int64(1); seed <= slowStartSeeds; seed++ {
				up, attempts, _ := startWarming(t, n, restarted, seed)
				use, unused := slowStartUse(up, attempts)
				largest, leastUnused = max(largest, use), min(leastUnused, unused)
			}
			t.Logf("%3d instances, %3.0f%% restarted: at most %.2f of a host's budget used, %.2f of all unused",
				n, 100*restarted, largest, leastUnused)
			if largest > 1 {
				t.Errorf("%d instances, %.0f%% restarted: %.2f times a warming host's budget used, want at most 1",
					n, 100*restarted, largest)
			}
		}
	}
}
