// Package brain decides where a balancer of long-lived connections places them.
//
// This file is the whole interface: settings, events and actions. It decides nothing; the files that do are named under
// policy in deploy/balancer.toml.
package balancer

// Time is a moment or a span in nanoseconds, on the clock that the host passes in with every event.
type Time = int64

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The kinds of effect. A Idempotent request may be repeated and refused at will, a IdempotentWithKey one only where its repeats
// are discarded, an NotIdempotent one only while it is known not to have run.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NotIdempotent
)

// DedupScope says which servers discard repeats of a Keyed request.
type DedupScope int

// The scopes of a key.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class is one class of request.
type Class struct {
	Name                    string
	LatencyObjective        Time // an answer within this time earns full worth
	Deadline                Time // how long the client waits, all tries together
	Idempotency             Idempotency
	DedupScope              DedupScope
	DedupWindow             Time // how long repeats of a Keyed request are discarded
	PriorityWeight          float64
	LatePriorityWeight      float64
	MessageLatencyObjective Time // wanted duration of one message on an open connection; 0 if unknown
}

// Tenant is one of the customers that share the fleet.
type Tenant struct {
	Name            string
	RateQuota       float64 // requests a second in its share, all balancers together
	ServiceQuota    float64 // its part of the service
	ConnectionQuota float64 // open connections in its share, all balancers together
}

// Prices are what the operators deduct, each for one unit as the wire's tariffs define it.
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

// Config is what an instance is told once, at its start.
type Config struct {
	Instance, Instances int    // own number, from 0, and how many balancers there are
	Zone                string // own zone
	Zones               []string
	Tick                Time // shortest time between two batches of events
	Classes             []Class
	Tenants             []Tenant
	PriorityByWork      bool    // worth counts for each unit of work, not for each request
	OverQuotaWeight     float64 // worth of traffic beyond a tenant's share
	PollsDiscovery      bool    // discovery answers only when asked

	MaxAttempts     int
	ConnectTimeout  Time
	IdleTimeout     Time // idle connections to servers are closed after this
	MaxRetryAfter   Time
	SendsRetryAfter bool // clients read advice on when to come back
	MayHealthCheck  bool
	MayGossip       bool
	MayCancel       bool

	AnswerSlack             Time
	SlowStartFloor          float64 // a server starts at this share of its capacity, or above
	SlowStartDuration       Time    // and is warm after this time, or earlier
	DrainGrace              Time
	SlowStartOverloadFactor float64 // a cold server falls over at more than this multiple of its present capacity
	SlowStartOverloadWindow Time    // sent for this long
	PollInterval            Time    // without a subscription: ask at least this often

	// What load reports hold, and where; -1: they do not. Reports come with probes, or with answers too.
	LoadField, QueueField int

	PassThrough  bool // packets pass through, and connections may arrive in mid-flow
	ParkDuration Time // how long a server keeps a connection whose packets have stopped coming
	Prices       Prices

	// The mechanism's two durations. Negative: derived from the other settings. 0: quarantine is off.
	EjectionInitial, EjectionMax Time
}

// HostState is what discovery says of a server.
type HostState int

// The states of a server.
const (
	Ready HostState = iota
	Draining
	Removed
	Suspended // out by hand, whatever discovery says
)

// ListedHost is one server in a list.
type ListedHost struct {
	ID        string    `json:"ID"`
	State     HostState `json:"State"`
	Zone      string    `json:"Zone"`
	Kind      string    `json:"Kind"`
	Cell      int       `json:"Cell"`
	Weight    float64   `json:"Weight"`
	StartedAt Time      `json:"Since"` // its latest start; 0: long past
}

// ListChange says how a list is to be read.
type ListChange int

// The kinds of list.
const (
	ListDelta       ListChange = iota // only what has changed
	ListFull                          // everything: what is absent is gone
	ListCached                        // everything, as this balancer last had it; may be old
	ListFailed                        // a call on discovery failed or a subscription broke; no entries
	ListMaintenance                   // a change that did not come from discovery: an operator's
)

// Request is a client's try, or (with Open) a connection that is already up.
type Request struct {
	ID           string  `json:"ID"`
	Class        int     `json:"Class"`
	Tenant       int     `json:"Tenant"`   // -1: none
	Key          string  `json:"Key"`      // "": none
	Group        string  `json:"Group"`    // "": none
	ExpectedLoad float64 `json:"Hint"`     // work a second on a standard core, in nanoseconds; 0: none
	Retry        bool    `json:"Repeat"`   // marked by its client as another try
	MidFlow      bool    `json:"MidFlow"`  // packets of a connection that some server already holds
	Returned     bool    `json:"Returned"` // the client came back after a break or a move
	Remaining    Time    `json:"Left"`     // how long this try's client still waits
}

// AttemptStatus is how an attempt ended.
type AttemptStatus int

// The outcomes of an attempt.
const (
	OK AttemptStatus = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	TooLate
)

// String names an outcome as the log writes it.
func (s AttemptStatus) String() string {
	if s < OK || s > TooLate {
		return "unknown"
	}
	return [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}[s]
}

// ProvesNotRun tells whether an attempt that ended so surely had no effect.
func (s AttemptStatus) ProvesNotRun() bool { return s == Full || s == ConnectFailed || s == TooLate }

// Observation says what a note is about.
type Observation int

// The kinds of note.
const (
	ObservedLoad    Observation = 1 // value: the connection's load now, microseconds of work a second
	ObservedLatency Observation = 2 // value: milliseconds that a message takes at the server now
)

// Effects is what the brain can do. The host carries the actions out in the order of the calls.
type Effects interface {
	StartAttempt(request, server string, timeout Time) // start the request's next attempt
	Reject(request string, retryAfter Time)            // final: not done, and a retry is harmless
	Fail(request string)                               // final: promises nothing
	CancelAttempt(request string, attempt int)         // stop waiting for an attempt
	Migrate(request string)                            // end an open connection politely; its client comes again
	HealthCheck(server string)
	SendToPeer(peer int, data []byte) // peer -1: all
	WatchList(on bool)                // subscribe to changes of the list
	FetchList()                       // ask for the whole list once
	Schedule(delay Time, token string)
	Report(e Event) // a fact for the log
}
