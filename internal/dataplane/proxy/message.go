package proxy

import "time"

// Opening is what a client asks for when it connects.
type Opening struct {
	ID, Key              string // Key is the idempotency key; "": none
	Class, Tenant, Group string
	ExpectedLoad         float64       // in the unit of the settings; 0: none
	Retry                bool          // the client tries again
	Returned             bool          // it comes back after a break or a migration
	Wait                 time.Duration // how long it waits for its answer
	HasWait              bool          // it said so; else its class's deadline holds
	StickyHost           string        // the upstream host at which it is open already; "" for a new one
}

// RequestLine is the client's opening in its own protocol, to be handed to an upstream host.
type RequestLine interface {
	// WithWait gives the bytes, telling the host how long this proxy will wait.
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

// Message is one message on its way through. Text is relayed as it is, and is valid during the call only.
type Message struct {
	Kind MessageKind
	Load float64 // of LoadReported: microseconds of work a second
	// Report is the load report behind OverCapacity, Failed or Finished, in the settings' order of fields; nil: none.
	Report []float64
	Text   []byte
}
