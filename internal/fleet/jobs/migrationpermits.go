package jobs

import (
	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/ownership"
)

// permitLifetime is how long a permit may be used, from the query for it.
const permitLifetime = sec

// silentAfter is the time after which a proxy that has sent no query, or an owner that has not replied, counts as silent.
const silentAfter = 2 * permitLifetime

// MigrationPermits is the owner's part in the rate of migrations: it grants permits from one token bucket. Its checkpoint is empty, since permits
// expire.
type MigrationPermits struct {
	Rate      float64 // migrations a second, fleet-wide
	FleetSize int     // proxies that the fleet is meant to have

	owner            Owner
	firstGrantAt     Time // no permit is granted before
	bucket           TokenBucket
	checkpointNumber uint64
	lastQueryAt      map[uint32]Time // by peer
}

// Start waits for a permit's lifetime: until then an earlier owner's permits, and each proxy's own share, may be in use.
func (m *MigrationPermits) Start(now Time, o Owner, _, checkpointNumber uint64, _ []byte) error {
	m.owner, m.checkpointNumber = o, checkpointNumber
	m.firstGrantAt = now + permitLifetime
	m.bucket = TokenBucket{FilledAt: m.firstGrantAt}
	m.lastQueryAt = map[uint32]Time{}
	return nil
}

// Stop ends the owner's part.
func (m *MigrationPermits) Stop() (uint64, []byte) {
	m.owner = nil
	m.checkpointNumber++
	return m.checkpointNumber, nil
}

// QueryReceived grants permits. A proxy without a reply keeps to its own share.
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

// Step does nothing: permits are replies to queries.
func (m *MigrationPermits) Step(Time) {}

// EffectAcknowledged does nothing: there are no effects.
func (m *MigrationPermits) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {
}

// CheckpointStored does nothing.
func (m *MigrationPermits) CheckpointStored(Time, uint64, bool) {}

// ApplyEffect does nothing.
func (m *MigrationPermits) ApplyEffect(Time, ownership.FencingToken, []byte) {}
