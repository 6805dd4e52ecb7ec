package jobs

import (
	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/ownership"
)

// permitLifetime is how long a permit may be used after the query for it was sent.
const permitLifetime = sec

// silentAfter is the time without a query after which the owner considers a proxy silent, and
// without a reply after which a proxy considers the owner silent.
const silentAfter = 2 * permitLifetime

// MigrationPermits is the job that limits the rate of migrations: its owner grants permits to all
// proxies from one token bucket. Its checkpoint is empty, since permits expire.
type MigrationPermits struct {
	Rate      float64 // migrations per second, fleet-wide
	FleetSize int     // intended number of proxies in the fleet

	owner            Owner
	firstGrantAt     Time // no permit is granted before this time
	bucket           TokenBucket
	checkpointNumber uint64
	lastQueryAt      map[uint32]Time // time of the last query, by peer
}

// Start makes the owner wait for the lifetime of a permit before it grants any: until then proxies
// may use permits of an earlier owner, or their own share of the rate.
func (m *MigrationPermits) Start(now Time, o Owner, _, checkpointNumber uint64, _ []byte) error {
	m.owner, m.checkpointNumber = o, checkpointNumber
	m.firstGrantAt = now + permitLifetime
	m.bucket = TokenBucket{FilledAt: m.firstGrantAt}
	m.lastQueryAt = map[uint32]Time{}
	return nil
}

// Stop ends the owner's part. The checkpoint is empty.
func (m *MigrationPermits) Stop() (uint64, []byte) {
	m.owner = nil
	m.checkpointNumber++
	return m.checkpointNumber, nil
}

// QueryReceived replies with the number of permits granted. It does not reply before firstGrantAt:
// a proxy without a reply keeps to its own share of the rate.
func (m *MigrationPermits) QueryReceived(now Time, from uint32, tag uint64, body []byte) {
	r := encoding.Reader{Data: body}
	want := r.Uint()
	if m.owner == nil || r.Err() != nil || now < m.firstGrantAt {
		return
	}
	m.bucket.Fill(now, m.Rate, m.FleetSize, CountSilentMembers(now, m.FleetSize, m.lastQueryAt, silentAfter))
	m.lastQueryAt[from] = now
	var w encoding.Writer
	m.owner.Reply(from, tag, w.Uint(m.bucket.Take(want)).Data)
}

// Step does nothing: permits are granted only in replies to queries.
func (m *MigrationPermits) Step(Time) {}

// EffectAcknowledged does nothing: there are no effects.
func (m *MigrationPermits) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {
}

// CheckpointStored does nothing: the checkpoint is empty.
func (m *MigrationPermits) CheckpointStored(Time, uint64, bool) {}

// ApplyEffect does nothing: there are no effects.
func (m *MigrationPermits) ApplyEffect(Time, ownership.FencingToken, []byte) {}
