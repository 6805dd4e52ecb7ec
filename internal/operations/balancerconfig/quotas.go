package balancerconfig

import (
	"math"

	"croftlock/internal/balancer"
)

// restoreRateQuotas replaces the tenants' rate quotas, in requests per second, by more exact ones.
// The settings contain rate quotas rounded to integers, zero for a small tenant, so that their sum may be
// off by half. Connection quotas are larger, and the ratio of a tenant's connection quota to its
// rate quota is the same for all tenants: the lifetime of a connection. The rate quotas stay unchanged
// if no single lifetime fits all quotas, if one is not an integer, or if a tenant has no connection
// quota.
func restoreRateQuotas(tenants []balancer.Tenant) {
	const rounding = 0.5                  // largest difference of a rounded quota from the exact one
	shortest, longest := 0.0, math.Inf(1) // lifetimes of a connection that fit the quotas, in seconds
	for _, t := range tenants {
		rate, connections := t.RateQuota, t.ConnectionQuota
		if rate != math.Trunc(rate) || connections <= 0 {
			return
		}
		// The connection quotas are rounded too.
		shortest = max(shortest, (connections-rounding)/(rate+rounding))
		if rate > 0 {
			longest = min(longest, (connections+rounding)/(rate-rounding))
		}
	}
	if shortest <= 0 || math.IsInf(longest, 1) || shortest > longest {
		return
	}
	lifetime := math.Sqrt(shortest * longest) // the geometric mean has the least possible relative error
	for i := range tenants {
		tenants[i].RateQuota = tenants[i].ConnectionQuota / lifetime
	}
}
