// Package balancer decides where a proxy places long-lived connections, and when to queue, reject,
// retry or migrate them. A Balancer makes the decisions of one proxy and is not safe for concurrent
// use: the caller calls one method per event and carries out the Effects in order. Time comes with
// each event and random numbers from a seed. Nothing here reads a clock, starts a goroutine or
// depends on the iteration order of a map, so that the same events cause the same effects.
//
// The rules extend PIP-425: smooth weighted rotation over the hosts that are not ejected. A failed
// connect ejects a host for a time that doubles with each consecutive failure up to a cap, and a
// success ends the ejection. If no host is left, the rotation covers all of them. placement.go
// describes the order in which the rules apply to a request; docs/design.md describes where and why
// they go beyond PIP-425.
//
// # Terms
//
//	fleet           all hosts of the endpoint list
//	group           connections that Request.Group names; they cost less together on one host
//	age group       the recently started hosts, or the others (agegroup.go)
//	set-up          the time from the start of an attempt until its connection is established
//	ledger server   the balancer that counts the connections of all balancers and assigns hosts
//	warming host    a host in slow start: its capacity still grows, and a budget limits its requests
//
// # Units
//
//	load, cost      work per second on a standard core, in nanoseconds, as in Request.ExpectedLoad
//	turns           cost relative to that of a mean connection (connectionCosts.turns), 1/8 to 8
//	unit            cost of a mean connection (connectionCosts.unit)
//	ledger units    turns * ledger.UnitsPerConnection, 1 to ledger.MaxUnits
//	reported load   fraction of a host's capacity; 1 is full (currentLoad, fleetLoad.mean)
//	weight          a host's capacity relative to others; 1 if the list states none
//	message delay   multiple of the shortest message latency objective of all classes
//	Time            nanoseconds
package balancer

import (
	"errors"
	"fmt"
	"math/rand"

	"croftlock/internal/balancer/rendezvous"
	"croftlock/internal/balancer/setuptime"
)

// Balancer makes the decisions of one proxy. Each of its parts holds the state of one rule, and the
// part's file holds the rule's functions.
type Balancer struct {
	cfg     Config
	effects Effects
	rng     *rand.Rand // used in the order of events; another order changes the decisions
	now     Time       // time of the current event

	endpointList                     // embedded, since most rules iterate over the hosts
	requests     map[string]*request // by request ID

	establishedConnections int // open connections that this balancer placed or adopted

	discovery  discoveryPoller
	ejection   ejection
	costs      connectionCosts
	setups     setuptime.Estimator
	retryStorm retryStorm
	traffic    traffic
	shedding   loadShedding
	queue      requestQueue
	groups     groupOrders
	ledger     placementLedger
	fleetLoad  fleetLoad

	// Reused by each pick to avoid allocations.
	candidateBuffer []candidate
	loadBuffer      []reportedLoad
}

// Errors that New returns for missing Effects and for unusable settings. New wraps ErrEjectionMax in
// an error that adds the two durations.
var (
	ErrNoEffects   = errors.New("balancer: Effects must not be nil")
	ErrNoClasses   = errors.New("balancer: settings name no class of request")
	ErrEjectionMax = errors.New("balancer: the longest ejection is shorter than the first")
)

// New returns a balancer for the given settings. The seed determines its random numbers. It returns
// an error that names the setting if one is unusable, or ErrNoEffects if effects is nil.
func New(cfg Config, seed int64, effects Effects) (*Balancer, error) {
	if err := validate(&cfg, effects); err != nil {
		return nil, err
	}
	b := &Balancer{cfg: cfg, effects: effects, rng: rand.New(rand.NewSource(seed)),
		endpointList: newEndpointList(&cfg), requests: map[string]*request{},
		costs: connectionCosts{byClass: make([]float64, len(cfg.Classes))},
		shedding: loadShedding{demandByClass: make([]float64, len(cfg.Classes)),
			tenantConnections: make([]int, len(cfg.Tenants))},
		groups: groupOrders{}, ledger: newPlacementLedger(&cfg)}
	var err error
	if b.ejection, err = newEjection(&cfg); err != nil {
		return nil, err
	}
	b.traffic = newTraffic(&cfg, b.ejection.initial)
	b.retryStorm.longestObjective = longestLatencyObjective(cfg.Classes)
	return b, nil
}

// validate returns an error if New cannot use the settings or effects.
func validate(cfg *Config, effects Effects) error {
	switch {
	case effects == nil:
		return ErrNoEffects
	case len(cfg.Classes) == 0:
		return ErrNoClasses
	case cfg.Instances < 1 || cfg.Instance < 0:
		return fmt.Errorf("balancer: instance %d of %d: number must be at least 0, count at least 1",
			cfg.Instance, cfg.Instances)
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("balancer: MaxAttempts is %d, must be at least 1", cfg.MaxAttempts)
	}
	for _, c := range cfg.Classes {
		if c.Deadline <= 0 || c.LatencyObjective <= 0 {
			return fmt.Errorf(
				"balancer: class %q has latency objective %d ns and deadline %d ns, both must be positive",
				c.Name, c.LatencyObjective, c.Deadline)
		}
	}
	return nil
}

// longestLatencyObjective returns the longest latency objective of the classes, or 0 if there are
// no classes.
func longestLatencyObjective(classes []Class) Time {
	longest := Time(0)
	for _, c := range classes {
		longest = max(longest, c.LatencyObjective)
	}
	return longest
}

// timerToken identifies a timer. Its bytes go over the simulator's wire: Effects.Schedule passes
// them out, and TimerFired gets them back.
type timerToken string

// The tokens, each with the method that its timer calls.
const (
	timerQueue       timerToken = "pump"  // drainQueue
	timerDiscovery   timerToken = "ask"   // pollDiscovery
	timerUpdate      timerToken = "sweep" // periodicUpdate
	timerHealthCheck timerToken = "probe" // startHealthChecks
	timerGossip      timerToken = "tell"  // gossipStalls
)

// schedule sets a timer that fires after delay, or after Config.Tick if that is longer.
func (b *Balancer) schedule(delay Time, token timerToken) {
	b.effects.Schedule(max(b.cfg.Tick, delay), string(token))
}

// TimerFired handles a timer that was set with Effects.Schedule. It ignores unknown tokens.
func (b *Balancer) TimerFired(now Time, token string) {
	b.beginEvent(now)
	switch timerToken(token) {
	case timerQueue:
		b.queue.timerSet = false
		b.drainQueue()
	case timerDiscovery:
		b.pollDiscovery()
	case timerUpdate:
		b.periodicUpdate()
	case timerHealthCheck:
		b.startHealthChecks()
	case timerGossip:
		b.gossipStalls()
	}
}

// beginEvent sets the time of the current event. The first event sets the time from which counts
// decay, and starts the timers of the periodic tasks.
func (b *Balancer) beginEvent(now Time) {
	b.now = now
	if b.traffic.observedSince >= 0 {
		return
	}
	b.traffic.observedSince, b.traffic.fadedAt, b.ejection.evidence.fadedAt = now, now, now
	b.schedule(b.updateInterval(), timerUpdate)
	if b.hostsReportLoad() {
		b.schedule(b.cfg.Tick, timerHealthCheck)
	}
	if b.cfg.PollsDiscovery {
		// Spread over a quarter of the poll interval, since the capacity of discovery does not grow
		// with the number of balancers.
		b.schedule(Time(float64(b.cfg.PollInterval)/4*b.rng.Float64()), timerDiscovery)
	}
}

const (
	// updatesPerEjection is the largest number of periodic updates during an ejection of the initial
	// duration.
	updatesPerEjection = 8
	// minUpdateInterval, in nanoseconds, limits the cost of updates: each iterates over all hosts.
	minUpdateInterval = 100e6
)

// updateInterval returns the time between two periodic updates.
func (b *Balancer) updateInterval() Time {
	return max(b.cfg.Tick, b.ejection.initial/updatesPerEjection, minUpdateInterval)
}

// periodicUpdate updates the state that changes with time alone: the ledger, the fleet's weight and
// load shedding. It schedules its next call.
func (b *Balancer) periodicUpdate() {
	b.schedule(b.updateInterval(), timerUpdate)
	b.maintainLedger()
	readyWeight := b.updateFleetWeight()
	b.updateShedding(readyWeight)
}

// stableHash returns the hash of a name. Every balancer computes the same hash.
func stableHash(name string) uint64 { return rendezvous.Hash(name) }
