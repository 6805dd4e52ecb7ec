package jobs

import (
	"croftlock/internal/fleet/encoding"
)

// maxPermitsPerQuery bounds the permits of one query.
const maxPermitsPerQuery = 64

// MigrationPacer is a proxy's own part of the rate of migrations: when it may migrate a client.
type MigrationPacer struct {
	Rate      float64 // migrations a second, over the whole fleet
	FleetSize int     // proxies that the fleet is meant to have
	// SendQuery asks the owner for permits; ReplyReceived brings the answer under the tag. nil: there is no owner.
	SendQuery func(tag uint64, body []byte)

	lastTag        uint64
	pendingQueries map[uint64]Time // when queries without a reply were sent, by tag
	permits        []permits
	ownShare       float64 // tokens of this proxy's share, without an owner
	filledAt       Time
	ownerReplied   bool // an owner has answered
	ownerRepliedAt Time
}

// permits are those of one answer.
type permits struct {
	count     uint64
	expiresAt Time
}

// Allow reports how many of the wanted migrations may happen now, and asks for permits for the rest.
func (p *MigrationPacer) Allow(now Time, want int) int {
	allowed := p.usePermits(now, want)
	allowed += p.useOwnShare(now, want-allowed)
	if allowed < want {
		p.queryOwner(now, want-allowed)
	}
	return allowed
}

func (p *MigrationPacer) usePermits(now Time, want int) (used int) {
	left := p.permits[:0]
	for _, x := range p.permits {
		if now >= x.expiresAt {
			continue
		}
		if used < want {
			n := min(x.count, uint64(want-used))
			used += int(n)
			x.count -= n
		}
		if x.count > 0 {
			left = append(left, x)
		}
	}
	p.permits = left
	return used
}

// useOwnShare lets one client go where no owner answers: each proxy then keeps to its share of the rate, and saves one of it at most.
func (p *MigrationPacer) useOwnShare(now Time, want int) (used int) {
	if p.ownerReplied && now-p.ownerRepliedAt <= silentAfter {
		p.ownShare = 0
	} else {
		since := max(p.filledAt, p.ownerRepliedAt)
		p.ownShare = min(1, p.ownShare+p.Rate/float64(max(1, p.FleetSize))*float64(now-since)/float64(sec))
		if want > 0 && p.ownShare >= 1 {
			p.ownShare--
			used = 1
		}
	}
	p.filledAt = now
	return used
}

// queryOwner sends one query at a time.
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

// ReplyReceived takes permits. Their lifetime counts from the question, so that the owner may count it from its answer.
func (p *MigrationPacer) ReplyReceived(now Time, tag uint64, body []byte) {
	askedAt, asked := p.pendingQueries[tag]
	r := encoding.Reader{Data: body}
	count := r.Uint()
	if !asked || r.Err() != nil || now >= askedAt+permitLifetime {
		return
	}
	delete(p.pendingQueries, tag)
	p.ownerReplied, p.ownerRepliedAt = true, now
	if count > 0 {
		p.permits = append(p.permits, permits{count, askedAt + permitLifetime})
	}
}
