package balancerconfig

import (
	"math"

	"croftlock/internal/balancer"
)

// restoreRateQuotas makes the tenants' rate quotas exact again. The settings give them as integers, a
// small tenant's as 0, so that their sum may be off by half. Their connection quotas are larger, and the same
// lifetime of a connection lies between all of them. Quotas that no one lifetime explains stay as they are.
func restoreRateQuotas(tenants []balancer.Tenant) {
	const rounding = 0.5
	shortest, longest := 0.0, math.Inf(1) // lifetimes that the quotas allow, in seconds
	for _, t := range tenants {
		rate, connections := t.RateQuota, t.ConnectionQuota
		if rate != math.Trunc(rate) || connections <= 0 {
			return
		}
		// The connection quotas are rounded as well.
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
