// The decisions of croftlock. The interface (settings, events, actions) is in brain/api.go.
//
// The mechanism is that of PIP-425: even weighted rotation over the servers not in quarantine; a failed
// connect quarantines a server for a period that doubles with each consecutive failure up to a cap and that
// success resets; an empty pool falls back to rotation over all. docs/design.md lists each departure and
// when it acts.
//
// One Brain is one balancer. It is single-threaded: the host calls one method an event and carries out the
// actions in order. Time comes with each event, randomness from the seed; nothing here reads a clock,
// starts a goroutine or follows the order of a map.
package balancer

// What is left of free settings: all dimensionless.
const (
	quarantineCap = 8.0   // cap over first quarantine: three doublings; a day would outlast every fault seen
	slack         = 1.0   // turns by which a tie-break may run ahead of the rotation
	coldSafety    = 2.5   // what a full server takes, over what an average one gets: it has as much room
	usualPart     = 0.4   // part of the tenants' quotas that is asked for, where too little was seen to tell
	quotaPart     = 0.8   // part of what the fleet can hold that all quotas add up to
	freshLuck     = 0.85  // part of a cold budget that fresh connections get by lot where traffic is thin
	waveLuck      = 0.5   // and the part for those that come again, all at once
	youngFor      = 4     // warm-ups for which a server counts as one that has started lately
	groupCost     = 3.0   // mean connections that a group's first costs a server on top
	areas         = 2     // sets of zones that have servers of their own for a group where traffic is thin
	thinPlaces    = 8.0   // places in a group's order that count where traffic is thin
	askSpread     = 5e7   // between calls on discovery, all balancers together, when it has failed them all
	askPause      = 1.2e9 // and between one's own where they are few: there has to be time for a second one
	askLatest     = 5e9   // by then a failed call is made again: news counts as told after 6 s
	tellEvery     = 2e9   // a server's trouble is told to all balancers at most so often
	tellWithin    = 6e8   // by one of those that see it, whoever draws the shortest wait
	ordersKept    = 256   // groups whose order of servers is remembered
	farLuck       = 0.75  // a lot counts so much in another zone, and as much more in the own
	zoneBias      = 100.0 // how fast a crossing's price takes turns from other zones
	slowAt        = 0.33  // message delay, in shortest aims, that halves a server's turns; notes begin here
	sharedPart    = 0.5   // when this part of the evidence fails, the fault is nobody's own
	minHealth     = 0.02  // a server that still accepts keeps this part of its turns, so that healing is seen
	stallTarget   = 0.1   // part of the open load that may be stalled before new work is refused
	restrain      = 1.0   // restraint gained a second while all open load is stalled
	release       = 0.05  // and lost a second while little is
	spreadLoad    = 4.0   // connections as which the state of all servers counts beside those from here
	relief        = 0.5   // and its part lost a second while no server is stalled
	probeStep     = 2.5e8 // how often it is looked whom to probe
	probeLeast    = 5e8   // no server is probed more often
	probeSpend    = 0.005 // of what is wanted is spent on probes
	roomTop       = 1.1   // load at which a server gets next to no turns
	slackTold     = 24.0  // turns by which a tie-break may run ahead where servers tell how loaded they are
	leastRate     = 0.2   // requests a second for which a balancer probes at least
	homeFull      = 0.9   // load up to which a server is to hold the groups that are its own
	strangeTold   = 8.0   // group costs that another one counts for, where servers tell how loaded they are
	movesAt       = 0.98  // load at which connections are moved off a server
	movesTo       = 0.8   // and to which
	movesUnder    = 0.8   // unless the fleet's is more than this: others have no room either
	mostMoved     = 0.1   // part of a balancer's own that one report moves at most
	bookWait      = 150e6 // a keeper's answer is waited for so long
	bookSpread    = 1e9   // over which all tell a keeper that begins what they hold
	bookAgain     = 8e9   // and how often each does again
	bookSlack     = 1.15  // load over the mean, and
	bookCold      = 0.75  // part of what a cold server may get by chance that the keeper gives out
	freshOver     = 1e10  // time over which the keeper counts fresh requests
	newPlace      = 1.0   // a group's price where it is new, beyond what it costs the server
	overFrom      = 4.0   // loads more, from which a server counts as overfull
	overPays      = 10.0  // and each load over that, beyond itself
	farPays       = 2.0   // loads that a server in another zone counts as fuller
	slowPays      = 10.0  // and one that makes messages wait for the shortest aim
	movePart      = 0.15  // chance that a mean connection is moved off a stalled server, each note
)

func (b *Balancer) tick(now Time) {
	b.now = now
	if b.started >= 0 {
		return
	}
	b.started, b.rateAt, b.fadeAt = now, now, now
	b.fx.Schedule(b.sweepEvery(), "sweep")
	if b.reports() {
		b.fx.Schedule(b.cfg.Tick, "probe")
	}
	if b.cfg.PollsDiscovery {
		// Spread over the time allowed: discovery has the same capacity however many balancers start
		// together.
		b.fx.Schedule(max(b.cfg.Tick, Time(float64(b.cfg.PollInterval)/4*b.rng.Float64())), "ask")
	}
}

func (b *Balancer) sweepEvery() Time { return max(b.cfg.Tick, b.qInit/8, 100e6) }

// TimerFired brings back a token given to After.
func (b *Balancer) TimerFired(now Time, token string) {
	b.tick(now)
	switch token {
	case "pump":
		b.pumping = false
		b.pump()
	case "ask":
		b.ask()
	case "sweep":
		b.sweep()
	case "probe":
		b.probe()
	case "tell":
		b.tell()
	}
}
