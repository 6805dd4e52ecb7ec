package quota

import (
	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

const (
	silentAfterLifetimes    = 2 // a proxy that has not asked for so many grant lifetimes uses its own share
	forgottenAfterLifetimes = 4 // one that has left the fleet has ended by then
	maxIdleAccounts         = 4 * maxAccountsPerMessage
)

// Issuer is the owner's part of one shard. What it has granted is in memory alone: its successor waits until all of that has lapsed.
type Issuer struct {
	GrantLifetime Time // how long a grant holds
	FleetSize     int  // proxies of the fleet: one that is not heard of keeps to one part of so many
	Limits        Limits

	owner         jobs.Owner // nil: this process does not own the job
	grantsFrom    Time       // until then grants of an earlier issuer may hold
	sequence      uint64
	lastRequestAt map[uint32]Time // by peer
	accounts      map[string]*issuedAccount
}

var _ jobs.Job = (*Issuer)(nil)

// issuedAccount is what is granted of one account.
type issuedAccount struct {
	permits jobs.Bucket
	places  map[uint32][]placeGrant // by peer
}

// placeGrant is how many connections a proxy may have open until the grant lapses: a grant that is lost does not revoke the one before.
type placeGrant struct {
	maxOpen int
	until   Time
}

// maxOpenAt is the most that a proxy may have open now; the last grant counts for as long as nothing newer is known.
func (a *issuedAccount) maxOpenAt(now Time, peer uint32) int {
	all := a.places[peer]
	if len(all) == 0 {
		return 0
	}
	last := len(all) - 1
	most, valid := all[last].maxOpen, all[:0]
	for i, g := range all {
		if i == last || now < g.until {
			valid, most = append(valid, g), max(most, g.maxOpen)
		}
	}
	a.places[peer] = valid
	return most
}

// Start begins with nothing to grant.
func (s *Issuer) Start(now Time, o jobs.Owner, _, sequence uint64, _ []byte) error {
	s.owner, s.sequence, s.grantsFrom = o, sequence, now+silentAfterLifetimes*s.GrantLifetime
	s.lastRequestAt, s.accounts = map[uint32]Time{}, map[string]*issuedAccount{}
	return nil
}

// Stop ends the owner's part. It leaves nothing to its successor.
func (s *Issuer) Stop() (sequence uint64, left []byte) {
	s.owner = nil
	s.sequence++
	return s.sequence, nil
}

func (s *Issuer) account(now Time, name string) *issuedAccount {
	if a := s.accounts[name]; a != nil {
		return a
	}
	if len(s.accounts) >= maxIdleAccounts {
		s.forgetUnlimited()
	}
	a := &issuedAccount{permits: jobs.Bucket{FilledAt: max(now, s.grantsFrom)}, places: map[uint32][]placeGrant{}}
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

// unassigned is how many more connections may be open: a proxy that is not heard of holds what it was granted last, or its share, whichever is more.
func (s *Issuer) unassigned(now Time, a *issuedAccount, limit int) int {
	share := limit / max(1, s.FleetSize)
	left := limit - max(0, s.FleetSize-len(s.lastRequestAt))*share
	for peer, at := range s.lastRequestAt {
		n := a.maxOpenAt(now, peer)
		if now-at >= silentAfterLifetimes*s.GrantLifetime {
			n = max(n, share)
		}
		left -= n
	}
	return left
}

// QueryReceived grants what a proxy demands, as far as the limits allow. Each account is decided by itself: a proxy needs a permit and a place of every one
// above, too.
func (s *Issuer) QueryReceived(now Time, from uint32, tag uint64, body []byte) {
	demands, err := decodeDemands(body)
	if s.owner == nil || err != nil {
		return
	}
	s.lastRequestAt[from] = now
	grants := make([]grant, 0, len(demands))
	for _, d := range demands {
		grants = append(grants, s.grant(now, from, d))
	}
	s.owner.Reply(from, tag, encodeGrants(grants))
}

func (s *Issuer) grant(now Time, from uint32, d demand) grant {
	limit, a := s.Limits(d.account), s.account(now, d.account)
	g := grant{account: d.account, maxOpen: d.open}
	if now >= s.grantsFrom {
		if limit.Rate > 0 {
			a.permits.Fill(now, limit.Rate, s.FleetSize, jobs.SilentMembers(now, s.FleetSize, s.lastRequestAt, silentAfterLifetimes*s.GrantLifetime))
			g.permits = a.permits.Take(d.permits)
		}
		if limit.Connections > 0 {
			capacity := s.unassigned(now, a, limit.Connections) + a.maxOpenAt(now, from) // its earlier grant is its own already
			g.maxOpen = grantedPlaces(d, capacity, limit.Connections)
		}
	}
	a.places[from] = append(a.places[from], placeGrant{int(g.maxOpen), now + s.GrantLifetime})
	return g
}

// grantedPlaces is how many connections a proxy may have open where it may take up capacity. Where the limit was cut below what is open, each proxy
// comes down in step, by taking nothing in place of what ends.
func grantedPlaces(d demand, capacity, limit int) uint64 {
	open := int(d.open)
	if capacity < open {
		return uint64(open * limit / max(1, limit+open-capacity))
	}
	return min(d.open+d.places, uint64(capacity))
}

// Step forgets proxies that have left the fleet for good: their connections are closed.
func (s *Issuer) Step(now Time) {
	if s.owner == nil {
		return
	}
	present := map[uint32]bool{}
	for _, m := range s.owner.Members() {
		present[m.Peer] = true
	}
	for peer, at := range s.lastRequestAt {
		if !present[peer] && now-at > forgottenAfterLifetimes*s.GrantLifetime {
			delete(s.lastRequestAt, peer)
			for _, a := range s.accounts {
				delete(a.places, peer)
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
