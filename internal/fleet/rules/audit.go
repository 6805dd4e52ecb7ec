package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// What the group keeps of the past, within what a job may leave.
const (
	mostTrail   = 32       // changes
	mostHistory = 64       // versions
	mostKept    = 31 << 10 // bytes of everything
)

// kept is what the group keeps of the rules: what one coordinator leaves to the next.
type kept struct {
	_              struct{} `cbor:",toarray"`
	Active, Staged []byte
	Trail          []AuditEntry // the changes that were made, the newest last
	History        [][]byte     // versions that were active, the newest last
}

// AuditEntry is one change that was made. It is never rewritten: its hash is over the one before, so that one that is missing or altered shows.
type AuditEntry struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   // of the version that it made
	ID     []byte
	Who    string // "operators", or the account and label of the grant
	What   string
	Wall   int64 // Unix milliseconds, at the coordinator
	Hash   []byte
}

func (e AuditEntry) over(before []byte) []byte {
	e.Hash = before
	h := sha256.Sum256(marshal(e))
	return h[:16]
}

// follow adds a change to a trail.
func follow(trail []AuditEntry, e AuditEntry) []AuditEntry {
	var before []byte
	if n := len(trail); n > 0 {
		before = trail[n-1].Hash
	}
	e.Hash = e.over(before)
	out := append(trail[:len(trail):len(trail)], e)
	return out[max(0, len(out)-mostTrail):]
}

// CheckAuditLog tells whether a trail's hashes follow one another; the first one's own past may be gone.
func CheckAuditLog(trail []AuditEntry) error {
	for i := 1; i < len(trail); i++ {
		if string(trail[i].over(trail[i-1].Hash)) != string(trail[i].Hash) {
			return fmt.Errorf("rules: the trail is torn at version %d", trail[i].Number)
		}
	}
	return nil
}

// history writes the trail for people; about narrows it to what begins so, "" to all.
func (k *Coordinator) history(about string) string {
	var b strings.Builder
	for _, e := range k.trail {
		if about != "" && !strings.Contains(e.What+" ", about+" ") && !strings.Contains(e.What, about+"/") {
			continue
		}
		fmt.Fprintf(&b, "version %d  %s  %s  %s  id=%x hash=%s\n", e.Number, time.UnixMilli(e.Wall).UTC().Format(time.RFC3339), e.Who, e.What, e.ID,
			hex.EncodeToString(e.Hash[:min(4, len(e.Hash))]))
	}
	for _, r := range k.turned {
		if about == "" || strings.Contains(r, about) {
			b.WriteString(r + "\n")
		}
	}
	if b.Len() == 0 {
		return "no change is kept"
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// turn notes a change that was refused: in memory alone, so that refusals push no change out of the trail.
func (k *Coordinator) turn(c *Change, who, why string) {
	k.turned = append(k.turned, fmt.Sprintf("refused  %s  %s: %s", who, c.about(), why))
	k.turned = k.turned[max(0, len(k.turned)-mostTrail):]
}

// read gives an earlier version, or the active one; nil: it is not kept any more.
func (k *Coordinator) read(number uint64) *Version {
	if number == k.active.Number {
		return k.active
	}
	later := k.active // each is kept as what is different from the one after it
	for i := len(k.past) - 1; i >= 0; i-- {
		v, err := arrive(k.past[i], only(later))
		if later = v; err == nil && v.Number == number {
			return v
		}
	}
	return nil
}

// passed is the past once next is active. Each version is kept as what is different from the one after it.
func (k *Coordinator) passed(next *Version) [][]byte {
	past := k.past[:len(k.past):len(k.past)]
	if !k.active.between() {
		past = append(past, k.active.travel(next))
		return past[max(0, len(past)-mostHistory):]
	}
	// One on the way from one to the next is nothing to go back to.
	if n := len(past); n > 0 {
		past = append([][]byte(nil), past...)
		if before, err := arrive(past[n-1], only(k.active)); err == nil {
			past[n-1] = before.travel(next)
		} else {
			past = nil // nothing before it can be read either
		}
	}
	return past
}

// only has one version.
func only(v *Version) func(Hash) *Version {
	return func(h Hash) *Version {
		if v != nil && v.Hash() == h {
			return v
		}
		return nil
	}
}

// left is what the group is to keep: as much of the past as there is room for.
func (k *Coordinator) left(active, staged *Version, trail []AuditEntry, past [][]byte) []byte {
	s := kept{Active: k.travels(active, nil), Trail: trail}
	if staged != nil {
		s.Staged = k.travels(staged, nil)
	}
	for {
		s.History = past
		if data := marshal(s); len(data) <= mostKept || len(past) == 0 {
			return data
		}
		past = past[1:]
	}
}
