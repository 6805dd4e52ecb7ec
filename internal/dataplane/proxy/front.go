// Package proxy is the core between clients and upstream hosts. It owns the life of a request on both sides, keeps
// the rules that hold whatever the protocol, and is the only caller of the decision module. What a client or an
// upstream host speaks is known to the packages that implement the interfaces below; a second front brings its own.
//
// Everything here runs on the loop, one event after the other.
package proxy

import (
	"croftlock/internal/balancer"
	"time"

	"croftlock/internal/dataplane/netio"
)

// Opening is what a client asks for when it connects.
type Opening struct {
	ID, Key              string
	Class, Tenant, Group string
	ExpectedLoad         float64       // expected load, in the unit of the settings; 0: none
	Retry, Returned      bool          // the client tries again; it comes back after a break or a move
	Wait                 time.Duration // how long it waits for its answer
	HasWait              bool          // it said so; else its class's deadline holds
	PinnedHost           string        // the upstream host at which it is open already; "" for a new one
}

// RequestLine is the client's opening in its own protocol, to be handed to an upstream host.
type RequestLine interface {
	// WithWait gives the bytes, telling the host how long this proxy will wait.
	WithWait(wait time.Duration) []byte
}

// MessageKind is what a message means to the core; most mean nothing to it.
type MessageKind int

// The kinds of message.
const (
	PlainMessage  MessageKind = iota
	Accepted                  // the host accepts
	OverCapacity              // the host turns the request away unseen
	Failed                    // the host failed
	Finished                  // the host has served the connection to its end
	MigrateClient             // the host sends its client away
	LoadReported              // the host tells the connection's load
)

// Message is one message on its way through. Text is passed on as it is, and is valid during the call only.
type Message struct {
	Kind MessageKind
	Load float64 // of LoadTold: microseconds of work a second
	// Report is the load report behind Busy, Fault or Farewell, in the settings' order of fields; nil: none.
	Report []float64
	Text   []byte
}

// Downstream is a client's connection. Serve, and one of Refuse and Fail, are answers: a request gets one.
type Downstream interface {
	Accept(receipt Message)
	Reject(after time.Duration) // a local reply: trying again is harmless
	Fail()                      // a local reply that promises nothing
	Pass(m Message) bool        // false: not now, DownstreamReady will tell
	Pump()                      // offer again what the core did not take
	Migrate()                   // end it politely; the client comes again
	MigrationLine() []byte      // what Move says
	End(cause netio.Cause)      // end it as the other side ended
}

// Upstream is the connection of one upstream request. After End it tells nothing more.
type Upstream interface {
	Pass(m Message) bool
	Pump()
	Stage() netio.Stage // how far it has come
	End(cause netio.Cause)
}

// UpstreamEvents is what an Upstream tells the core.
type UpstreamEvents interface {
	// MaySend is asked right before the first line is written. False: it must not be, and the attempt has been ended.
	MaySend() bool
	UpstreamSent()               // the first line is written whole: from here on the host may act on it
	FromUpstream(m Message) bool // false: not taken, Pump will ask for it again
	UpstreamReady()
	UpstreamEnded(err *netio.Error)
}

// Expiring is an Upstream that rests on something that ends, such as a certificate.
type Expiring interface {
	Expires() time.Time // zero: on nothing
}

// Target is an upstream host as a Starter needs to know it.
type Target struct{ ID, Zone, Address string }

// HealthChecker asks upstream hosts how loaded they are.
type HealthChecker interface {
	// Check asks a host and calls done on the loop, once. load is in the settings' order of fields, nil where none came.
	Check(to Target, done func(status balancer.AttemptStatus, load []float64))
	Forget(host string) // ends what goes on with a host that takes nothing new
}

// Connector opens upstream requests: connect to the target within the time given, send first, and tell ev what
// follows. until is the loop's time at which the proxy stops waiting.
type Connector interface {
	Start(to Target, first RequestLine, until int64, connect time.Duration, ev UpstreamEvents) Upstream
}
