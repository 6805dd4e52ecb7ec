package jobs

import (
	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/ownership"
)

// permitFor is how long a permit may be used.
const permitFor = sec

// MigrationPermits is the owner's part of the pace of moves: it hands out permits. What it keeps is nothing: permits lapse.
type MigrationPermits struct {
	Rate float64 // a second, over the whole fleet
	Base int     // proxies that the fleet is meant to have

	owner  Owner
	began  Time
	pot    Bucket
	number uint64
	asked  map[uint32]Time
}

// Start begins with nothing to hand out: an earlier owner's permits may be in use until they lapse, and so may each proxy's own share.
func (m *MigrationPermits) Start(now Time, o Owner, _, number uint64, _ []byte) error {
	m.owner, m.began, m.pot, m.number, m.asked = o, now+permitFor, Bucket{FilledAt: now + permitFor}, number, map[uint32]Time{}
	return nil
}

// Stop ends the owner's part.
func (m *MigrationPermits) Stop() (uint64, []byte) {
	m.owner = nil
	m.number++
	return m.number, nil
}

// QueryReceived hands out permits.
func (m *MigrationPermits) QueryReceived(now Time, from uint32, tag uint64, body []byte) {
	r := encoding.Reader{Data: body}
	want := r.Uint()
	if m.owner == nil || r.Err() != nil || now < m.began {
		return // without an answer everyone keeps to the own share
	}
	m.pot.Fill(now, m.Rate, m.Base, SilentMembers(now, m.Base, m.asked, 2*permitFor))
	m.asked[from] = now
	n := m.pot.Take(want)
	var w encoding.Writer
	m.owner.Reply(from, tag, w.Uint(n).Data)
}

// Step, Acked, Noted and Effect have nothing to do: permits are answers.
func (m *MigrationPermits) Step(Time) {}

// EffectAcknowledged is the Job's.
func (m *MigrationPermits) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {
}

// CheckpointStored is the Job's.
func (m *MigrationPermits) CheckpointStored(Time, uint64, bool) {}

// ApplyEffect is the Job's.
func (m *MigrationPermits) ApplyEffect(Time, ownership.FencingToken, []byte) {}
