package balancerconfig

import (
	"math"
	"testing"

	"croftlock/internal/balancer"
)

// TestRateQuotasAreRestored tests that rate quotas are restored. They arrive rounded to integers,
// which is coarse for a small fleet, and the slow-start budgets of sparse traffic depend on them.
func TestRateQuotasAreRestored(t *testing.T) {
	shares := []float64{0.46, 0.33, 0.14, 0.07}
	for _, fleet := range []float64{60, 137, 239, 1200} {
		for _, connectionSeconds := range []float64{24, 37, 51} {
			var tenants []balancer.Tenant
			rounded := 0.0
			for _, share := range shares {
				n := math.Round(fleet * share)
				tenants = append(tenants, balancer.Tenant{ConnectionQuota: n, RateQuota: math.Round(fleet * share / connectionSeconds)})
				rounded += tenants[len(tenants)-1].RateQuota
			}
			if rounded == 0 {
				continue
			}
			restoreRateQuotas(tenants)
			sum := 0.0
			for _, x := range tenants {
				sum += x.RateQuota
			}
			if want := fleet / connectionSeconds; sum < want/1.5 || sum > want*1.5 {
				t.Errorf("%v connections of %v s: rates with a sum of %.2f per second, rounded to %.0f, were restored to %.2f, want a factor of at most 1.5",
					fleet, connectionSeconds, want, rounded, sum)
			}
		}
	}
	for _, odd := range [][]balancer.Tenant{nil, {{RateQuota: 2}}, {{RateQuota: 0, ConnectionQuota: 5}},
		{{RateQuota: 2.5, ConnectionQuota: 90}}, {{RateQuota: 1, ConnectionQuota: 1000}, {RateQuota: 9, ConnectionQuota: 10}}} {
		before := append([]balancer.Tenant(nil), odd...)
		restoreRateQuotas(odd)
		for i := range odd {
			if odd[i] != before[i] {
				t.Errorf("tenant %+v was changed to %+v, want no change", before[i], odd[i])
			}
		}
	}
}

// TestUnknownSettingsAreIgnored tests that unknown fields of the settings and of load reports, as a
// later version may have them, are ignored, and that known report fields are found at any position.
func TestUnknownSettingsAreIgnored(t *testing.T) {
	c, err := Decode([]byte(`{"me":0,"peers_total":2,"new":{"x":[1]},"discovery":"automatic","bounds":{"probes":true,"try_limit":5,"later":1},
		"goal":{"worst_class":0.3,"other":1},"report":{"how":"probe","fields":["x1","x0","odd","pending"],"since":2},
		"lanes":[{"name":"c","on_time":1,"deadline":2,"semantics":"read_like","colour":"red"}]}`))
	if err != nil || c.PollsDiscovery || !c.MayHealthCheck || c.LoadField != 1 || c.QueueField != 3 {
		t.Errorf("Decode returned %+v, error %v, want no polling, health checks, LoadField 1 and QueueField 3", c, err)
	}
	c, err = Decode([]byte(`{"report":{"how":"none","fields":["x0"]},"lanes":[]}`))
	if err != nil || c.LoadField != -1 {
		t.Errorf("without load reports: LoadField %d, error %v, want -1, nil", c.LoadField, err)
	}
}
