package quota

import (
	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

const (
	// A proxy without a query for this many grant lifetimes is silent, and its share is reserved. A new
	// issuer waits as long before it grants anything, and a proxy waits as long after its last grant
	// lapsed before it uses its share.
	silentAfterGrantLifetimes    = 2
	forgottenAfterGrantLifetimes = 4                         // a proxy that has left the fleet is forgotten this many grant lifetimes after its last query
	cleanupAccountCount          = 4 * maxAccountsPerMessage // once there are this many account records, those of accounts without limits are dropped
)

// Issuer grants parts of the limits of one shard's accounts to the proxies. It runs at the owner of
// the shard's job. Grants are kept in memory only: a successor waits until all of them have lapsed.
type Issuer struct {
	GrantLifetime Time // in nanoseconds; the issuer counts it from the reply and the proxy from the query, so a grant lapses at the proxy first
	FleetSize     int  // number of proxies; a proxy's share is the limit divided by it
	Limits        Limits

	owner            jobs.Owner      // nil if this process does not own the job
	firstGrantAt     Time            // nothing is granted before then, since grants of an earlier issuer may be valid
	checkpointNumber uint64          // of the last checkpoint
	lastQueryAt      map[uint32]Time // by peer ID of the proxy
	accounts         map[string]*issuedAccount
}

var _ jobs.Job = (*Issuer)(nil)

// issuedAccount holds what the issuer has granted for one account. A permit allows one new connection.
type issuedAccount struct {
	permits     jobs.TokenBucket             // refilled at the account's rate
	connections map[uint32][]connectionGrant // by peer ID of the proxy, oldest first
}

// connectionGrant is the number of connections that a proxy may have open until the grant lapses.
// An earlier grant counts until it lapses, because the reply with a newer, smaller one may be lost.
type connectionGrant struct {
	maxOpen  int
	lapsesAt Time
}

// maxOpenAt returns the most connections that a proxy may have open now under any valid grant. The
// last grant counts even after it has lapsed, because connections that were opened under it may
// still be open. It drops the other lapsed grants, and returns 0 if there are no grants.
func (a *issuedAccount) maxOpenAt(now Time, proxy uint32) int {
	all := a.connections[proxy]
	if len(all) == 0 {
		return 0
	}
	last := len(all) - 1
	maximum, valid := all[last].maxOpen, all[:0]
	for i, g := range all {
		if i == last || now < g.lapsesAt {
			valid, maximum = append(valid, g), max(maximum, g.maxOpen)
		}
	}
	a.connections[proxy] = valid
	return maximum
}

// Start starts the issuer. It grants nothing until the grants of the previous owner of the job have
// lapsed. The checkpoint is ignored, since it is always empty.
func (s *Issuer) Start(now Time, jobOwner jobs.Owner, _, checkpointNumber uint64, _ []byte) error {
	s.owner, s.checkpointNumber, s.firstGrantAt = jobOwner, checkpointNumber, now+silentAfterGrantLifetimes*s.GrantLifetime
	s.lastQueryAt, s.accounts = map[uint32]Time{}, map[string]*issuedAccount{}
	return nil
}

// Stop ends the ownership of the job and returns an empty checkpoint for the successor.
func (s *Issuer) Stop() (checkpointNumber uint64, checkpoint []byte) {
	s.owner = nil
	s.checkpointNumber++
	return s.checkpointNumber, nil
}

// issuedAccountFor returns the record of an account and creates it if there is none.
func (s *Issuer) issuedAccountFor(now Time, name string) *issuedAccount {
	if a := s.accounts[name]; a != nil {
		return a
	}
	if len(s.accounts) >= cleanupAccountCount {
		s.forgetUnlimited()
	}
	a := &issuedAccount{permits: jobs.TokenBucket{FilledAt: max(now, s.firstGrantAt)}, connections: map[uint32][]connectionGrant{}}
	s.accounts[name] = a
	return a
}

// forgetUnlimited drops the records of accounts that have no limits in the active rules version.
func (s *Issuer) forgetUnlimited() {
	for name := range s.accounts {
		if s.Limits(name) == (Limit{}) {
			delete(s.accounts, name)
		}
	}
}

// availableConnections returns how many more connections of an account can be granted; it is
// negative if more are granted than limit. A proxy's share, an equal part of limit, is reserved for
// each proxy that never sent a query. For a silent proxy (see silentAfterGrantLifetimes) the larger
// of its last grant and its share is reserved, because it may use its share without a grant.
func (s *Issuer) availableConnections(now Time, a *issuedAccount, limit int) int {
	share := limit / max(1, s.FleetSize)
	available := limit - max(0, s.FleetSize-len(s.lastQueryAt))*share
	for proxy, at := range s.lastQueryAt {
		n := a.maxOpenAt(now, proxy)
		if now-at >= silentAfterGrantLifetimes*s.GrantLifetime {
			n = max(n, share)
		}
		available -= n
	}
	return available
}

// QueryReceived grants what a proxy demands, as far as the limits allow, and replies to the query.
// Malformed queries are ignored, and so are all queries while this process does not own the job.
// Each demand is decided separately. The limit of an account (such as a) also holds for the accounts
// below it (such as a/b), because a connection of a/b needs a permit of both accounts and counts as
// open in both.
func (s *Issuer) QueryReceived(now Time, from uint32, tag uint64, body []byte) {
	demands, err := decodeDemands(body)
	if s.owner == nil || err != nil {
		return
	}
	s.lastQueryAt[from] = now
	grants := make([]grant, 0, len(demands))
	for _, d := range demands {
		grants = append(grants, s.grantDemand(now, from, d))
	}
	s.owner.Reply(from, tag, encodeGrants(grants))
}

// grantDemand decides the grant for one demand and records it. Before firstGrantAt, the grant has no
// permits, and its maxOpen is the number of open connections. Afterwards too, it has no permits if
// the account has no rate limit, and that maxOpen if the account has no connection limit.
func (s *Issuer) grantDemand(now Time, from uint32, d demand) grant {
	limit, a := s.Limits(d.account), s.issuedAccountFor(now, d.account)
	g := grant{account: d.account, maxOpen: d.open}
	if now >= s.firstGrantAt {
		if limit.Rate > 0 {
			a.permits.Fill(now, limit.Rate, s.FleetSize, jobs.CountSilentMembers(now, s.FleetSize, s.lastQueryAt, silentAfterGrantLifetimes*s.GrantLifetime))
			g.permits = a.permits.Take(d.permits)
		}
		if limit.Connections > 0 {
			capacity := s.availableConnections(now, a, limit.Connections) + a.maxOpenAt(now, from) // the proxy keeps what it was granted before
			g.maxOpen = grantedConnections(d, capacity, limit.Connections)
		}
	}
	a.connections[from] = append(a.connections[from], connectionGrant{int(g.maxOpen), now + s.GrantLifetime})
	return g
}

// grantedConnections returns how many connections a proxy may have open. capacity is the number
// available to the proxy, including those already open; limit is the account's connection limit. If
// the limit was reduced below the number of open connections, every proxy's grant shrinks in
// proportion to its open connections. No connection is closed, but one that ends is not replaced.
func grantedConnections(d demand, capacity, limit int) uint64 {
	open := int(d.open)
	if capacity < open {
		return uint64(open * limit / max(1, limit+open-capacity))
	}
	return min(d.open+d.additional, uint64(capacity))
}

// Step forgets proxies that have left the fleet and sent no query for forgottenAfterGrantLifetimes:
// their connections have closed by then. Call it periodically; it does nothing while this process
// does not own the job.
func (s *Issuer) Step(now Time) {
	if s.owner == nil {
		return
	}
	present := map[uint32]bool{}
	for _, m := range s.owner.Members() {
		present[m.Peer] = true
	}
	for proxy, at := range s.lastQueryAt {
		if !present[proxy] && now-at > forgottenAfterGrantLifetimes*s.GrantLifetime {
			delete(s.lastQueryAt, proxy)
			for _, a := range s.accounts {
				delete(a.connections, proxy)
			}
		}
	}
}

// EffectAcknowledged does nothing: the job sends replies with grants, but no effects (messages with
// the owner's token).
func (s *Issuer) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {}

// CheckpointStored does nothing: the job has no checkpoint.
func (s *Issuer) CheckpointStored(Time, uint64, bool) {}

// ApplyEffect does nothing: the job has no effects.
func (s *Issuer) ApplyEffect(Time, ownership.FencingToken, []byte) {}
