package proxy

import (
	"time"

	"croftlock/internal/dataplane/netio"
)

// Pacer grants permits to migrate clients, so that all proxies together keep to one rate.
type Pacer interface {
	// RequestMigrations requests want permits, one for each client to migrate, and calls done on the
	// event loop with n, the number of permits granted now, which may be 0.
	RequestMigrations(want int, done func(n int))
}

const (
	// pacerInterval is the pause before permits are requested again for clients that still wait.
	pacerInterval = 100 * time.Millisecond
	// pacerReplyTimeout is the time after which a request for permits counts as lost. The agent that was
	// asked may have stopped, since another process of this proxy has taken over.
	pacerReplyTimeout = time.Second
	// maxPendingMigrations limits the clients that wait for a permit. Further ones migrate at once,
	// as without a pacer. A proxy's file descriptors limit the number of its clients in any case.
	maxPendingMigrations = 4096
)

// migrationPacer migrates the clients of suspended hosts, and of connections whose certificate is
// about to expire, at the rate that applies to all proxies together.
type migrationPacer struct {
	loop      *netio.Loop
	pacer     Pacer         // nil if migrations need no permits
	unpaced   bool          // migrations need no permits any more, since the process is shutting down
	pending   []func() bool // the migrations that wait for a permit
	requested bool          // a request for permits has no reply yet
	requests  int           // number of requests for permits so far
}

// submit calls migrate once a permit is granted, or at once if none is needed. migrate reports
// whether there still was a connection to migrate; if not, the permit goes to the next client.
func (p *migrationPacer) submit(migrate func() bool) {
	if p.pacer == nil || p.unpaced || len(p.pending) >= maxPendingMigrations {
		migrate()
		return
	}
	p.pending = append(p.pending, migrate)
	p.requestPermits()
}

// requestPermits requests a permit for each pending migration, unless a request is in progress.
func (p *migrationPacer) requestPermits() {
	if p.requested || len(p.pending) == 0 {
		return
	}
	p.requested = true
	p.requests++
	request := p.requests
	reply := func(n int) {
		if p.requested && p.requests == request {
			p.permitsGranted(n)
		}
	}
	timeout := p.loop.After(pacerReplyTimeout, func() { reply(0) })
	p.pacer.RequestMigrations(len(p.pending), func(n int) {
		timeout.Stop()
		reply(n)
	})
}

// permitsGranted migrates n clients, and requests permits again after pacerInterval for those that
// still wait.
func (p *migrationPacer) permitsGranted(n int) {
	p.requested = false
	for n > 0 && len(p.pending) > 0 {
		migrate := p.pending[0]
		p.pending = p.pending[1:]
		if migrate() {
			n--
		}
	}
	if len(p.pending) > 0 {
		p.loop.After(pacerInterval, p.requestPermits)
	}
}

// SetPacer sets the Pacer for clients of suspended hosts and of connections whose certificate is
// about to expire. Clients that migrate because the process is shutting down, or because their host
// does not answer, never wait for a permit.
func (c *Core) SetPacer(p Pacer) { c.migrations.pacer = p }
