package quota

import (
	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

// Issuer is the owner's part of one shard. What it has handed out is forgotten with it: its successor waits until all of that has lapsed.
type Issuer struct {
	GrantLifetime Time // how long what is handed out holds
	FleetSize     int  // proxies of the fleet: a proxy that is not heard of keeps to one part of so many
	Limits        Limits

	owner    jobs.Owner
	began    Time
	number   uint64
	asked    map[uint32]Time // when each proxy asked last
	accounts map[string]*purseOf
}

// purseOf is what is out of one account.
type purseOf struct {
	pot    jobs.Bucket
	places map[uint32][]promise // how many may be open at each proxy
}

// promise is a number of places that a proxy may go by until it lapses: an answer that is lost does not take back the one before.
type promise struct {
	n     int
	until Time
}

// promised is the most that a proxy may go by now; the last one counts for as long as nothing newer is known.
func (p *purseOf) promised(now Time, peer uint32) int {
	all := p.places[peer]
	if len(all) == 0 {
		return 0
	}
	most := all[len(all)-1].n
	kept := all[:0]
	for i, x := range all {
		if i == len(all)-1 || now < x.until {
			kept, most = append(kept, x), max(most, x.n)
		}
	}
	p.places[peer] = kept
	return most
}

// Start begins with nothing to hand out.
func (b *Issuer) Start(now Time, o jobs.Owner, _, number uint64, _ []byte) error {
	b.owner, b.number, b.began = o, number, now+2*b.GrantLifetime
	b.asked, b.accounts = map[uint32]Time{}, map[string]*purseOf{}
	return nil
}

// Stop ends the owner's part.
func (b *Issuer) Stop() (uint64, []byte) {
	b.owner = nil
	b.number++
	return b.number, nil
}

func (b *Issuer) of(now Time, account string) *purseOf {
	p := b.accounts[account]
	if p == nil {
		if len(b.accounts) >= 4*mostAsked {
			for a := range b.accounts {
				if b.Limits(a) == (Limit{}) {
					delete(b.accounts, a)
				}
			}
		}
		p = &purseOf{pot: jobs.Bucket{FilledAt: max(now, b.began)}, places: map[uint32][]promise{}}
		b.accounts[account] = p
	}
	return p
}

// free is how many more may be open: of those that are not heard of each holds what it was given last, or its share, whichever is more.
func (b *Issuer) free(now Time, p *purseOf, most int) int {
	share := most / max(1, b.FleetSize)
	left := most - max(0, b.FleetSize-len(b.asked))*share
	for peer, at := range b.asked {
		n := p.promised(now, peer)
		if now-at >= 2*b.GrantLifetime {
			n = max(n, share)
		}
		left -= n
	}
	return left
}

// QueryReceived hands out what a proxy wants, as far as there is room. Each account stands by itself: a proxy needs a permit and a place of every one above, too.
func (b *Issuer) QueryReceived(now Time, from uint32, tag uint64, body []byte) {
	lines, err := read(body)
	if b.owner == nil || err != nil {
		return
	}
	b.asked[from] = now
	given := make([]line, 0, len(lines))
	for _, l := range lines {
		limit, p := b.Limits(l.account), b.of(now, l.account)
		g := line{account: l.account, places: l.held}
		if now >= b.began { // else an earlier owner's are still out
			if limit.Rate > 0 {
				p.pot.Fill(now, limit.Rate, b.FleetSize, jobs.SilentMembers(now, b.FleetSize, b.asked, 2*b.GrantLifetime))
				g.permits = p.pot.Take(l.permits)
			}
			if limit.Connections > 0 {
				// What was promised to this proxy before is its own already.
				room := b.free(now, p, limit.Connections) + p.promised(now, from)
				g.places = min(l.held+l.places, uint64(max(int(l.held), room)))
				if room < int(l.held) {
					// The limit was cut below what is open: each comes down in step, by taking nothing in place of what ends.
					g.places = uint64(int(l.held) * limit.Connections / max(1, limit.Connections+int(l.held)-room))
				}
			}
		}
		p.places[from] = append(p.places[from], promise{int(g.places), now + b.GrantLifetime})
		given = append(given, g)
	}
	b.owner.Reply(from, tag, write(given))
}

// Step forgets proxies that are gone from the fleet for good: what they held is closed.
func (b *Issuer) Step(now Time) {
	if b.owner == nil {
		return
	}
	here := map[uint32]bool{}
	for _, m := range b.owner.Members() {
		here[m.Peer] = true
	}
	for peer, at := range b.asked {
		if !here[peer] && now-at > 4*b.GrantLifetime {
			delete(b.asked, peer)
			for _, p := range b.accounts {
				delete(p.places, peer)
			}
		}
	}
}

// EffectAcknowledged, Noted and Effect are the Job's: allowances are answers.
func (b *Issuer) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {}

// CheckpointStored is the Job's.
func (b *Issuer) CheckpointStored(Time, uint64, bool) {}

// ApplyEffect is the Job's.
func (b *Issuer) ApplyEffect(Time, ownership.FencingToken, []byte) {}

var _ jobs.Job = (*Issuer)(nil)
