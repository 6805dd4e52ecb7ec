package balancer

import "math"

const (
	// healthCheckScanInterval is the time between two scans for hosts that are due for a health
	// check. minHealthCheckInterval is the shortest time between two checks of one host. Both are
	// in nanoseconds.
	healthCheckScanInterval = 2.5e8
	minHealthCheckInterval  = 5e8
	// healthCheckBudget is the largest cost of health checks per request, in the unit of
	// Prices.HealthCheck, where a request has the value 1.
	healthCheckBudget = 0.005
	// minHealthCheckRequestRate is the lowest rate of requests, per second, by which the interval
	// of health checks is computed.
	minHealthCheckRequestRate = 0.2
	// quotaCapacityShare is the sum of the tenants' connection quotas as a fraction of the
	// connections that all hosts together can hold.
	quotaCapacityShare = 0.8
	// Connections are migrated off a host whose load is at least migrateAboveLoad, to reduce its load
	// to migrateToLoad. No connections are migrated if the mean load of all hosts is above
	// migrateMaxMeanLoad, since then no host has spare capacity. 1 is a full host.
	migrateAboveLoad   = 0.98
	migrateToLoad      = 0.8
	migrateMaxMeanLoad = 0.8
	// maxMigratedShare is the largest fraction of a balancer's connections at a host that one
	// report migrates. The next report shows the effect.
	maxMigratedShare = 0.1
)

// healthCheckState is the state of the health checks of one host.
type healthCheckState struct {
	inFlight  bool
	startedAt Time // start of the last check, minus a random time that spreads the next check
}

// fleetLoad is what load reports and quotas tell about all hosts together.
type fleetLoad struct {
	full float64 // number of mean connections, of all balancers together, that fill a host; 0 if unknown
	mean float64 // mean reported load of the hosts; 1 is full, 0 also if unknown
}

// hostsReportLoad reports whether health checks are allowed and hosts answer them with their load.
func (b *Balancer) hostsReportLoad() bool { return b.cfg.MayHealthCheck && b.cfg.LoadField >= 0 }

// startHealthChecks starts a health check of each ready host that is not ejected, has no check in
// flight, and is due: its last check began at least healthCheckInterval ago, or at least
// minHealthCheckInterval ago if the host has never reported its load. startHealthChecks schedules
// its next call and updates fleetLoad.
func (b *Balancer) startHealthChecks() {
	b.schedule(healthCheckScanInterval, timerHealthCheck)
	b.updateFleetLoad()
	interval := b.healthCheckInterval()
	for _, h := range b.hosts {
		due := interval
		if h.loadEstimate.LastReportTime() == 0 {
			due = minHealthCheckInterval // only a check can show that it reports its load
		}
		check := &h.healthCheck
		if h.state == Ready && !check.inFlight && b.now-check.startedAt >= due && b.now >= h.ejection.until {
			// Without jitter, of up to a fifth of the interval, the checks of all balancers would reach a
			// host together.
			jitter := Time(float64(interval) * 0.2 * b.rng.Float64())
			check.inFlight, check.startedAt = true, b.now-jitter
			b.effects.HealthCheck(h.hostID)
		}
	}
}

// healthCheckInterval returns the shortest time between two checks of one host at which the checks
// of all hosts cost at most healthCheckBudget per request. It is at least minHealthCheckInterval.
func (b *Balancer) healthCheckInterval() Time {
	t := &b.traffic
	t.fade(b.now)
	rate := max(minHealthCheckRequestRate, t.endRate, t.freshRequests/t.window(b.now))
	price := float64(len(b.hosts)) * b.cfg.Prices.HealthCheck
	return max(minHealthCheckInterval, Time(1e9*price/(healthCheckBudget*rate)))
}

// HealthCheckEnded records the result of a health check of the host with the given ID. load is the
// host's load report, with the load at Config.LoadField. It is ignored unless status is OK: a failed
// check tells nothing about the host's load, and the earlier reports lose weight with time.
func (b *Balancer) HealthCheckEnded(now Time, id string, status AttemptStatus, load []float64) {
	b.beginEvent(now)
	if h := b.byID[id]; h != nil {
		h.healthCheck.inFlight = false
		if status == OK {
			b.loadReported(h, load)
		}
	}
}

// loadReported records a load report, and may migrate connections off a full host. It ignores a
// report without the load field.
func (b *Balancer) loadReported(h *host, report []float64) {
	loadField, queueField := b.cfg.LoadField, b.cfg.QueueField
	if loadField < 0 || loadField >= len(report) {
		return
	}
	queue := 0.0
	if queueField >= 0 && queueField < len(report) {
		queue = report[queueField]
	}
	h.loadEstimate.Report(b.now, report[loadField], queue)
	b.migrateFromFullHost(h)
}

// addUnreportedLoad records load that no report of the host includes yet. turns is the load in mean
// connections, negative if a connection has ended. Each of the other balancers may place between
// none and as many connections as this one by the same reports. The load is therefore multiplied by
// the square root of the number of balancers.
func (b *Balancer) addUnreportedLoad(h *host, turns float64) {
	h.loadEstimate.AddLoad(b.now, turns*math.Sqrt(float64(b.cfg.Instances)))
}

// currentLoad returns the estimated load of a host now; 1 is full.
func (b *Balancer) currentLoad(h *host) float64 {
	return h.loadEstimate.Load(b.now, b.fleetLoad.full, b.fleetLoad.mean)
}

// updateFleetLoad updates fleetLoad.mean, the mean load of the hosts, and fleetLoad.full, the number
// of mean connections that fill one host. With quotas, full follows from the sum of the tenants'
// connection quotas, which is quotaCapacityShare of what all hosts can hold. Without quotas, full
// follows from the sum of the loads that the hosts report: the connections of all balancers cause
// that sum, and this balancer holds 1/Instances of them.
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

// migrateFromFullHost migrates some connections off a host whose load is at least migrateAboveLoad,
// if other hosts have spare capacity. Each balancer migrates a random part of its own connections,
// since all balancers get the same reports.
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
