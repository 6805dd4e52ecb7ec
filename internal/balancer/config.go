package balancer

// Time is a moment or a span in nanoseconds, on the clock that the caller passes in with every event.
type Time = int64

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated and rejected at will
	IdempotentWithKey                    // only where hosts discard repeats of its key
	NotIdempotent                        // only while it is known not to have run
)

// DedupScope says which hosts discard repeats of a request with an idempotency key.
type DedupScope int

// The scopes of a key.
const (
	ScopeAll  DedupScope = iota // every host
	ScopeZone                   // the hosts of the zone in which it may have run
	ScopeCell                   // the hosts of that cell
)

// Class is one class of request.
type Class struct {
	Name                    string
	LatencyObjective        Time // an answer within this time earns its full priority weight
	Deadline                Time // how long the client waits, all attempts together
	Idempotency             Idempotency
	DedupScope              DedupScope
	DedupWindow             Time // how long hosts discard repeats of a key
	PriorityWeight          float64
	LatePriorityWeight      float64 // of a late answer; not used
	MessageLatencyObjective Time    // wanted duration of one message on an open connection; 0: unknown
}

// Tenant is one of the customers that share the fleet.
type Tenant struct {
	Name            string
	RateQuota       float64 // requests a second, all balancers together
	ServiceQuota    float64 // its part of the service; not used
	ConnectionQuota float64 // open connections, all balancers together; 0: none given
}

// Prices are what the operators deduct for one unit of each kind. Only CrossZone and HealthCheck are used.
type Prices struct {
	CrossZone   float64
	Waste       float64
	HealthCheck float64
	PeerMessage float64
	LateFail    float64
	Handshake   float64
	Migration   float64
	Connection  float64
	Discovery   float64
}

// Config is what a balancer is given once, at its start. It is long because it mirrors the settings of the
// platform one to one; package balancerconfig reads it from them.
type Config struct {
	Instance, Instances int    // own number, from 0, and how many balancers there are
	Zone                string // own zone
	Zones               []string
	Tick                Time // shortest time between two batches of events, and shortest timer
	Classes             []Class
	Tenants             []Tenant
	PriorityByWork      bool    // priority weights count for a unit of work, not for a request
	OverQuotaWeight     float64 // factor on the priority weight of traffic beyond its tenant's quota
	// PollsDiscovery: the balancer requests the watch of the endpoint list, and again after a failure (setting
	// "subscribe"). False: the proxy follows an agent beside it unasked.
	PollsDiscovery bool

	MaxAttempts     int  // of one request
	ConnectTimeout  Time // of one connect
	IdleTimeout     Time // after which idle connections to hosts are closed; not used
	MaxRetryAfter   Time // longest Retry-After that clients respect
	SendsRetryAfter bool // clients read Retry-After
	MayHealthCheck  bool
	MayGossip       bool // balancers may send each other messages
	MayCancel       bool // attempts can be cancelled

	AnswerSlack             Time    // not used
	SlowStartFloor          float64 // part of its capacity that a host surely has as it starts, 0 to 1
	SlowStartDuration       Time    // after which it surely has all of it; 0: no slow start
	DrainGrace              Time    // not used
	SlowStartOverloadFactor float64 // a warming host fails at more than this multiple of its capacity by then
	SlowStartOverloadWindow Time    // sent within this time
	PollInterval            Time    // longest time between two polls of discovery

	// Positions of the load and of the queue length in load reports; -1: reports do not hold them.
	LoadField, QueueField int

	PassThrough  bool // packets pass through, and connections may arrive in mid-flow; not used
	ParkDuration Time // how long a host keeps a connection whose packets have ceased; not used
	Prices       Prices

	// First and longest ejection. Negative: derived from the deadlines. 0: no host is ejected.
	EjectionInitial, EjectionMax Time
}
