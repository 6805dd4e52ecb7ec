package quota

import (
	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

const (
	silentAfterGrantLifetimes    = 2                         // grant lifetimes after its last query from which a proxy's share is reserved for it
	forgottenAfterGrantLifetimes = 4                         // grant lifetimes after which a proxy that has left the fleet has surely ended
	maxIdleAccounts              = 4 * maxAccountsPerMessage // accounts kept before those without limits are dropped
)

// Issuer is the owner's part of one shard. Its grants are in memory alone: its successor waits until all of them have lapsed.
type Issuer struct {
	GrantLifetime Time // from the reply here, from the query at the proxy: a grant lapses there first
	FleetSize     int  // proxies of the fleet: a share is the limit divided by it
	Limits        Limits

	owner            jobs.Owner // nil: this process does not own the job
	firstGrantAt     Time       // until then grants of an earlier issuer may be valid, and nothing is granted
	checkpointNumber uint64
	lastQueryAt      map[uint32]Time // by proxy
	accounts         map[string]*issuedAccount
}

var _ jobs.Job = (*Issuer)(nil)

// issuedAccount is what is granted of one account.
type issuedAccount struct {
	permits     jobs.TokenBucket             // refills at the account's rate
	connections map[uint32][]connectionGrant // by proxy, the oldest first
}

// connectionGrant is how many connections a proxy may have open until the grant lapses. Earlier grants count until they lapse: the reply with a
// newer, smaller one may be lost.
type connectionGrant struct {
	maxOpen  int
	lapsesAt Time
}

// maxOpenAt is the most that a proxy may have open now, by any grant that is valid. The last grant counts even after it has lapsed: connections that
// were opened by it may be open still.
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

// Start begins an issuer that grants nothing until its predecessor's grants have lapsed.
func (s *Issuer) Start(now Time, o jobs.Owner, _, checkpointNumber uint64, _ []byte) error {
	s.owner, s.checkpointNumber, s.firstGrantAt = o, checkpointNumber, now+silentAfterGrantLifetimes*s.GrantLifetime
	s.lastQueryAt, s.accounts = map[uint32]Time{}, map[string]*issuedAccount{}
	return nil
}

// Stop ends the owner's part. It leaves its successor an empty checkpoint.
func (s *Issuer) Stop() (checkpointNumber uint64, checkpoint []byte) {
	s.owner = nil
	s.checkpointNumber++
	return s.checkpointNumber, nil
}

func (s *Issuer) issuedAccountFor(now Time, name string) *issuedAccount {
	if a := s.accounts[name]; a != nil {
		return a
	}
	if len(s.accounts) >= maxIdleAccounts {
		s.forgetUnlimited()
	}
	a := &issuedAccount{permits: jobs.TokenBucket{FilledAt: max(now, s.firstGrantAt)}, connections: map[uint32][]connectionGrant{}}
	s.accounts[name] = a
	return a
}

func (s *Issuer) forgetUnlimited() {
	for name := range s.accounts {
		if s.Limits(name) == (Limit{}) {
			delete(s.accounts, name)
		}
	}
}

// availableConnections is how many more connections may be granted. A proxy that never queried has its share reserved; one that has fallen silent its last grant
// or its share, whichever is more, since it uses its share from then on.
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

// QueryReceived grants what a proxy demands, as far as the limits allow. Each account is decided by itself: a parent's limit holds since a
// connection needs a permit of every account above it, too, and counts as open there.
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

func (s *Issuer) grantDemand(now Time, from uint32, d demand) grant {
	limit, a := s.Limits(d.account), s.issuedAccountFor(now, d.account)
	g := grant{account: d.account, maxOpen: d.open}
	if now >= s.firstGrantAt {
		if limit.Rate > 0 {
			a.permits.Fill(now, limit.Rate, s.FleetSize, jobs.CountSilentMembers(now, s.FleetSize, s.lastQueryAt, silentAfterGrantLifetimes*s.GrantLifetime))
			g.permits = a.permits.Take(d.permits)
		}
		if limit.Connections > 0 {
			capacity := s.availableConnections(now, a, limit.Connections) + a.maxOpenAt(now, from) // what it was granted before is its own already
			g.maxOpen = grantedConnections(d, capacity, limit.Connections)
		}
	}
	a.connections[from] = append(a.connections[from], connectionGrant{int(g.maxOpen), now + s.GrantLifetime})
	return g
}

// grantedConnections is how many connections a proxy may have open where it may use up to capacity. Where the limit was cut below what is open, every
// proxy's grant shrinks in proportion to what it has open: nothing is closed, and no connection that ends is replaced.
func grantedConnections(d demand, capacity, limit int) uint64 {
	open := int(d.open)
	if capacity < open {
		return uint64(open * limit / max(1, limit+open-capacity))
	}
	return min(d.open+d.additional, uint64(capacity))
}

// Step forgets proxies that have left the fleet for so long that their connections are surely closed.
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

// EffectAcknowledged does nothing: the job has no effects, since grants are replies.
func (s *Issuer) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {}

// CheckpointStored does nothing: the job has no checkpoint.
func (s *Issuer) CheckpointStored(Time, uint64, bool) {}

// ApplyEffect does nothing: the job has no effects.
func (s *Issuer) ApplyEffect(Time, ownership.FencingToken, []byte) {}
