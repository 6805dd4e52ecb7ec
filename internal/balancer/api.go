// Package brain decides where a balancer of long-lived connections places them.
//
// This file is the whole interface: settings, events and actions. It decides nothing; the files that do are named under
// policy in deploy/balancer.toml.
package balancer

// Time is a moment or a span in nanoseconds, on the clock that the host passes in with every event.
type Time = int64

// Effect says what repeating a request of a class may do.
type Effect int

// The kinds of effect. A Safe request may be repeated and refused at will, a Keyed one only where its repeats
// are discarded, an Unsafe one only while it is known not to have run.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Scope says which servers discard repeats of a Keyed request.
type Scope int

// The scopes of a key.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one class of request.
type Class struct {
	Name       string
	Aim        Time // an answer within this time earns full worth
	Deadline   Time // how long the client waits, all tries together
	Effect     Effect
	Scope      Scope
	Window     Time // how long repeats of a Keyed request are discarded
	Worth      float64
	LateWorth  float64
	MessageAim Time // wanted duration of one message on an open connection; 0 if unknown
}

// Tenant is one of the customers that share the fleet.
type Tenant struct {
	Name             string
	QuotaPerS        float64 // requests a second in its share, all balancers together
	Share            float64 // its part of the service
	QuotaConnections float64 // open connections in its share, all balancers together
}

// Prices are what the operators deduct, each for one unit as the wire's tariffs define it.
type Prices struct {
	CrossZone  float64
	Waste      float64
	Probe      float64
	Peer       float64
	LateFail   float64
	Handshake  float64
	Moves      float64
	Connection float64
	Discovery  float64
}

// Config is what an instance is told once, at its start.
type Config struct {
	Me, Peers   int    // own number, from 0, and how many balancers there are
	Zone        string // own zone
	Zones       []string
	Tick        Time // shortest time between two batches of events
	Classes     []Class
	Tenants     []Tenant
	WorthByWork bool    // worth counts for each unit of work, not for each request
	OverShare   float64 // worth of traffic beyond a tenant's share
	Ask         bool    // discovery answers only when asked

	MaxAttempts    int
	ConnectTimeout Time
	IdleClose      Time // idle connections to servers are closed after this
	MaxRetryAfter  Time
	RetryAfter     bool // clients read advice on when to come back
	MayProbe       bool
	MayTell        bool
	MayCancel      bool

	AnswerSlack  Time
	ColdFrom     float64 // a server starts at this share of its capacity, or above
	WarmUp       Time    // and is warm after this time, or earlier
	DrainGrace   Time
	FallMultiple float64 // a cold server falls over at more than this multiple of its present capacity
	Fall         Time    // sent for this long
	AskWithin    Time    // without a subscription: ask at least this often

	// What load reports hold, and where; -1: they do not. Reports come with probes, or with answers too.
	ReportLoad, ReportQueue int

	Pass   bool // packets pass through, and connections may arrive in mid-flow
	Park   Time // how long a server keeps a connection whose packets have stopped coming
	Prices Prices

	// The mechanism's two durations. Negative: derived from the other settings. 0: quarantine is off.
	QuarantineInit, QuarantineMax Time
}

// State is what discovery says of a server.
type State int

// The states of a server.
const (
	Ready State = iota
	Draining
	Departed
	Suspended // out by hand, whatever discovery says
)

// Entry is one server in a list.
type Entry struct {
	ID     string  `json:"ID"`
	State  State   `json:"State"`
	Zone   string  `json:"Zone"`
	Kind   string  `json:"Kind"`
	Cell   int     `json:"Cell"`
	Weight float64 `json:"Weight"`
	Since  Time    `json:"Since"` // its latest start; 0: long past
}

// ListKind says how a list is to be read.
type ListKind int

// The kinds of list.
const (
	ListDelta  ListKind = iota // only what has changed
	ListFull                   // everything: what is absent is gone
	ListCached                 // everything, as this balancer last had it; may be old
	ListFailed                 // a call on discovery failed or a subscription broke; no entries
	ListByHand                 // a change that did not come from discovery: an operator's
)

// Request is a client's try, or (with Open) a connection that is already up.
type Request struct {
	ID       string  `json:"ID"`
	Class    int     `json:"Class"`
	Tenant   int     `json:"Tenant"`   // -1: none
	Key      string  `json:"Key"`      // "": none
	Group    string  `json:"Group"`    // "": none
	Hint     float64 `json:"Hint"`     // work a second on a standard core, in nanoseconds; 0: none
	Repeat   bool    `json:"Repeat"`   // marked by its client as another try
	MidFlow  bool    `json:"MidFlow"`  // packets of a connection that some server already holds
	Returned bool    `json:"Returned"` // the client came back after a break or a move
	Left     Time    `json:"Left"`     // how long this try's client still waits
}

// Status is how an attempt ended.
type Status int

// The outcomes of an attempt.
const (
	OK Status = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// String names an outcome as the log writes it.
func (s Status) String() string {
	if s < OK || s > Moot {
		return "unknown"
	}
	return [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}[s]
}

// ProvesNotRun tells whether an attempt that ended so surely had no effect.
func (s Status) ProvesNotRun() bool { return s == Full || s == ConnectFailed || s == Moot }

// NoteKind says what a note is about.
type NoteKind int

// The kinds of note.
const (
	NoteLoad  NoteKind = 1 // value: the connection's load now, microseconds of work a second
	NoteDelay NoteKind = 2 // value: milliseconds that a message takes at the server now
)

// Effects is what the brain can do. The host carries the actions out in the order of the calls.
type Effects interface {
	Send(request, server string, timeout Time) // start the request's next attempt
	Refuse(request string, retryAfter Time)    // final: not done, and a retry is harmless
	Fail(request string)                       // final: promises nothing
	Cancel(request string, attempt int)        // stop waiting for an attempt
	Move(request string)                       // end an open connection politely; its client comes again
	Probe(server string)
	Tell(peer int, data []byte) // peer -1: all
	Watch(on bool)              // subscribe to changes of the list
	Fetch()                     // ask for the whole list once
	After(delay Time, token string)
	Log(text string)
}
