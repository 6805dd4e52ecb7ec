package proxy

import "time"

// Opening is a client's request.
type Opening struct {
	ID, Key              string // Key is the idempotency key; "": none
	Class, Tenant, Group string
	ExpectedLoad         float64       // in the unit of the settings; 0: none
	Retry                bool          // the client marks it as a retry
	Returned             bool          // it comes back after a break or a migration
	Wait                 time.Duration // how long it waits for its answer
	HasWait              bool          // it says so; else its class's deadline counts
	StickyHost           string        // the upstream host at which it is open already; "" for a new one
}

// RequestLine is the client's opening in its own protocol, to be handed to an upstream host.
type RequestLine interface {
	// WithWait gives the bytes, with how long this proxy will wait for the host's answer.
	WithWait(wait time.Duration) []byte
}

// MessageKind is what a message means to the core; most mean nothing to it. Its numbers are stored in HandedOverConnection.
type MessageKind int

// The kinds of message.
const (
	PlainMessage  MessageKind = iota
	Accepted                  // the host accepts
	OverCapacity              // the host rejects the request unseen
	Failed                    // the host failed
	Finished                  // the host has served the connection to its end
	MigrateClient             // the host sends its client away
	LoadReported              // the host reports the connection's load
)

// Message is one message that is relayed. Text is relayed as it is, and is valid during the call only.
type Message struct {
	Kind MessageKind
	Load float64 // of LoadReported: microseconds of work a second
	// Report is the load report behind OverCapacity, Failed or Finished, in the settings' order of fields; nil: none.
	Report []float64
	Text   []byte
}
