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
	Attempt    int             `json:"seq_no"`
	Status     string          `json:"ending"`
	Elapsed    int64           `json:"elapsed"`
	Closed     bool            `json:"no_more"`
	Load       []float64       `json:"gauge"`
	Hint       float64         `json:"hint"`
	Key        string          `json:"item"`
	Tenant     json.RawMessage `json:"party"`
	Group      string          `json:"channel"`
	Class      *string         `json:"cls"`
	Flags      int             `json:"bits"`
	Remaining  *int64          `json:"remaining"`
	Token      *string         `json:"ref"`
	Value      float64         `json:"level"`
	Kind       int             `json:"sort"`
	Seed       json.Number     `json:"salt"`
	Config     json.RawMessage `json:"config"`
	ListNumber *int            `json:"sheet"`
	Hosts      []listedHost    `json:"elements"`
	Change     string          `json:"form"`
	Version    int64           `json:"gen"` // version of the list; unused, but must be an integer
	Peer       int             `json:"origin_peer"`
	Contents   string          `json:"contents"` // base64
}

// listedHost is a host of an endpoint list.
type listedHost struct {
	State     string  `json:"stage_state"`
	Zone      string  `json:"region_part"`
	Weight    float64 `json:"capacity_hint"`
	StartedAt int64   `json:"since"`
	ID        string  `json:"server"`
	Kind      string  `json:"type"`
	Cell      int     `json:"stripe"`
}
