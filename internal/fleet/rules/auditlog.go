package rules

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	maxAuditEntries = 32 // applied changes, and likewise rejected ones; the oldest are dropped
	auditHashBytes  = 16 // length to which a SHA-256 hash is truncated
)

// AuditEntry records one applied change. Its hash covers the hash of the previous entry, so that a
// missing or altered entry can be detected.
type AuditEntry struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64   // number of the version that contains the change
	ID         []byte   // of the change
	Proposer   string   // "operators", or the account and label of the grant
	Subject    string   // subject of the change
	WallMillis int64    // time of day at the publisher, in Unix milliseconds
	Hash       []byte   // covers the other fields and the hash of the previous entry
}

// chainedHash returns the entry's hash. previous is the hash of the previous entry, or nil for the
// first one.
func (e AuditEntry) chainedHash(previous []byte) []byte {
	e.Hash = previous
	h := sha256.Sum256(marshal(e))
	return h[:auditHashBytes]
}

// appendEntry returns a copy of the log with another entry. It never changes entries, since other
// slices may share its array.
func appendEntry(entries []AuditEntry, e AuditEntry) []AuditEntry {
	var previous []byte
	if n := len(entries); n > 0 {
		previous = entries[n-1].Hash
	}
	e.Hash = e.chainedHash(previous)
	out := append(entries[:len(entries):len(entries)], e)
	return out[max(0, len(out)-maxAuditEntries):]
}

// findEntry returns the entry of the change with an ID, or nil if there is none. An empty ID matches
// no entry.
func findEntry(entries []AuditEntry, id []byte) *AuditEntry {
	i := slices.IndexFunc(entries, func(e AuditEntry) bool { return len(id) > 0 && bytes.Equal(e.ID, id) })
	if i < 0 {
		return nil
	}
	return &entries[i]
}

// CheckAuditLog returns an error that names the first entry whose hash does not match the previous
// entry. It does not check the hash of the first entry, since earlier entries may have been
// dropped.
func CheckAuditLog(entries []AuditEntry) error {
	for i := 1; i < len(entries); i++ {
		if string(entries[i].chainedHash(entries[i-1].Hash)) != string(entries[i].Hash) {
			return fmt.Errorf("rules: the trail is torn at version %d", entries[i].Number)
		}
	}
	return nil
}

// auditLog holds the applied changes, and the last rejected ones.
type auditLog struct {
	active   []AuditEntry // changes up to the active version, the newest last
	staged   []AuditEntry // active and the changes of the staged version; the same as active if none is staged
	rejected []string     // one line each, the newest last; not stored, so that they do not displace applied changes
}

// restore sets the log from a checkpoint, which already contains the changes of the staged version.
// It drops a log with a broken hash chain and records the error among the rejected changes, since
// the rules do not depend on the log. active is the number of the active version.
func (l *auditLog) restore(entries []AuditEntry, active uint64) {
	if err := CheckAuditLog(entries); err != nil {
		l.rejected, entries = append(l.rejected, err.Error()), nil
	}
	l.staged = entries
	for len(entries) > 0 && entries[len(entries)-1].Number > active {
		entries = entries[:len(entries)-1]
	}
	l.active = entries
}

// reject records a rejected change. An empty proposer means that it is not known.
func (l *auditLog) reject(c *Change, proposer, reason string) {
	l.rejected = append(l.rejected, fmt.Sprintf("refused  %s  %s: %s", proposer, c.subject(), reason))
	l.rejected = l.rejected[max(0, len(l.rejected)-maxAuditEntries):]
}

// text returns the log as text for administrators: the applied changes whose subject contains about,
// followed by a blank, a slash or the end, and the rejected changes that contain about. An empty
// about means the complete log.
func (l *auditLog) text(about string) string {
	var b strings.Builder
	for _, e := range l.active {
		if about != "" && !strings.Contains(e.Subject+" ", about+" ") && !strings.Contains(e.Subject, about+"/") {
			continue
		}
		fmt.Fprintf(&b, "version %d  %s  %s  %s  id=%x hash=%s\n", e.Number, time.UnixMilli(e.WallMillis).UTC().Format(time.RFC3339), e.Proposer, e.Subject, e.ID,
			hex.EncodeToString(e.Hash[:min(4, len(e.Hash))]))
	}
	for _, r := range l.rejected {
		if about == "" || strings.Contains(r, about) {
			b.WriteString(r + "\n")
		}
	}
	if b.Len() == 0 {
		return "no change is kept"
	}
	return strings.TrimSuffix(b.String(), "\n")
}
