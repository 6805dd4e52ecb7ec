package balancerconfig

import (
	"math"

	"croftlock/internal/balancer"
)

// restoreRateQuotas replaces the tenants' rate quotas, in requests per second, by more exact ones.
// The settings contain them rounded to integers, zero for a small tenant, so that their sum may be
// off by half. Connection quotas are larger, and the ratio of a tenant's two quotas is the same for
// all tenants: the lifetime of a connection. If no single lifetime fits all quotas, they stay
// unchanged.
func restoreRateQuotas(tenants []balancer.Tenant) {
	const rounding = 0.5
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
	lifetime := math.Sqrt(shortest * longest)
	for i := range tenants {
		tenants[i].RateQuota = tenants[i].ConnectionQuota / lifetime
	}
}
