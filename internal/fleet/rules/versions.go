package rules

// maxHistory is the maximum number of earlier versions that can be restored by a rollback.
const maxHistory = 64

// versionStore holds the publisher's versions: the active one, the staged one that follows it, and
// the earlier ones.
type versionStore struct {
	active     *Version
	activeHash Hash
	staged     *Version // nil if none is staged
	stagedHash Hash
	stagedAt   Time          // start of the staging; a version that takes too long from then on is abandoned
	history    [][]byte      // earlier versions, oldest first, each as a delta from the following version
	transfers  transferCache // encodings that were sent or stored
}

// setActive sets the active version, and leaves the others unchanged.
func (s *versionStore) setActive(v *Version) { s.active, s.activeHash = v, v.Hash() }

// stage sets the staged version; now is the start of the staging.
func (s *versionStore) stage(v *Version, now Time) {
	s.staged, s.stagedHash, s.stagedAt = v, v.Hash(), now
}

// activate makes the staged version the active one, and replaces the history.
func (s *versionStore) activate(history [][]byte) {
	s.setActive(s.staged)
	s.staged, s.history = nil, history
}

// missingVersions returns the active and the staged version, encoded, if a member lacks them
// according to its query. Each is nil if the member does not need it. The staged version is also nil
// if the member has reported a fault of it. A member without any version gets the active one even if
// that is version 0.
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
		base = nil // the member may lack the active version, the base of the delta
	}
	return active, s.transfers.encode(s.staged, base)
}

// byNumber returns the active version or an earlier one by its number, or nil if the history does
// not contain it any more. It decodes the deltas from the active version backwards.
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

// historyAfter returns the history to store when next replaces the active version: the current
// history and the active version as a delta with the base next.
func (s *versionStore) historyAfter(next *Version) [][]byte {
	history := s.history[:len(s.history):len(s.history)]
	if !s.active.transitional() {
		history = append(history, s.active.encodeFor(next))
		return history[max(0, len(history)-maxHistory):]
	}
	// A rollback can't restore a transitional version, so the history skips it: the version before
	// it becomes a delta with the base next.
	n := len(history)
	if n == 0 {
		return history
	}
	before, err := decodeVersion(history[n-1], onlyBase(s.active))
	if err != nil {
		return nil // earlier deltas need this version as their base, directly or indirectly
	}
	return append(history[:n-1:n-1], before.encodeFor(next))
}

// transferKey identifies an encoded version. A nil base means the complete version, not a delta.
type transferKey struct{ version, base *Version }

// transferCache caches encoded versions, so that all members and the checkpoint share one encoding.
type transferCache map[transferKey][]byte

// maxTransfers bounds the cache: the active and the staged version, each complete and as a delta.
const maxTransfers = 4

// encode returns v encoded for a receiver with base; see Version.encodeFor. It clears a full cache.
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
