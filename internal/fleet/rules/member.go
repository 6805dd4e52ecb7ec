package rules

import (
	"crypto/sha256"
	"errors"
	"fmt"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

// keep is what a member says of itself with each question for a lease, and what it gets.
type (
	keepAsk struct {
		_             struct{} `cbor:",toarray"`
		Active, Ready uint64
		ReadyHash     []byte
		Fault         string // why a version can't be used here
		FaultOf       []byte // its hash
	}
	keepAnswer struct {
		_      struct{} `cbor:",toarray"`
		Right  uint64   // the version that the asker may act by
		Hash   []byte
		Active []byte // that version, where the asker has it not
		Staged []byte // the next one, where the asker has it not
	}
)

// Member is a process's own part: it asks for its lease again and again, and holds the next version ready. It belongs to one goroutine.
type Member struct {
	AgreeWithin Time // agree_within
	MaxEntries  int  // entries that this process takes
	Enforcer    *Enforcer
	// SendQuery asks the coordinator; its answer comes to Answered under the tag.
	SendQuery func(tag uint64, body []byte)
	// VersionChanged is told when the version that this process acts by changes.
	VersionChanged func(number uint64, hash Hash)

	tag    uint64
	out    map[uint64]Time
	at     Time
	have   map[Hash]*compiled // the version acted by, and the next one
	active Hash
	ready  Hash
	number uint64 // of the one ready
	fault  string
	faulty Hash // the version that can't be used here
}

// Step asks anew once a sixth of a lease's time has passed.
func (m *Member) Step(now Time) {
	if now >= m.at+m.AgreeWithin/6 || m.at == 0 {
		m.ask(now)
	}
}

func (m *Member) ask(now Time) {
	m.at = now
	if m.out == nil {
		m.out, m.have = map[uint64]Time{}, map[Hash]*compiled{}
	}
	for t, at := range m.out {
		if now-at > m.AgreeWithin {
			delete(m.out, t)
		}
	}
	m.tag++
	m.out[m.tag] = now
	n, _ := m.Enforcer.ActiveVersion()
	q := keepAsk{Active: n, Ready: m.number, Fault: m.fault}
	if m.number > 0 {
		q.ReadyHash = m.ready[:]
	}
	if m.fault != "" {
		q.FaultOf = m.faulty[:]
	}
	m.SendQuery(m.tag, append([]byte{askKeep}, marshal(q)...))
}

// ReplyReceived takes a lease, and the versions that came with it. It counts from before it was asked for.
func (m *Member) ReplyReceived(now Time, tag uint64, body []byte) {
	asked, was := m.out[tag]
	var a keepAnswer
	if !was || decoding().Unmarshal(body, &a) != nil {
		return
	}
	delete(m.out, tag)
	again := m.take(a.Staged)
	m.take(a.Active)
	if len(a.Hash) == len(Hash{}) {
		h := Hash(a.Hash)
		if c := m.have[h]; c != nil && c.v.Number == a.Right {
			m.act(asked, h, c)
		}
	}
	if again {
		m.ask(now) // its being ready is what the others wait for
	}
}

func (m *Member) act(asked Time, h Hash, c *compiled) {
	old := m.Enforcer.p.Load()
	if old != nil && (old.v.Number > c.v.Number || old.v.Number == c.v.Number && old.until >= LeaseEnd(asked, m.AgreeWithin)) {
		return // an answer that is late says nothing that holds still
	}
	m.Enforcer.p.Store(&acting{c, LeaseEnd(asked, m.AgreeWithin)})
	if m.active != h {
		m.active = h
		for k := range m.have {
			if k != h && k != m.ready {
				delete(m.have, k)
			}
		}
		if m.VersionChanged != nil {
			m.VersionChanged(c.v.Number, h)
		}
	}
}

// take makes a version ready; one that can't be used here is told to the coordinator, and is active nowhere.
func (m *Member) take(data []byte) bool {
	if len(data) == 0 {
		return false
	}
	v, err := arrive(data, func(h Hash) *Version {
		if c := m.have[h]; c != nil {
			return c.v
		}
		return nil
	})
	if errors.Is(err, errBase) {
		m.number, m.ready = 0, Hash{} // with the next question the whole comes
		return true
	}
	if err == nil && m.MaxEntries > 0 && v.Entries() > m.MaxEntries {
		err = fmt.Errorf("rules: %d entries, this process takes %d", v.Entries(), m.MaxEntries)
	}
	if err != nil {
		m.fault, m.faulty = err.Error(), m.named(data)
		return true
	}
	h := v.Hash()
	if m.have[h] == nil {
		m.have[h] = compile(v)
	}
	if v.Number > m.number || v.Number == m.number && h != m.ready {
		m.ready, m.number, m.fault = h, v.Number, ""
		return true
	}
	return false
}

// named is the hash by which the coordinator knows a version that can't be used here, also where it came as a difference.
func (m *Member) named(data []byte) Hash {
	if data[0] == formDifferent {
		var d different
		if data, err := inflate(data[1:], mostBytes); err == nil && decoding().Unmarshal(data, &d) == nil && len(d.Is) == len(Hash{}) {
			return Hash(d.Is)
		}
	}
	if plain, err := loosen(data); err == nil {
		data = plain
	}
	return sha256.Sum256(data)
}

// Notified takes the coordinator's word that there is something new, and asks for it at once.
func (m *Member) Notified(now Time) { m.ask(now) }

// ApplyEffect is the receiver's part of the job.
func (k *Coordinator) ApplyEffect(now Time, _ ownership.FencingToken, _ []byte) {
	if k.Notified != nil {
		k.Notified(now)
	}
}

var _ jobs.Job = (*Coordinator)(nil)
