package simulator

import "encoding/json"

// Message types, and the bits of message.Flags. The last three bits set the fields of balancer.Request of
// the same names.
const (
	typeStart        = "Init"
	typeExit         = "Exit"
	typeHostList     = "Directory"
	typeListChange   = "Membership"
	typeRequest      = "Inbound"
	typeAdopted      = "Adopted"
	typeClientLeft   = "ClientLeft"
	typeHealthCheck  = "HealthResult"
	typeTimer        = "Fired"
	typeObservation  = "Notice"
	typeAttemptEnded = "Response"
	typeEstablished  = "Streaming"
	typePeerMessage  = "Memo"
	flagHint         = 1 // message.Hint is set
	flagRetry        = 2
	flagMidFlow      = 8
	flagReturned     = 16
)

// balancerTypes holds the types of the messages that are addressed to a balancer.
var balancerTypes = map[string]bool{
	typeStart: true, typeExit: true, typeListChange: true, typeRequest: true, typeAdopted: true, typeClientLeft: true,
	typeHealthCheck: true, typeTimer: true, typeObservation: true, typeAttemptEnded: true, typeEstablished: true,
	typePeerMessage: true,
}

// batch is one line of input: messages that arrive at the same time.
type batch struct {
	Time     *int64    `json:"time"` // nanoseconds
	Messages []message `json:"msgs"`
}

// message holds the fields of all message types, so that a line is parsed in one pass. Each type uses
// some of them.
type message struct {
	Type       string          `json:"event_type"`
	Balancer   string          `json:"balancer"`
	RequestID  string          `json:"request_id"`
	Host       string          `json:"server"`
	Attempt    int             `json:"seq_no"`    // number of the attempt of its request, from 0
	Status     string          `json:"ending"`    // a key of attemptStatuses
	Elapsed    int64           `json:"elapsed"`   // since the attempt began, in nanoseconds
	Closed     bool            `json:"no_more"`   // the request has its final answer
	Load       []float64       `json:"gauge"`     // load report; see balancer.AttemptResult
	Hint       float64         `json:"hint"`      // expected load, as balancer.Request.ExpectedLoad; used only with flagHint
	Key        string          `json:"item"`      // idempotency key
	Tenant     json.RawMessage `json:"party"`     // name of the tenant; a value that is not a string means none
	Group      string          `json:"channel"`   // name of a group; see balancer.Request
	Class      *string         `json:"cls"`       // name of the class
	Flags      int             `json:"bits"`      // flagHint and the other flags
	Remaining  *int64          `json:"remaining"` // time until the client stops waiting, in nanoseconds
	Token      *string         `json:"ref"`
	Value      float64         `json:"level"` // observed value, in the unit of Kind
	Kind       int             `json:"sort"`  // a balancer.Observation
	Seed       json.Number     `json:"salt"`
	Config     json.RawMessage `json:"config"`
	ListNumber *int            `json:"sheet"` // number of an endpoint list
	Hosts      []listedHost    `json:"elements"`
	Change     string          `json:"form"`        // a key of listChanges
	Version    int64           `json:"gen"`         // version of the list; unused, but must be an integer
	Peer       int             `json:"origin_peer"` // number of the balancer that sent the message
	Contents   string          `json:"contents"`    // base64
}

// listedHost is a host of an endpoint list.
type listedHost struct {
	State     string  `json:"stage_state"` // a key of hostStates
	Zone      string  `json:"region_part"`
	Weight    float64 `json:"capacity_hint"` // capacity relative to other hosts; 0 means 1
	StartedAt int64   `json:"since"`         // latest start, in nanoseconds; 0 if it was long ago
	ID        string  `json:"server"`
	Kind      string  `json:"type"`
	Cell      int     `json:"stripe"`
}
