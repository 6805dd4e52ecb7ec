package rules

// maxHistory bounds how many earlier versions can be rolled back to.
const maxHistory = 64

// versionStore is the publisher's versions: the active one, the staged one that is to follow it, and the earlier ones.
type versionStore struct {
	active     *Version
	activeHash Hash
	staged     *Version // nil: none
	stagedHash Hash
	stagedAt   Time
	history    [][]byte // earlier versions, the newest last, each as a delta whose base is the one after it
	transfers  transferCache
}

func (s *versionStore) setActive(v *Version) { s.active, s.activeHash = v, v.Hash() }

func (s *versionStore) stage(v *Version, now Time) {
	s.staged, s.stagedHash, s.stagedAt = v, v.Hash(), now
}

// activate makes the staged version the active one, and history what is before it.
func (s *versionStore) activate(history [][]byte) {
	s.setActive(s.staged)
	s.staged, s.history = nil, history
}

// missingVersions encodes the versions that a member lacks after its query; nil: it lacks none. Without any version it gets the active one even where that
// is version 0.
func (s *versionStore) missingVersions(m *memberState, q *leaseQuery) (active, staged []byte) {
	hasActive := q.ActiveNumber == s.active.Number || m.ready == s.activeHash
	hasNone := q.ActiveNumber == 0 && q.ReadyNumber == 0
	if !hasActive || hasNone {
		active = s.transfers.encode(s.active, nil)
	}
	if s.staged == nil || m.ready == s.stagedHash || m.fault != "" {
		return active, nil
	}
	base := s.active
	if m.ready != s.activeHash {
		base = nil // the member may lack the active version, from which the delta would be
	}
	return active, s.transfers.encode(s.staged, base)
}

// byNumber gives an earlier version, or the active one; nil: the history no longer has it. It decodes the deltas back from the active version.
func (s *versionStore) byNumber(number uint64) *Version {
	if number == s.active.Number {
		return s.active
	}
	later := s.active
	for i := len(s.history) - 1; i >= 0; i-- {
		v, err := decodeVersion(s.history[i], onlyBase(later))
		if later = v; err == nil && v.Number == number {
			return v
		}
	}
	return nil
}

// historyAfter is the history as it is once next is active.
func (s *versionStore) historyAfter(next *Version) [][]byte {
	history := s.history[:len(s.history):len(s.history)]
	if !s.active.transitional() {
		history = append(history, s.active.encodeFor(next))
		return history[max(0, len(history)-maxHistory):]
	}
	// A transitional version can't be rolled back to: the one before it becomes a delta from next.
	n := len(history)
	if n == 0 {
		return history
	}
	before, err := decodeVersion(history[n-1], onlyBase(s.active))
	if err != nil {
		return nil // nor can those before it be decoded, of which it is the base
	}
	return append(history[:n-1:n-1], before.encodeFor(next))
}

// transferKey is a version and the base of its delta; nil: it is sent complete.
type transferKey struct{ version, base *Version }

// transferCache holds encoded versions: one encoding serves all members and the checkpoint.
type transferCache map[transferKey][]byte

const maxTransfers = 4 // the active version and the staged one, each complete and as a delta

func (c *transferCache) encode(v, base *Version) []byte {
	key := transferKey{v, base}
	if data := (*c)[key]; data != nil {
		return data
	}
	if *c == nil || len(*c) >= maxTransfers {
		*c = transferCache{}
	}
	data := v.encodeFor(base)
	(*c)[key] = data
	return data
}
