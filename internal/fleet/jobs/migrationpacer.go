package jobs

import (
	"croftlock/internal/fleet/encoding"
)

// maxPermitsPerQuery is the maximum number of permits that one query requests.
const maxPermitsPerQuery = 64

// MigrationPacer decides when a proxy may migrate clients to another host, so that all proxies
// together keep to a rate. It uses permits that the owner of the job MigrationPermits grants, each
// for one migration, or an equal share of the rate while no owner replies.
type MigrationPacer struct {
	Rate      float64 // migrations per second, fleet-wide
	FleetSize int     // intended number of proxies in the fleet
	// SendQuery sends the owner a query for permits. The reply is passed to ReplyReceived with the
	// tag. A nil SendQuery means that there is no owner.
	SendQuery func(tag uint64, body []byte)

	lastTag        uint64
	pendingQueries map[uint64]Time // when the queries without a reply were sent, by tag
	permits        []permitBatch   // oldest first
	shareTokens    float64         // migrations allowed by this proxy's share of the rate; at most 1
	shareFilledAt  Time            // when shareTokens was last updated
	ownerReplied   bool            // whether an owner has ever replied
	lastReplyAt    Time            // time of the last reply
}

// permitBatch holds the unused permits of one reply.
type permitBatch struct {
	count     uint64
	expiresAt Time
}

// Allow returns how many of the wanted migrations may start now. It requests permits for the rest.
func (p *MigrationPacer) Allow(now Time, want int) int {
	allowed := p.usePermits(now, want)
	allowed += p.useOwnShare(now, want-allowed)
	if allowed < want {
		p.queryOwner(now, want-allowed)
	}
	return allowed
}

// usePermits uses up to want permits that have not expired, and returns their number.
func (p *MigrationPacer) usePermits(now Time, want int) (used int) {
	unused := p.permits[:0]
	for _, batch := range p.permits {
		if now >= batch.expiresAt {
			continue
		}
		if used < want {
			n := min(batch.count, uint64(want-used))
			used += int(n)
			batch.count -= n
		}
		if batch.count > 0 {
			unused = append(unused, batch)
		}
	}
	p.permits = unused
	return used
}

// useOwnShare returns 1 if want is positive and this proxy's share of the rate allows a migration
// now, and 0 otherwise. The share is used only while no owner replies, and at most one migration
// accumulates.
func (p *MigrationPacer) useOwnShare(now Time, want int) (used int) {
	if p.ownerReplied && now-p.lastReplyAt <= silentAfter {
		p.shareTokens = 0
	} else {
		since := max(p.shareFilledAt, p.lastReplyAt)
		p.shareTokens = min(1, p.shareTokens+p.Rate/float64(max(1, p.FleetSize))*float64(now-since)/float64(sec))
		if want > 0 && p.shareTokens >= 1 {
			p.shareTokens--
			used = 1
		}
	}
	p.shareFilledAt = now
	return used
}

// queryOwner requests want permits, at most maxPermitsPerQuery. It does nothing if there is no owner
// to query, or while a query without a reply is not older than permitLifetime.
func (p *MigrationPacer) queryOwner(now Time, want int) {
	for tag, at := range p.pendingQueries {
		if now-at > permitLifetime {
			delete(p.pendingQueries, tag)
		}
	}
	if len(p.pendingQueries) > 0 || p.SendQuery == nil {
		return
	}
	if p.pendingQueries == nil {
		p.pendingQueries = map[uint64]Time{}
	}
	p.lastTag++
	p.pendingQueries[p.lastTag] = now
	var w encoding.Writer
	p.SendQuery(p.lastTag, w.Uint(uint64(min(want, maxPermitsPerQuery))).Data)
}

// ReplyReceived adds the permits of a reply. Their lifetime starts with the query, so that they
// expire here before the owner considers them expired. It ignores malformed replies, replies to
// unknown queries, and replies whose permits have expired.
func (p *MigrationPacer) ReplyReceived(now Time, tag uint64, body []byte) {
	queriedAt, pending := p.pendingQueries[tag]
	r := encoding.Reader{Data: body}
	count := r.Uint()
	if !pending || r.Err() != nil || now >= queriedAt+permitLifetime {
		return
	}
	delete(p.pendingQueries, tag)
	p.ownerReplied, p.lastReplyAt = true, now
	if count > 0 {
		p.permits = append(p.permits, permitBatch{count, queriedAt + permitLifetime})
	}
}
