package balancer

import (
	"croftlock/internal/balancer/decay"
	"croftlock/internal/balancer/ledger"
)

const (
	// ledgerReplyTimeout is how long a request waits for the ledger server, in nanoseconds. A request with
	// less than minTimeouts of it left does not query: a wait in vain must cost it little.
	ledgerReplyTimeout   = 150e6
	minReplyTimeoutsLeft = 8
)

// placementLedger is this balancer's side of the ledger, as client and as ledger server. No balancer sees
// alone how full hosts are, nor how large a group is. Where balancers may send messages, they query the one
// that counts for all for a host; without its reply each places by what it sees itself.
type placementLedger struct {
	client        *ledger.Client
	placements    *ledger.Placements // where this balancer is a ledger server
	freshRequests decay.Counter      // of all balancers, where this one is a ledger server
	announced     bool               // this process has an epoch, and was announced if it is a ledger server
	epoch         byte               // of this process
	syncDue       Time               // when the ledger server is sent all connections of this balancer
}

// ledgerQuery is a request's query to the ledger server.
type ledgerQuery struct {
	sent          bool
	awaitingReply bool // the reply
	replied       bool
	assigned      *host // by the reply, until the connection is established; nil: none
	units         int   // load in messages; 0: not computed yet
}

func newPlacementLedger(cfg *Config) placementLedger {
	return placementLedger{client: ledger.NewClient(cfg.Instances), placements: ledger.NewPlacements()}
}

// ledgerUsable reports whether other balancers can be reached.
func (b *Balancer) ledgerUsable() bool { return b.cfg.MayGossip && b.cfg.Instances > 1 }

// ledgerUnits is a connection's load in messages, the same when it is added and when it is taken back.
func (b *Balancer) ledgerUnits(r *request) int {
	if r.ledger.units == 0 {
		units := int(b.costs.turns(r.cost)*ledger.UnitsPerConnection + 0.5)
		r.ledger.units = max(1, min(ledger.MaxUnits, units))
	}
	return r.ledger.units
}

// queryLedger queries the ledger server for a host, once for the first attempt of a request of a group, and
// reports whether the request waits for the reply. A balancer that is the ledger server itself waits for
// none.
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

// assignedHost is the host that the ledger server named for the first attempt, if it may be used.
func (b *Balancer) assignedHost(r *request) *host {
	h := r.ledger.assigned
	if h == nil || r.attempts > 0 || h.state != Ready || !b.available(h, r) {
		return nil
	}
	return h
}

// ledgerReplyReceived goes on with the request that the reply is for. What is assigned and not used is given
// back.
func (b *Balancer) ledgerReplyReceived(from int, m ledger.Reply) {
	query := b.ledger.client.RemovePending(m.Seq)
	if query == nil {
		return
	}
	r := b.requests[query.Request]
	if r == nil || r.closed || !r.ledger.awaitingReply || query.Abandoned {
		if m.Host != 0 {
			back := ledger.Entry{Host: m.Host, Group: query.Group, Units: -query.Units}
			b.effects.SendToPeer(from, back.Append(nil))
		}
		return
	}
	r.ledger.assigned, r.ledger.replied, r.ledger.awaitingReply = b.hostByHash(m.Host), true, false
	r.wait.queued, r.wait.notBefore = false, 0
	b.place(r)
}

// ledgerQueryTimedOut ends a request's wait for the reply; the caller places it without one.
func (b *Balancer) ledgerQueryTimedOut(r *request) {
	r.ledger.awaitingReply, r.wait.notBefore = false, 0
	b.ledger.client.QueryTimedOut(b.now, r.ID)
	if b.ledger.client.Server(b.now) < 0 {
		b.effects.Report(LedgerUnreachable{})
	}
}

// reconcileLedger corrects the ledger server's count where a request's connection is not at the host that was
// assigned; h is nil where there is no connection.
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
