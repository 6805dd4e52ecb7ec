package balancer

// Time is a point in time or a duration, in nanoseconds. Points in time are on the clock that the
// caller passes in with every event.
type Time = int64

// Idempotency specifies when a request of a class may be repeated.
type Idempotency int

// Values of Idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated and rejected at any time
	IdempotentWithKey                    // may be repeated only at hosts that discard repeats of its key
	NotIdempotent                        // may be repeated only while it is known not to have run
)

// DedupScope specifies which hosts discard repeats of a request with an idempotency key.
type DedupScope int

// Values of DedupScope.
const (
	ScopeAll  DedupScope = iota // all hosts
	ScopeZone                   // the hosts of the zone in which the request may have run
	ScopeCell                   // the hosts of the cell in which the request may have run
)

// Class holds the settings of one class of requests.
type Class struct {
	Name                    string
	LatencyObjective        Time // an answer within this time earns the full priority weight
	Deadline                Time // how long the client waits, over all attempts
	Idempotency             Idempotency
	DedupScope              DedupScope
	DedupWindow             Time    // how long hosts discard repeats of an idempotency key
	PriorityWeight          float64 // value of an answer, per request or work (Config.PriorityByWork)
	LatePriorityWeight      float64 // priority weight of a late answer; not used
	MessageLatencyObjective Time    // desired time for the host to handle one message; 0 if unknown
}

// Tenant holds the quotas of one of the customers that share the hosts.
type Tenant struct {
	Name            string
	RateQuota       float64 // requests per second, all balancers together
	ServiceQuota    float64 // its share of the service; not used
	ConnectionQuota float64 // open connections, all balancers together; 0 means no quota
}

// Prices holds what the operators deduct from the value of the requests, per unit of each kind. Only
// CrossZone and HealthCheck are used.
type Prices struct {
	CrossZone   float64
	Waste       float64
	HealthCheck float64 // of one health check
	PeerMessage float64
	LateFail    float64
	Handshake   float64
	Migration   float64
	Connection  float64
	Discovery   float64
}

// Config holds the settings of a balancer, which stay the same while it runs. It mirrors the
// platform's settings one to one; package balancerconfig decodes them.
type Config struct {
	Instance, Instances int      // number of this balancer, from 0, and number of all balancers
	Zone                string   // name of this balancer's zone
	Zones               []string // all zones, in the same order at all balancers: ledger queries contain an index
	Tick                Time     // shortest time between two batches of events, and shortest timer
	Classes             []Class
	Tenants             []Tenant
	PriorityByWork      bool    // priority weights apply per unit of work, not per request
	OverQuotaWeight     float64 // factor on the priority weight of requests beyond their tenant's quota
	// PollsDiscovery specifies whether the balancer subscribes to the endpoint list, and does so
	// again after a failure (setting "subscribe"). If it is false, the proxy receives the list from
	// an agent beside it without a subscription.
	PollsDiscovery bool

	MaxAttempts     int  // largest number of attempts of a request, at least 1
	ConnectTimeout  Time // longest duration of one connect
	IdleTimeout     Time // after which idle connections to hosts are closed; not used
	MaxRetryAfter   Time // longest Retry-After that clients respect
	SendsRetryAfter bool // whether clients read Retry-After
	MayHealthCheck  bool // whether the balancer may check the health of hosts
	MayGossip       bool // whether balancers may send each other messages
	MayCancel       bool // whether attempts can be cancelled

	AnswerSlack       Time    // not used
	SlowStartFloor    float64 // fraction of its capacity that a host has at least when it starts, 0 to 1
	SlowStartDuration Time    // time until a started host has its full capacity; 0 disables slow start
	DrainGrace        Time    // not used
	// A host in slow start fails if it is sent more work within SlowStartOverloadWindow than
	// SlowStartOverloadFactor times what its current capacity allows.
	SlowStartOverloadFactor float64
	SlowStartOverloadWindow Time
	PollInterval            Time // longest time between two polls of discovery

	// Indexes of the load (1 is full) and of the queue length (number of waiting requests) in load
	// reports; -1 if reports do not contain them.
	LoadField, QueueField int

	PassThrough  bool // packets pass through, and connections may arrive mid-flow; not used
	ParkDuration Time // how long a host keeps a connection without packets; not used
	Prices       Prices

	// Durations of the first and of the longest ejection. A negative value means that it is derived
	// from the deadlines; 0 disables ejection.
	EjectionInitial, EjectionMax Time
}
