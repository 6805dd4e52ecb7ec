package balancer

import "math"

const (
	// healthCheckScanInterval is the time between two searches for hosts that are due for a health check, and
	// minHealthCheckInterval the shortest time between two checks of one host, in nanoseconds.
	healthCheckScanInterval = 2.5e8
	minHealthCheckInterval  = 5e8
	// healthCheckBudget is what health checks may cost, as part of the value of the requests.
	healthCheckBudget = 0.005
	// minHealthCheckRequestRate is for how many requests a second hosts are checked at least.
	minHealthCheckRequestRate = 0.2
	// quotaCapacityShare is the part of the fleet's capacity to which the tenants' quotas add up.
	quotaCapacityShare = 0.8
	// Load from which connections are migrated off a host, the load to which, and the mean load of the fleet
	// above which none are, since no host has spare capacity.
	migrateAboveLoad   = 0.98
	migrateToLoad      = 0.8
	migrateMaxMeanLoad = 0.8
	// maxMigratedShare is the part of a balancer's connections at a host that one report migrates at most;
	// the next report shows what that did.
	maxMigratedShare = 0.1
)

// healthCheckState is the health check of one host.
type healthCheckState struct {
	inFlight  bool
	startedAt Time // a random while earlier than it was, which spreads the next one
}

// fleetLoad is how loaded the hosts are that report it.
type fleetLoad struct {
	full float64 // mean connections, of all balancers together, that fill a host; 0: unknown
	mean float64 // reported load; 1 is full
}

// hostsReportLoad reports whether hosts answer health checks with their load.
func (b *Balancer) hostsReportLoad() bool { return b.cfg.MayHealthCheck && b.cfg.LoadField >= 0 }

// startHealthChecks checks each host again once its last check began longer ago than the price of another
// justifies: the more requests there are to be placed by it, the sooner.
func (b *Balancer) startHealthChecks() {
	b.schedule(healthCheckScanInterval, timerHealthCheck)
	b.updateFleetLoad()
	interval := b.healthCheckInterval()
	for _, h := range b.hosts {
		due := interval
		if h.loadEstimate.LastReportTime() == 0 {
			due = minHealthCheckInterval // it may begin to report only once it is checked
		}
		check := &h.healthCheck
		if h.state == Ready && !check.inFlight && b.now-check.startedAt >= due && b.now >= h.ejection.until {
			// Jitter, else the checks of all balancers reach a host together.
			jitter := Time(float64(interval) * 0.2 * b.rng.Float64())
			check.inFlight, check.startedAt = true, b.now-jitter
			b.effects.HealthCheck(h.hostID)
		}
	}
}

// healthCheckInterval is how often each host is checked.
func (b *Balancer) healthCheckInterval() Time {
	t := &b.traffic
	t.fade(b.now)
	rate := max(minHealthCheckRequestRate, t.endRate, t.freshRequests/t.window(b.now))
	price := float64(len(b.hosts)) * b.cfg.Prices.HealthCheck
	return max(minHealthCheckInterval, Time(1e9*price/(healthCheckBudget*rate)))
}

// HealthCheckEnded takes the result of a health check. One that fails says nothing of the host's load, and
// what was known fades.
func (b *Balancer) HealthCheckEnded(now Time, id string, status AttemptStatus, load []float64) {
	b.beginEvent(now)
	if h := b.byID[id]; h != nil {
		h.healthCheck.inFlight = false
		if status == OK {
			b.loadReported(h, load)
		}
	}
}

// loadReported takes a load report. One without the load field is ignored.
func (b *Balancer) loadReported(h *host, report []float64) {
	i, j := b.cfg.LoadField, b.cfg.QueueField
	if i < 0 || i >= len(report) {
		return
	}
	queue := 0.0
	if j >= 0 && j < len(report) {
		queue = report[j]
	}
	h.loadEstimate.Report(b.now, report[i], queue)
	b.migrateFromFullHost(h)
}

// addUnreportedLoad adds load, in mean connections, that no report of the host includes yet. The other
// balancers place connections by the same reports, each between none and as much as this one. The factor of
// the square root of their number accounts for that.
func (b *Balancer) addUnreportedLoad(h *host, turns float64) {
	h.loadEstimate.AddLoad(b.now, turns*math.Sqrt(float64(b.cfg.Instances)))
}

// currentLoad is how loaded a host is now; 1 is full.
func (b *Balancer) currentLoad(h *host) float64 {
	return h.loadEstimate.Load(b.now, b.fleetLoad.full, b.fleetLoad.mean)
}

// updateFleetLoad records how loaded the fleet is, and how many mean connections fill one host. The tenants'
// quotas, in sum, are most of what the fleet can hold; where there are none, all balancers' connections, of
// which this one holds its part, make up the sum of what the hosts report.
func (b *Balancer) updateFleetLoad() {
	own, sum, reporting, present := 0.0, 0.0, 0.0, 0.0
	for _, h := range b.hosts {
		if h.state != Removed {
			present++
		}
		if h.state == Ready && h.loadEstimate.HasRecentReport(b.now) {
			own += h.load
			sum += h.loadEstimate.Load(b.now, 0, 0)
			reporting++
		}
	}
	if reporting > 0 {
		b.fleetLoad.mean = sum / reporting
	}
	if expected := b.traffic.expectedConnections; expected > 0 {
		b.fleetLoad.full = expected / usualQuotaShare / quotaCapacityShare / max(1, present)
	} else if own > 0 && sum > 0 {
		b.fleetLoad.full = own / b.costs.mean * float64(b.cfg.Instances) / sum
	}
}

// migrateFromFullHost migrates some connections off an overloaded host if the other hosts have spare capacity.
// Each balancer migrates a random part of its own connections, since all balancers get the same report.
func (b *Balancer) migrateFromFullHost(h *host) {
	load, mean := b.currentLoad(h), b.fleetLoad.mean
	if load < migrateAboveLoad || mean > migrateMaxMeanLoad || mean == 0 {
		return
	}
	share := min(maxMigratedShare, (load-migrateToLoad)/load)
	for _, r := range h.connections {
		if !r.migrationRequested && b.rng.Float64() < share {
			r.migrationRequested = true
			b.effects.Migrate(r.ID)
		}
	}
}
