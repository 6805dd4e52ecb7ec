package jobs

import (
	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/ownership"
)

// permitFor is how long a permit may be used.
const permitFor = sec

// Moves is the owner's part of the pace of moves: it hands out permits. What it keeps is nothing: permits lapse.
type Moves struct {
	Pace float64 // a second, over the whole fleet
	Base int     // proxies that the fleet is meant to have

	owner  Owner
	began  Time
	pot    Bucket
	number uint64
	asked  map[uint32]Time
}

// Start begins with nothing to hand out: an earlier owner's permits may be in use until they lapse, and so may each proxy's own share.
func (m *Moves) Start(now Time, o Owner, _, number uint64, _ []byte) error {
	m.owner, m.began, m.pot, m.number, m.asked = o, now+permitFor, Bucket{At: now + permitFor}, number, map[uint32]Time{}
	return nil
}

// Stop ends the owner's part.
func (m *Moves) Stop() (uint64, []byte) {
	m.owner = nil
	m.number++
	return m.number, nil
}

// Asked hands out permits.
func (m *Moves) Asked(now Time, from uint32, tag uint64, body []byte) {
	r := encoding.Reader{Data: body}
	want := r.Uint()
	if m.owner == nil || r.Err() != nil || now < m.began {
		return // without an answer everyone keeps to the own share
	}
	m.pot.Fill(now, m.Pace, m.Base, Alone(now, m.Base, m.asked, 2*permitFor))
	m.asked[from] = now
	n := m.pot.Take(want)
	var w encoding.Writer
	m.owner.Answer(from, tag, w.Uint(n).Data)
}

// Step, Acked, Noted and Effect have nothing to do: permits are answers.
func (m *Moves) Step(Time) {}

// Acked is the Job's.
func (m *Moves) Acked(Time, uint32, ownership.Mark, ownership.Verdict) {}

// Noted is the Job's.
func (m *Moves) Noted(Time, uint64, bool) {}

// Effect is the Job's.
func (m *Moves) Effect(Time, ownership.Mark, []byte) {}
