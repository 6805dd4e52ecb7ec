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
	maxAuditEntries = 32
	auditHashBytes  = 16
)

// AuditEntry is one change that was made. Its hash covers the hash of the entry before, so that a missing or altered entry shows.
type AuditEntry struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64   // of the version that it made
	ID         []byte
	Proposer   string // "operators", or the account and label of the grant
	Subject    string // the subject
	WallMillis int64  // Unix milliseconds, at the publisher
	Hash       []byte
}

// chainedHash is the entry's hash, given the one of the entry before.
func (e AuditEntry) chainedHash(before []byte) []byte {
	e.Hash = before
	h := sha256.Sum256(marshal(e))
	return h[:auditHashBytes]
}

// appendEntry adds a change to a copy of the log, since others may hold slices of it.
func appendEntry(entries []AuditEntry, e AuditEntry) []AuditEntry {
	var before []byte
	if n := len(entries); n > 0 {
		before = entries[n-1].Hash
	}
	e.Hash = e.chainedHash(before)
	out := append(entries[:len(entries):len(entries)], e)
	return out[max(0, len(out)-maxAuditEntries):]
}

// findEntry is the entry of the change with an ID; nil: there is none.
func findEntry(entries []AuditEntry, id []byte) *AuditEntry {
	i := slices.IndexFunc(entries, func(e AuditEntry) bool { return len(id) > 0 && bytes.Equal(e.ID, id) })
	if i < 0 {
		return nil
	}
	return &entries[i]
}

// CheckAuditLog returns an error at the first entry whose hash does not follow from the one before; what came before the first may have been dropped.
func CheckAuditLog(entries []AuditEntry) error {
	for i := 1; i < len(entries); i++ {
		if string(entries[i].chainedHash(entries[i-1].Hash)) != string(entries[i].Hash) {
			return fmt.Errorf("rules: the trail is torn at version %d", entries[i].Number)
		}
	}
	return nil
}

// auditLog is the changes that were made, and the last that were rejected.
type auditLog struct {
	active   []AuditEntry // changes up to the active version, the newest last
	staged   []AuditEntry // the same with those of the staged version
	rejected []string     // in memory alone, so that rejections push no change out of the log
}

// restore takes the log of a checkpoint, which holds the staged version's changes already. A log whose chain is broken is dropped, and that is
// recorded in its place: the rules do not depend on it.
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

// reject records a change that was rejected.
func (l *auditLog) reject(c *Change, proposer, reason string) {
	l.rejected = append(l.rejected, fmt.Sprintf("refused  %s  %s: %s", proposer, c.subject(), reason))
	l.rejected = l.rejected[max(0, len(l.rejected)-maxAuditEntries):]
}

// text is the log for administrators, narrowed to a subject; "": the complete log.
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
