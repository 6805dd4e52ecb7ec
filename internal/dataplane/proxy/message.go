package proxy

import "time"

// Opening holds what a client sends to open a connection.
type Opening struct {
	ID, Key              string        // Key is the idempotency key, "" for none
	Class, Tenant, Group string        // the clients of a Group are placed together; "" for no group
	ExpectedLoad         float64       // load of the connection, in the unit of the settings; 0 if not given
	Retry                bool          // the client marks the request as a retry
	Returned             bool          // the client opens a connection again after a break or a migration
	Wait                 time.Duration // how long the client waits for its answer, if HasWait
	HasWait              bool          // Wait is given; otherwise the class's deadline applies
	StickyHost           string        // the upstream host at which the connection is open already; "" for a new one
}

// RequestLine is the client's opening in the form in which it is sent to an upstream host.
type RequestLine interface {
	// WithWait returns the bytes of the line. It tells the host that the proxy waits for the answer
	// as long as wait.
	WithWait(wait time.Duration) []byte
}

// MessageKind is the meaning of a message to the core. HandedOverConnection stores its numbers, so
// they must not change.
type MessageKind int

// The kinds of message.
const (
	PlainMessage  MessageKind = iota // the core only relays it
	Accepted                         // the host accepts the request
	OverCapacity                     // the host rejects the request without running it
	Failed                           // the host failed to serve the request
	Finished                         // the host has served the connection to its end
	MigrateClient                    // the host asks its client to open the connection again
	LoadReported                     // the host reports the connection's load or its message delay
)

// Message is a message between a client and a host. Text is relayed unchanged, and is valid only
// during the call.
type Message struct {
	Kind MessageKind
	Load float64 // for LoadReported, microseconds of work per second or milliseconds of message delay; 0 otherwise
	// Report is the load report that follows OverCapacity, Failed or Finished, in the settings'
	// order of fields. It is nil if there is none.
	Report []float64
	Text   []byte
}
