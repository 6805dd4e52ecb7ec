// Package balancer decides where a proxy places long-lived connections, and when to queue, reject, retry or
// migrate them. It is plain decisions: one Balancer is one proxy's, single-threaded; the caller calls one
// method an event and carries out the Effects in order. Time comes with each event and randomness from a
// seed; nothing here reads a clock, starts a goroutine or follows the order of a map, so that the same events
// give the same effects.
//
// The base is PIP-425: smooth weighted rotation over the hosts that are not ejected; a failed connect ejects
// a host for a time that doubles with each consecutive failure up to a cap and that a success ends; where no
// host is left, rotation over all. The order in which a request meets all rules is described in placement.go.
// docs/design.md says where and why the rules go beyond PIP-425.
//
// # Units
//
//	load, cost      work a second on a standard core, in nanoseconds, as Request.ExpectedLoad
//	turns           a cost in mean connections (connectionCosts.turns), 1/8 to 8
//	unit            the cost of a mean connection (connectionCosts.unit)
//	ledger units    turns * ledger.UnitsPerConnection, 1 to ledger.MaxUnits
//	reported load   part of what a host can do; 1 is full (currentLoad, fleetLoad.mean)
//	weight          a host's capacity in relation to others; 1 where the list gives none
//	message delay   in shortest message latency objectives of all classes
//	Time            nanoseconds
package balancer

import (
	"errors"
	"fmt"
	"math/rand"

	"croftlock/internal/balancer/rendezvous"
	"croftlock/internal/balancer/setuptime"
)

// Balancer is the decisions of one proxy. Each part holds the state of one rule, and its file the rule's
// functions.
type Balancer struct {
	cfg     Config
	effects Effects
	rng     *rand.Rand // drawn from in the order of events: another order is another decision
	now     Time       // of the event under way

	endpointList // embedded: most rules walk the hosts
	requests     map[string]*request

	establishedConnections int // that this balancer placed or adopted

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

	// Reused by each pick, so that a pick allocates nothing.
	candidateBuffer []candidate
	loadBuffer      []reportedLoad
}

// Errors of New, for settings that cannot be used.
var (
	ErrNoEffects   = errors.New("balancer: no Effects given")
	ErrNoClasses   = errors.New("balancer: settings name no class of request")
	ErrEjectionMax = errors.New("balancer: the longest quarantine is shorter than the first")
)

// New makes a balancer. Its errors name the setting that cannot be used.
func New(cfg Config, seed int64, fx Effects) (*Balancer, error) {
	if err := validate(&cfg, fx); err != nil {
		return nil, err
	}
	b := &Balancer{cfg: cfg, effects: fx, rng: rand.New(rand.NewSource(seed)),
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

func validate(cfg *Config, fx Effects) error {
	switch {
	case fx == nil:
		return ErrNoEffects
	case len(cfg.Classes) == 0:
		return ErrNoClasses
	case cfg.Instances < 1 || cfg.Instance < 0:
		return fmt.Errorf("balancer: balancer %d of %d is not possible", cfg.Instance, cfg.Instances)
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("balancer: at most %d attempts allows none", cfg.MaxAttempts)
	}
	for _, c := range cfg.Classes {
		if c.Deadline <= 0 || c.LatencyObjective <= 0 {
			return fmt.Errorf("balancer: class %q needs an aim and a deadline above zero", c.Name)
		}
	}
	return nil
}

func longestLatencyObjective(classes []Class) Time {
	longest := Time(0)
	for _, c := range classes {
		longest = max(longest, c.LatencyObjective)
	}
	return longest
}

// timerToken names a timer. The bytes go over the wire with Effects.Schedule and come back with TimerFired.
type timerToken string

const (
	timerQueue       timerToken = "pump"  // drainQueue
	timerDiscovery   timerToken = "ask"   // pollDiscovery
	timerUpdate      timerToken = "sweep" // periodicUpdate
	timerHealthCheck timerToken = "probe" // startHealthChecks
	timerGossip      timerToken = "tell"  // gossipStalls
)

// schedule sets a timer, no shorter than the tick.
func (b *Balancer) schedule(delay Time, token timerToken) {
	b.effects.Schedule(max(b.cfg.Tick, delay), string(token))
}

// TimerFired brings back a token that was given to Effects.Schedule. Unknown tokens are ignored.
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

// beginEvent takes the time of an event; the first one starts the timers.
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
		// Spread over the time allowed: discovery does not grow with the number of balancers.
		b.schedule(Time(float64(b.cfg.PollInterval)/4*b.rng.Float64()), timerDiscovery)
	}
}

const (
	// updatesPerEjection is how many periodic updates there are in the first ejection at most.
	updatesPerEjection = 8
	// minUpdateInterval, in nanoseconds, bounds their cost: each walks all hosts.
	minUpdateInterval = 100e6
)

// updateInterval is the time between periodic updates.
func (b *Balancer) updateInterval() Time {
	return max(b.cfg.Tick, b.ejection.initial/updatesPerEjection, minUpdateInterval)
}

// periodicUpdate keeps what changes without events.
func (b *Balancer) periodicUpdate() {
	b.schedule(b.updateInterval(), timerUpdate)
	b.maintainLedger()
	readyWeight := b.updateFleetWeight()
	b.updateShedding(readyWeight)
}

// stableHash is the hash of a name, the same at every balancer.
func stableHash(name string) uint64 { return rendezvous.Hash(name) }
