package balancer

import (
	"croftlock/internal/balancer/decay"
	"croftlock/internal/balancer/ledger"
)

const (
	// ledgerReplyTimeout is how long a request waits for the ledger server's reply, in nanoseconds.
	// A request that has less than minReplyTimeoutsLeft times as long until its deadline does not
	// query, so that a wait without a reply costs it little of its time.
	ledgerReplyTimeout   = 150e6
	minReplyTimeoutsLeft = 8
)

// placementLedger is this balancer's state as a client of the placement ledger and, if it is one,
// as a ledger server. No balancer alone observes how full hosts are or how large a group is. If
// balancers may send each other messages, they query the ledger server, which counts the
// connections of all of them, for a host. Without its reply, each places requests by what it
// observes itself.
type placementLedger struct {
	client        *ledger.Client
	placements    *ledger.Placements // used if this balancer is a ledger server
	freshRequests decay.Counter      // of all balancers; used if this one is a ledger server
	announced     bool               // whether epoch is set, and announced if this one is a ledger server
	epoch         byte               // of this process
	syncDue       Time               // when to send the ledger server all connections of this balancer
}

// ledgerQuery is the state of a request's query to the ledger server.
type ledgerQuery struct {
	sent          bool
	awaitingReply bool
	replied       bool
	assigned      *host // host in the reply, until the connection is established; nil if none
	units         int   // load in ledger units; 0 until it is computed
}

// newPlacementLedger returns the state of a balancer that has exchanged no messages yet.
func newPlacementLedger(cfg *Config) placementLedger {
	return placementLedger{client: ledger.NewClient(cfg.Instances), placements: ledger.NewPlacements()}
}

// ledgerUsable reports whether there are other balancers and messages to them are allowed.
func (b *Balancer) ledgerUsable() bool { return b.cfg.MayGossip && b.cfg.Instances > 1 }

// ledgerUnits returns a connection's load in ledger units. It computes the load once, so that the
// same number is added to the ledger and subtracted later.
func (b *Balancer) ledgerUnits(r *request) int {
	if r.ledger.units == 0 {
		units := int(b.costs.turns(r.cost)*ledger.UnitsPerConnection + 0.5)
		r.ledger.units = max(1, min(ledger.MaxUnits, units))
	}
	return r.ledger.units
}

// queryLedger queries the ledger server for a host, once for the first attempt of a request that
// belongs to a group and is not marked by load shedding. It reports whether the request waits for
// the reply. If this balancer is the ledger server, it assigns the host at once.
func (b *Balancer) queryLedger(r *request) (waits bool) {
	server := b.ledger.client.Server(b.now)
	if r.ledger.sent || r.attempts > 0 || r.shedUnlessWarmingHost || r.Group == "" ||
		!b.ledgerUsable() || server < 0 {
		return false
	}
	r.ledger.sent = true
	q := ledger.Query{Zone: b.ownZone, Retry: r.isRetry(), Units: b.ledgerUnits(r),
		Group: ledger.GroupID(stableHash(r.Group))}
	if server == b.cfg.Instance {
		r.ledger.assigned, r.ledger.replied = b.assignHost(server, q), true
		return false
	}
	if r.deadline-b.now < minReplyTimeoutsLeft*ledgerReplyTimeout {
		return false
	}
	q.Seq = b.ledger.client.Register(
		ledger.PendingQuery{Request: r.ID, Group: q.Group, Units: q.Units, SentAt: b.now})
	b.effects.SendToPeer(server, q.Append(nil))
	r.ledger.awaitingReply, r.wait.notBefore = true, b.now+ledgerReplyTimeout
	b.enqueue(r)
	return true
}

// assignedHost returns the host that the ledger server assigned to the first attempt of a request,
// or nil if there is none or it is not ready or not available.
func (b *Balancer) assignedHost(r *request) *host {
	h := r.ledger.assigned
	if h == nil || r.attempts > 0 || h.state != Ready || !b.available(h, r) {
		return nil
	}
	return h
}

// ledgerReplyReceived places the request to which a reply belongs, at the host in the reply if that
// is usable. If the request no longer waits, it tells the ledger server that the assignment is not
// used.
func (b *Balancer) ledgerReplyReceived(from int, m ledger.Reply) {
	query := b.ledger.client.RemovePending(m.Seq)
	if query == nil {
		return
	}
	r := b.requests[query.Request]
	if r == nil || r.closed || !r.ledger.awaitingReply || query.Abandoned {
		if m.Host != 0 {
			undo := ledger.Entry{Host: m.Host, Group: query.Group, Units: -query.Units}
			b.effects.SendToPeer(from, undo.Append(nil))
		}
		return
	}
	r.ledger.assigned, r.ledger.replied, r.ledger.awaitingReply = b.hostByHash(m.Host), true, false
	r.wait.queued, r.wait.notBefore = false, 0
	b.place(r)
}

// ledgerQueryTimedOut ends a request's wait for the reply. The caller places the request without
// one.
func (b *Balancer) ledgerQueryTimedOut(r *request) {
	r.ledger.awaitingReply, r.wait.notBefore = false, 0
	b.ledger.client.QueryTimedOut(b.now, r.ID)
	if b.ledger.client.Server(b.now) < 0 {
		b.effects.Report(LedgerUnreachable{})
	}
}

// reconcileLedger corrects the ledger server's count if a request's connection is not at the
// assigned host. h is the host of the connection, or nil if there is none.
func (b *Balancer) reconcileLedger(r *request, h *host) {
	assigned := r.ledger.assigned
	r.ledger.assigned = nil
	if assigned == h {
		return
	}
	if h != nil {
		b.reportPlacement(h, r, 1)
	}
	if assigned != nil {
		b.reportPlacement(assigned, r, -1)
	}
}
