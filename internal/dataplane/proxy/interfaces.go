package proxy

import (
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
)

// Balancer is the part of the decision module, the code that chooses hosts for requests, that the
// core calls. The core calls a Balancer from one goroutine, and never while it handles another
// call. Times are in nanoseconds. A Balancer knows the hosts of one pool, and requests actions by
// balancer.Effects.
type Balancer interface {
	// RequestArrived places a request: the balancer starts an attempt, or queues or rejects the
	// request.
	RequestArrived(now balancer.Time, q balancer.Request)
	// ConnectionAdopted reports an open connection at host that the balancer has not placed.
	ConnectionAdopted(now balancer.Time, q balancer.Request, host string)
	// AttemptEstablished reports that the host has accepted the request with this ID, elapsed after
	// the attempt began. attempt counts the request's attempts in its present pool, from 0.
	AttemptEstablished(now balancer.Time, id string, attempt int, elapsed balancer.Time)
	// AttemptEnded reports the end of an attempt or of its open connection.
	AttemptEnded(now balancer.Time, result balancer.AttemptResult)
	// ClientLeft reports that nobody waits for the request any more.
	ClientLeft(now balancer.Time, id string)
	// HealthCheckEnded reports the result of a health check that the balancer requested of host id.
	// load is as in HealthChecker.Check.
	HealthCheckEnded(now balancer.Time, id string, status balancer.AttemptStatus, load []float64)
	// Observe reports the load (µs/s) of an open connection, or the latency (ms) of messages on it.
	Observe(now balancer.Time, id string, attempt int, kind balancer.Observation, value float64)
	// ListReceived reports the endpoint list, a change of it, or the failure to get one.
	ListReceived(now balancer.Time, kind balancer.ListChange, entries []balancer.ListedHost)
	// PeerMessageReceived reports a message from another proxy, whose number is from.
	PeerMessageReceived(now balancer.Time, from int, data []byte)
	// TimerFired reports that the delay has passed that the balancer requested by Schedule with this
	// token.
	TimerFired(now balancer.Time, token string)
	// Ejected reports whether host is ejected because connections to it could not be set up. Until
	// its next trial is due, an ejected host gets attempts only if no other host is available.
	Ejected(now balancer.Time, host string) bool
	// Snapshot returns what the balancer knows of its hosts. If yield is true, the balancer gives
	// up its slow-start budgets, which are how much it may still place on hosts that are warming
	// up, to the process that restores the snapshot.
	Snapshot(yield bool) balancer.Snapshot
	// Restore takes over the state in another balancer's snapshot.
	Restore(now balancer.Time, snapshot balancer.Snapshot)
}

// Peers sends the decision module's messages to the other proxies. Messages may be lost.
type Peers interface {
	SendToPeer(peer int, data []byte)
}

// Discovery is the part of the discovery service that the decision module uses.
type Discovery interface {
	WatchList(on bool) // begins or ends watching the endpoint list
	FetchList()        // fetches the complete endpoint list
}

// Downstream is a client's connection. Accept, Reject and Fail are answers; each request gets
// exactly one.
type Downstream interface {
	Accept(acceptance Message)  // relays the host's acceptance
	Reject(after time.Duration) // replies that a retry is harmless; after is the Retry-After, 0 for none
	Fail()                      // replies that the request has failed
	Relay(m Message) bool       // sends m, and reports whether it accepted m; if not, Request.DownstreamReady follows
	RelayPending()              // offers the core again the messages that the core did not accept
	Migrate()                   // ends the connection with the line after which the client opens it again
	MigrationLine() []byte      // returns the line that Migrate sends
	End(cause netio.Cause)      // ends the connection with the cause with which the host's side ended
}

// Upstream is the connection of one upstream request. After End it calls no method of its
// UpstreamEvents.
type Upstream interface {
	Relay(m Message) bool  // sends m, and reports whether it accepted m; if not, UpstreamReady follows
	RelayPending()         // offers the core again the messages that the core did not accept
	Stage() netio.Stage    // returns the stage that the upstream request has reached
	End(cause netio.Cause) // closes the connection, with a reset if cause is netio.Broken, or cancels its dial
}

// UpstreamEvents receives the events of an Upstream.
type UpstreamEvents interface {
	// MaySend is called right before the first line is written, and reports whether it may be
	// written. If not, the attempt has ended.
	MaySend() bool
	// UpstreamSent is called once the first line is written completely; the host may act on it now.
	UpstreamSent()
	// FromUpstream is called with each message of the host, and reports whether the core accepted
	// it. If not, the Upstream keeps it until its RelayPending is called.
	FromUpstream(m Message) bool
	// UpstreamReady is called when the Upstream accepts messages again.
	UpstreamReady()
	// UpstreamEnded is called once, when the connection has ended or was not established.
	UpstreamEnded(err *netio.Error)
}

// Expiring is implemented by an Upstream whose connection may use certificates.
type Expiring interface {
	Expires() time.Time // returns when the first of them expires, or the zero Time if there are none
}

// Target identifies an upstream host to a Connector or HealthChecker. Address is the "host:port" to
// connect to.
type Target struct{ ID, Zone, Address string }

// HealthChecker polls upstream hosts for their load.
type HealthChecker interface {
	// Check polls a host and calls done once, on the event loop. load is in the settings' order of
	// fields, and nil if the host reported none.
	Check(to Target, done func(status balancer.AttemptStatus, load []float64))
	// Forget ends the checks of a host that accepts no new requests.
	Forget(host string)
}

// Connector opens upstream requests.
type Connector interface {
	// Start starts an upstream request to a host. The attempt to connect fails after
	// connectTimeout. Once connected, the Upstream sends first, the request line. The Upstream
	// reports its progress, the host's messages and its end by calling the methods of events.
	// deadline is the Unix time in nanoseconds, on the loop's clock, at which the proxy stops
	// waiting for the host's answer.
	Start(to Target, first RequestLine, deadline int64, connectTimeout time.Duration, events UpstreamEvents) Upstream
}
