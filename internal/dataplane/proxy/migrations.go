package proxy

import (
	"time"

	"croftlock/internal/dataplane/netio"
)

// Pacer gives permits to migrate clients, where a fleet has one pace. then is called on the loop, with how many there are now.
type Pacer interface {
	RequestMigrations(want int, then func(n int))
}

const (
	// pacerInterval is the pause before permits are requested again for clients that still wait.
	pacerInterval = 100 * time.Millisecond
	// maxPendingMigrations bounds the clients that wait for a permit; beyond it they migrate at once, as without a pace. A proxy's
	// descriptors bound their number in any case.
	maxPendingMigrations = 4096
)

// migrationPacer migrates clients at the fleet's pace: those of suspended hosts and of connections whose certificate ends.
type migrationPacer struct {
	loop      *netio.Loop
	pacer     Pacer         // nil: no pace
	unpaced   bool          // the process shuts down: nobody waits
	pending   []func() bool // waiting for a permit
	requested bool          // permits are requested, and not answered yet
}

// submit migrates a client in its turn. migrate gives false where there is no connection any more; its permit then goes to the next one.
func (p *migrationPacer) submit(migrate func() bool) {
	if p.pacer == nil || p.unpaced || len(p.pending) >= maxPendingMigrations {
		migrate()
		return
	}
	p.pending = append(p.pending, migrate)
	p.requestPermits()
}

func (p *migrationPacer) requestPermits() {
	if p.requested || len(p.pending) == 0 {
		return
	}
	p.requested = true
	p.pacer.RequestMigrations(len(p.pending), p.permitsGranted)
}

// permitsGranted migrates n clients, and requests permits again for those that still wait.
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

// SetPacer has clients migrate at the fleet's pace that leave suspended hosts or connections whose certificate ends. Those that migrate
// because the process shuts down, or because their host does not answer, never wait.
func (c *Core) SetPacer(p Pacer) { c.migrations.pacer = p }
