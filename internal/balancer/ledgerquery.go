package balancer

import (
	"croftlock/internal/balancer/decay"
	"croftlock/internal/balancer/ledger"
)

const (
	// ledgerReplyTimeout is how long a request waits for the ledger server's reply, in nanoseconds.
	ledgerReplyTimeout = 150e6
	// minReplyTimeoutsLeft is the shortest time until a request's deadline at which the ledger server
	// is queried, as a multiple of ledgerReplyTimeout. A wait without a reply then costs the request
	// at most 1/8 of its time.
	minReplyTimeoutsLeft = 8
)

// placementLedger is this balancer's state as a client of the placement ledger, and as a ledger
// server if this balancer is one. The placement ledger is the count of the connections of all
// balancers by host and group (connections that Request.Group names and that cost less together).
// One balancer, the ledger server, keeps the count and assigns hosts to the requests of the others,
// because no balancer alone observes how full hosts are or how large a group is. A balancer that
// gets no reply, or may not send messages, places requests by what it observes itself.
type placementLedger struct {
	client *ledger.Client

	// Used only if this balancer is a ledger server.
	placements    *ledger.Placements
	followers     *ledger.Followers
	freshRequests decay.Counter // requests of all balancers that are no retries, over freshRequestWindow

	announced bool // whether epoch is set; a ledger server has then also sent its Announcement
	epoch     byte // distinguishes this process from earlier ones, by its start time in epochUnit
	syncDue   Time // when to send the ledger server entries for all connections; 0 means at once
	followDue Time // when to send it the next Follow message
}

// ledgerQuery is the state of a request's query to the ledger server.
type ledgerQuery struct {
	sent          bool // the query was made; if no message was sent, it is not made again either
	awaitingReply bool
	// budgetsCounted is set if the ledger server has considered the budgets of warming hosts (those in
	// slow start) for the request. Otherwise this balancer keeps to its own part of each budget.
	budgetsCounted bool
	// assigned is the host that the ledger server chose. It is nil if there is none, and again once
	// the connection is established or the request is closed (reconcileLedger).
	assigned *host
	// withinBudget is set if the ledger server takes assigned for a warming host and has counted the
	// request in its budget.
	withinBudget bool
	units        int // load in ledger units, 1/8 of a mean connection each; 0 until it is computed
}

// newPlacementLedger returns the state of a balancer that has exchanged no messages yet.
func newPlacementLedger(cfg *Config) placementLedger {
	return placementLedger{client: ledger.NewClient(cfg.Instances), placements: ledger.NewPlacements(),
		followers: ledger.NewFollowers()}
}

// ledgerUsable reports whether there are other balancers and messages to them are allowed. MayGossip
// allows all messages between balancers.
func (b *Balancer) ledgerUsable() bool { return b.cfg.MayGossip && b.cfg.Instances > 1 }

// ledgerUnits returns a connection's load in ledger units, of which a mean connection has
// ledger.UnitsPerConnection. It computes the load once, so that the same number is added to the
// ledger and subtracted later.
func (b *Balancer) ledgerUnits(r *request) int {
	if r.ledger.units == 0 {
		units := int(b.costs.turns(r.cost)*ledger.UnitsPerConnection + 0.5)
		r.ledger.units = max(1, min(ledger.MaxUnits, units))
	}
	return r.ledger.units
}

// queryLedger queries the ledger server for a host. It does so at most once per request, before the
// first attempt, if the request belongs to a group and load shedding has not restricted it to
// warming hosts (shedUnlessWarmingHost). If this balancer is the ledger server, queryLedger assigns
// the host at once. It reports whether it has queued the request to wait for the reply.
func (b *Balancer) queryLedger(r *request) (waits bool) {
	server := b.ledger.client.Server(b.now)
	if r.ledger.sent || r.attempts > 0 || r.shedUnlessWarmingHost || r.Group == "" ||
		!b.ledgerUsable() || server < 0 { // server is -1 while queries are paused
		return false
	}
	r.ledger.sent = true
	q := ledger.Query{Zone: b.ownZone, Retry: r.isRetry(), Units: b.ledgerUnits(r),
		Group: ledger.GroupID(stableHash(r.Group))}
	if server == b.cfg.Instance {
		b.applyAssignment(r, server, b.assignHost(server, q))
		return false
	}
	if r.deadline-b.now < minReplyTimeoutsLeft*ledgerReplyTimeout {
		return false
	}
	q.Seq = b.ledger.client.Register(
		ledger.PendingQuery{Request: r.ID, Group: q.Group, Units: q.Units, SentAt: b.now})
	b.effects.SendToPeer(server, q.Append(nil))
	// drainQueue places the request without a reply once notBefore has passed.
	r.ledger.awaitingReply, r.wait.notBefore = true, b.now+ledgerReplyTimeout
	b.enqueue(r)
	return true
}

// assignedHost returns the host that the ledger server assigned to the first attempt of a request,
// or nil if there is none or it is not ready or not available, or would not discard a repeat. It returns
// nil for a warming host that the ledger server does not know to be one: an old list there does not spend
// the host's budget.
func (b *Balancer) assignedHost(r *request) *host {
	h := r.ledger.assigned
	if h == nil || r.attempts > 0 || !b.agreesWithAssignment(r) {
		return nil
	}
	if !b.available(h, r) || b.outsideDedupScope(h, r) {
		return nil
	}
	return h
}

// agreesWithAssignment reports whether this balancer's endpoint list has the host that the ledger
// server assigned as ready, and as warming only if the ledger server does so too.
func (b *Balancer) agreesWithAssignment(r *request) bool {
	h := r.ledger.assigned
	return h.state == Ready && (r.ledger.withinBudget || b.fullCapacityShare(h) >= 1)
}

// assignment is a ledger server's decision about a request.
type assignment struct {
	host *host // nil if no host is assigned, or the host is unknown here
	// withinBudget is set if the budgets of warming hosts are counted: host is one of them, or there is
	// no host and they are spent.
	withinBudget bool
}

// applyAssignment stores a ledger server's decision about a request. If it does not agree with this
// balancer's endpoint list, the request is placed as without a reply, by this balancer's own part of
// the budgets of warming hosts.
func (b *Balancer) applyAssignment(r *request, server int, a assignment) {
	r.ledger.assigned, r.ledger.withinBudget = a.host, a.withinBudget
	switch {
	case a.host == nil:
		r.ledger.budgetsCounted = a.withinBudget
	case b.agreesWithAssignment(r):
		r.ledger.budgetsCounted = true
	default:
		r.ledger.budgetsCounted = false
		b.effects.Report(AssignmentOutdated{Host: a.host.hostID, LedgerServer: server})
	}
}

// decodeAssignment returns the decision that a reply of the ledger server holds.
func (b *Balancer) decodeAssignment(assigned ledger.AssignedHost) assignment {
	if assigned == ledger.NoHostWithinBudget {
		return assignment{withinBudget: true}
	}
	if h := b.hostByHash(assigned); h != nil {
		return assignment{host: h}
	}
	h := b.hostByHash(ledger.WithinBudget(assigned))
	return assignment{host: h, withinBudget: h != nil}
}

// encode returns the decision in the form of a reply.
func (a assignment) encode() ledger.AssignedHost {
	switch {
	case a.host == nil && a.withinBudget:
		return ledger.NoHostWithinBudget
	case a.host == nil:
		return 0
	case a.withinBudget:
		return ledger.WithinBudget(uint32(a.host.hash))
	}
	return uint32(a.host.hash)
}

// ledgerReplyReceived handles a reply of ledger server from. It places the request to which the
// reply belongs, at the host in the reply if that host is usable. If the request no longer waits,
// ledgerReplyReceived notifies the ledger server that the assignment is not used.
func (b *Balancer) ledgerReplyReceived(from int, m ledger.Reply) {
	query := b.ledger.client.RemovePending(m.Seq)
	if query == nil {
		return
	}
	r := b.requests[query.Request]
	if r == nil || r.closed || !r.ledger.awaitingReply || query.Abandoned {
		b.undoAssignment(from, m, query)
		return
	}
	r.ledger.awaitingReply = false
	b.applyAssignment(r, from, b.decodeAssignment(m.Host))
	r.wait.queued, r.wait.notBefore = false, 0
	b.place(r)
}

// undoAssignment notifies a ledger server that the host in its reply to a query is not used.
func (b *Balancer) undoAssignment(server int, m ledger.Reply, query *ledger.PendingQuery) {
	if m.Host == 0 || m.Host == ledger.NoHostWithinBudget {
		return
	}
	undo := ledger.Entry{Host: m.Host, Group: query.Group, Units: -query.Units}
	if a := b.decodeAssignment(m.Host); a.host != nil {
		undo.Host = uint32(a.host.hash)
	}
	b.effects.SendToPeer(server, undo.Append(nil))
}

// ledgerQueryTimedOut ends a request's wait for the reply of the ledger server. The caller then
// places the request without a reply.
func (b *Balancer) ledgerQueryTimedOut(r *request) {
	r.ledger.awaitingReply, r.wait.notBefore = false, 0
	b.ledger.client.QueryTimedOut(b.now, r.ID)
	if b.ledger.client.Server(b.now) < 0 { // all ledger servers were tried, and queries are paused
		b.effects.Report(LedgerUnreachable{})
	}
}

// reconcileLedger corrects the ledger server's count if a request's connection is not at the host
// that the ledger server assigned and counted. h is the host of the connection, or nil if there is
// no connection. The assignment is cleared.
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
