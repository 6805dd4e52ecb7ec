package proxy

import (
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
)

// Balancer is the part of the decision module that the core calls. It is called from one goroutine, and never from inside one of its
// effects.
type Balancer interface {
	// RequestArrived has a request placed.
	RequestArrived(now balancer.Time, q balancer.Request)
	// ConnectionAdopted brings an open connection that the balancer has not placed.
	ConnectionAdopted(now balancer.Time, q balancer.Request, host string)
	// AttemptEstablished brings a host's acceptance.
	AttemptEstablished(now balancer.Time, id string, attempt int, elapsed balancer.Time)
	// AttemptEnded brings the end of an attempt, or of its open connection.
	AttemptEnded(now balancer.Time, result balancer.AttemptResult)
	// ClientLeft says that nobody waits for the request any more.
	ClientLeft(now balancer.Time, id string)
	// HealthCheckEnded brings the result of effect HealthCheck.
	HealthCheckEnded(now balancer.Time, id string, status balancer.AttemptStatus, load []float64)
	// Observe brings the load (µs/s) of an open connection, or the latency (ms) of messages on it.
	Observe(now balancer.Time, id string, attempt int, kind balancer.Observation, value float64)
	// ListReceived brings the endpoint list, or a change of it.
	ListReceived(now balancer.Time, kind balancer.ListChange, entries []balancer.ListedHost)
	// PeerMessageReceived brings a message of another proxy's.
	PeerMessageReceived(now balancer.Time, from int, data []byte)
	// TimerFired brings the token of effect Schedule.
	TimerFired(now balancer.Time, token string)
	// Ejected reports whether a host is ejected, since set-ups there failed: until it is due for a trial it gets attempts only where no other host
	// is available.
	Ejected(now balancer.Time, id string) bool
	// Snapshot is what the balancer knows of its hosts; with yield it gives up its slow-start budgets.
	Snapshot(yield bool) balancer.Snapshot
	// Restore takes over what another balancer knew.
	Restore(now balancer.Time, m balancer.Snapshot)
}

// Peers carries the decision module's messages to the other proxies.
type Peers interface {
	SendToPeer(peer int, data []byte)
}

// Discovery is what the decision module uses of discovery.
type Discovery interface {
	WatchList(on bool) // be notified of changes of the endpoint list
	FetchList()        // fetch the complete list
}

// Downstream is a client's connection. Accept, Reject and Fail are answers: a request gets one.
type Downstream interface {
	Accept(acceptance Message)
	Reject(after time.Duration) // a local reply: a retry is harmless
	Fail()                      // a local reply that promises nothing
	Relay(m Message) bool       // false: not now, DownstreamReady follows
	RelayPending()              // offer again what the core did not take
	Migrate()                   // end it; its client opens it again
	MigrationLine() []byte      // what Migrate writes
	End(cause netio.Cause)      // end it as the other side ended
}

// Upstream is the connection of one upstream request. After End it notifies nothing more.
type Upstream interface {
	Relay(m Message) bool // false: not now, UpstreamReady follows
	RelayPending()
	Stage() netio.Stage // how far it has come
	End(cause netio.Cause)
}

// UpstreamEvents is what an Upstream notifies the core of.
type UpstreamEvents interface {
	// MaySend is called right before the first line is written. False: it must not be, and the attempt has been ended.
	MaySend() bool
	UpstreamSent()               // the first line is written completely: from here on the host may act on it
	FromUpstream(m Message) bool // false: not now, Upstream.RelayPending follows
	UpstreamReady()
	UpstreamEnded(err *netio.Error)
}

// Expiring is an Upstream whose connection uses certificates.
type Expiring interface {
	Expires() time.Time // the first end of one; zero: it uses none
}

// Target is an upstream host as a Connector needs to know it.
type Target struct{ ID, Zone, Address string }

// HealthChecker polls upstream hosts for their load.
type HealthChecker interface {
	// Check polls a host and calls done on the loop, once. load is in the settings' order of fields, nil where none came.
	Check(to Target, done func(status balancer.AttemptStatus, load []float64))
	Forget(host string) // ends the checks of a host that takes nothing new
}

// Connector opens upstream requests: connect to the target within the time given, send first, and notify ev of what follows. until is
// the loop's time, in nanoseconds, at which the proxy stops waiting.
type Connector interface {
	Start(to Target, first RequestLine, until int64, connect time.Duration, ev UpstreamEvents) Upstream
}
