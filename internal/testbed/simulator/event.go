package simulator

import "croftlock/internal/balancer"

// event is a decoded message that can be delivered to one balancer.
type event interface {
	deliver(b *balancer.Balancer, now balancer.Time)
}

type (
	listReceived struct {
		change balancer.ListChange
		hosts  []balancer.ListedHost
	}
	requestArrived    struct{ request balancer.Request }
	connectionAdopted struct {
		request balancer.Request
		host    string
	}
	clientLeft       struct{ request string }
	healthCheckEnded struct {
		host   string
		status balancer.AttemptStatus
		load   []float64
	}
	timerFired          struct{ token string }
	observationReceived struct {
		request string
		attempt int
		kind    balancer.Observation
		value   float64
	}
	attemptEstablished struct {
		request string
		attempt int
		elapsed balancer.Time
	}
	attemptEnded struct {
		request string
		attempt int
		status  balancer.AttemptStatus
		elapsed balancer.Time
		closed  bool
		load    []float64
	}
	peerMessage struct {
		from int
		data []byte
	}
)

func (e listReceived) deliver(b *balancer.Balancer, now balancer.Time) {
	b.ListReceived(now, e.change, e.hosts)
}

func (e requestArrived) deliver(b *balancer.Balancer, now balancer.Time) {
	b.RequestArrived(now, e.request)
}

func (e connectionAdopted) deliver(b *balancer.Balancer, now balancer.Time) {
	b.ConnectionAdopted(now, e.request, e.host)
}

func (e clientLeft) deliver(b *balancer.Balancer, now balancer.Time) { b.ClientLeft(now, e.request) }

func (e healthCheckEnded) deliver(b *balancer.Balancer, now balancer.Time) {
	b.HealthCheckEnded(now, e.host, e.status, e.load)
}

func (e timerFired) deliver(b *balancer.Balancer, now balancer.Time) { b.TimerFired(now, e.token) }

func (e observationReceived) deliver(b *balancer.Balancer, now balancer.Time) {
	b.Observe(now, e.request, e.attempt, e.kind, e.value)
}

func (e attemptEstablished) deliver(b *balancer.Balancer, now balancer.Time) {
	b.AttemptEstablished(now, e.request, e.attempt, e.elapsed)
}

func (e attemptEnded) deliver(b *balancer.Balancer, now balancer.Time) {
	b.AttemptEnded(now, balancer.AttemptResult{RequestID: e.request, Attempt: e.attempt, Status: e.status, Elapsed: e.elapsed, Closed: e.closed, Load: e.load})
}

func (e peerMessage) deliver(b *balancer.Balancer, now balancer.Time) {
	b.PeerMessageReceived(now, e.from, e.data)
}
