package jobs

import (
	"croftlock/internal/fleet/encoding"
)

// maxPermitsPerQuery bounds the permits of one query.
const maxPermitsPerQuery = 64

// MigrationPacer is each proxy's part in the rate of migrations: when it may migrate a client.
type MigrationPacer struct {
	Rate      float64 // migrations a second, fleet-wide
	FleetSize int     // proxies that the fleet is meant to have
	// SendQuery queries the owner for permits; ReplyReceived gets the reply under the tag. nil: there is no owner.
	SendQuery func(tag uint64, body []byte)

	lastTag        uint64
	pendingQueries map[uint64]Time // when queries without a reply were sent, by tag
	permits        []permitBatch
	shareTokens    float64 // migrations that are due of this proxy's share of the rate, while no owner replies
	shareFilledAt  Time    // when ownShare was last brought up to date
	ownerReplied   bool    // an owner has replied once
	lastReplyAt    Time    // last
}

// permitBatch are those of one reply.
type permitBatch struct {
	count     uint64
	expiresAt Time
}

// Allow reports how many of the wanted migrations may happen now, and requests permits for the rest.
func (p *MigrationPacer) Allow(now Time, want int) int {
	allowed := p.usePermits(now, want)
	allowed += p.useOwnShare(now, want-allowed)
	if allowed < want {
		p.queryOwner(now, want-allowed)
	}
	return allowed
}

// usePermits uses permits that have not expired.
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

// useOwnShare allows at most one migration where no owner replies: each proxy then keeps to its
// share of the rate, and saves up one migration at most.
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

// queryOwner requests permits; there is one query at a time, until its permits would have expired.
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

// ReplyReceived takes permits. Their lifetime counts from the query, so that here they expire before they do by the owner's count.
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
