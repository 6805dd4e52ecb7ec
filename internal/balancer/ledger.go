package balancer

import (
	"math"

	"croftlock/internal/balancer/ledger"
)

// No balancer sees alone how full servers are, nor how large a group is. Where they may speak, one that keeps
// a book of all (internal/ledger) is asked for a server; without its answer each is on its own.

// asks has a request wait a moment for the keeper's word, where there is one to ask.
func (b *Balancer) asks(r *request) bool {
	k := b.desk.Coordinator(b.now)
	if r.asked || r.attempts > 0 || r.spare || r.Group == "" || !b.keepsBook() || k < 0 {
		return false
	}
	r.asked = true
	q := ledger.Query{Zone: b.zone, Retry: r.comesAgain(), Units: b.units(r)}
	q.Group = ledger.GroupID(hash(r.Group))
	if k == b.cfg.Instance {
		r.granted, r.booked = b.grant(k, q), true
		return false
	}
	if r.deadline-b.now < 8*bookWait {
		return false
	}
	q.Seq = b.desk.Register(ledger.PendingQuery{Request: r.ID, Group: q.Group, Units: q.Units, SentAt: b.now})
	b.fx.SendToPeer(k, q.Append(nil))
	r.waits, r.waitTo = true, b.now+bookWait
	b.hold(r)
	return true
}

// granted is the server that the keeper named, if this balancer may send there.
func (b *Balancer) granted(r *request) *server {
	s := r.granted
	if s == nil || r.attempts > 0 || s.state != Ready || !b.available(s, r) {
		return nil
	}
	return s
}

// grant chooses the server for a request of any balancer: the one that is least full with it, where a server
// that does not hold its group yet pays for that, and one in another zone is as much fuller as a crossing is
// worth. A cold one takes what its budget leaves, which is counted here for all.
func (b *Balancer) grant(from int, q ledger.Query) *server {
	if !q.Retry {
		b.askedFor.add(b.now, freshOver, 1)
	}
	load, room := 0.0, 0.0
	for _, s := range b.servers {
		if s.state == Ready {
			n, groups, _ := b.book.Load(uint32(s.hash), 0)
			load += n + groupCost*float64(groups)
			room += s.weight * b.warmth(s)
		}
	}
	full := load / max(room, 1e-9) * bookSlack
	var best *server
	least := math.Inf(1)
	for _, s := range b.servers {
		w := b.warmth(s)
		if s.state != Ready || b.now < s.passed || s.fails > 0 && b.now < s.until || w < 1 && !b.coldLeft(s) {
			continue
		}
		n, groups, holds := b.book.Load(uint32(s.hash), q.Group)
		n += groupCost*float64(groups) + float64(q.Units)/ledger.UnitsPerConnection
		x, pays := n/(s.weight*w), 0.0
		if !holds {
			pays = groupCost / (s.weight * w)
		}
		x += pays
		x += newPlace*pays + overPays*max(0, x-full-overFrom)
		if s.zone != q.Zone {
			x += farPays
		}
		if x += slowPays * b.slowness(s); x < least {
			best, least = s, x
		}
	}
	if best != nil {
		b.book.Add(from, uint32(best.hash), q.Group, q.Units)
		b.book.RecordGrant(uint32(best.hash), b.now)
	}
	return best
}

// coldLeft tells whether a cold server's budget bears one more: of N that the settings allow in the window
// of a fall, by chance N + 3 x root of N + 3 may come. A part of that is given out here, exactly; the rest
// is for those that had no answer.
func (b *Balancer) coldLeft(s *server) bool {
	b.askedFor.add(b.now, freshOver, 0)
	rate := max(b.askedFor.n/(freshOver/1e9), b.usual*float64(b.cfg.Instances))
	n := b.budget(s) * rate * float64(b.cfg.SlowStartOverloadWindow) / 1e9
	window := float64(b.cfg.SlowStartOverloadWindow)
	warmed := (1 - b.cfg.SlowStartFloor) * window / float64(b.cfg.SlowStartDuration)
	n *= max(b.cfg.SlowStartFloor, b.warmth(s)-warmed) / b.warmth(s) // as it was when the window began
	granted := b.book.GrantsSince(uint32(s.hash), b.now-b.cfg.SlowStartOverloadWindow)
	return float64(granted+1) <= bookCold*(n+3*math.Sqrt(n)+3)
}
