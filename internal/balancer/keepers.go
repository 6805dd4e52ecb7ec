package balancer

import "croftlock/internal/balancer/ledger"

// What is told between a balancer and the one that keeps the book, and what comes of it. Nothing is decided here.

// keepsBook tells whether there is a book to go by: the others can be reached.
func (b *Balancer) keepsBook() bool { return b.cfg.MayGossip && b.cfg.Instances > 1 }

// units is a connection's load as messages carry it: the same when it is told and when it is taken back.
func (b *Balancer) units(r *request) int {
	if r.units == 0 {
		r.units = max(1, min(127, int(b.turns(r)*ledger.UnitsPerConnection+0.5)))
	}
	return r.units
}

// lookForBook says once that a book is kept here, where it is; asks a keeper that may be back whether it is; and tells the one that is asked all that is held
// here when that is due: what was lost on the way is put right so. Where there is no book to go by nothing is said and nothing drawn.
func (b *Balancer) lookForBook() {
	if !b.keepsBook() {
		return
	}
	if !b.bookOpen {
		b.bookOpen, b.epoch = true, byte(b.now/1e8)
		if b.desk.IsCoordinator(b.cfg.Instance) {
			b.fx.SendToPeer(-1, ledger.Announcement(b.epoch))
		}
	}
	if b.now >= b.bookDue && b.desk.Synced(b.now) {
		b.tellBook()
	}
	if k := b.desk.NextPoll(b.now); k == b.cfg.Instance {
		b.heardBook(k, b.epoch)
	} else if k >= 0 {
		b.fx.SendToPeer(k, ledger.Poll())
	}
}

// bookTold takes a message about the book; false: it is none.
func (b *Balancer) bookTold(from int, data []byte) bool {
	m, ok := ledger.Decode(data)
	switch {
	case !ok:
		return false
	case m.Query != nil:
		id := uint32(0)
		if s := b.grant(from, *m.Query); s != nil {
			id = uint32(s.hash)
		}
		b.fx.SendToPeer(from, ledger.AppendReply(m.Query.Seq, b.epoch, id))
	case m.Reply:
		b.heardBook(from, m.Epoch)
		b.answered(from, m)
	case m.Announcement:
		b.heardBook(from, m.Epoch)
	case m.Poll:
		b.fx.SendToPeer(from, ledger.Announcement(b.epoch))
	default:
		if m.Sync {
			b.book.Forget(from)
		}
		for _, e := range m.Entries {
			b.book.Add(from, e.Host, e.Group, e.Units)
		}
	}
	return true
}

// heardBook has all that is held here told to a keeper that does not know it, in a while: all balancers hear of it together.
func (b *Balancer) heardBook(from int, epoch byte) {
	if b.keepsBook() && b.desk.CoordinatorHeard(from, epoch) {
		b.bookDue = b.now + Time(bookSpread*b.rng.Float64())
		b.fx.Report(LedgerPolled{Coordinator: from})
	}
}

// answered goes on with the request that the keeper's word is for; what it has granted and is not used is given back.
func (b *Balancer) answered(from int, m ledger.Message) {
	o := b.desk.Take(m.Seq)
	if o == nil {
		return
	}
	r, s := b.requests[o.Request], b.byHash(m.Host)
	if r == nil || r.closed || !r.waits || o.Abandoned {
		if m.Host != 0 {
			b.fx.SendToPeer(from, ledger.Entry{Host: m.Host, Group: o.Group, Units: -o.Units}.Append(nil))
		}
		return
	}
	r.granted, r.booked, r.waits, r.held, r.waitTo = s, true, false, false, 0
	b.place(r)
}

// unanswered notes that a request has waited long enough.
func (b *Balancer) unanswered(r *request) {
	r.waits, r.waitTo = false, 0
	if b.desk.TimedOut(b.now, r.ID); b.desk.Coordinator(b.now) < 0 {
		b.fx.Report(LedgerUnreachable{})
	}
}

func (b *Balancer) byHash(id uint32) *server {
	for _, s := range b.servers {
		if uint32(s.hash) == id && id != 0 {
			return s
		}
	}
	return nil
}

// tellBook tells the keeper all that is held here.
func (b *Balancer) tellBook() {
	k := b.desk.Coordinator(b.now)
	b.bookDue = b.now + Time(bookAgain*(0.5+b.rng.Float64()))
	if k < 0 {
		return
	}
	data, n := ledger.StartSync(), 0
	say := func() {
		b.tellKeeper(k, data)
		data, n = nil, 0
	}
	for _, s := range b.servers {
		var groups []uint32
		units := map[uint32]int{}
		for _, r := range s.conns {
			if r.Group == "" {
				continue
			}
			g := ledger.GroupID(hash(r.Group))
			if units[g] == 0 {
				groups = append(groups, g)
			}
			units[g] += b.units(r)
		}
		for _, g := range groups {
			for left := units[g]; left > 0; left -= 127 {
				data = ledger.Entry{Host: uint32(s.hash), Group: g, Units: min(left, 127)}.Append(data)
				if n++; n == ledger.MaxEntries {
					say()
				}
			}
		}
	}
	if len(data) > 0 {
		say()
	}
}

// holds tells the keeper that a server holds a connection more (1), or less (-1).
func (b *Balancer) holds(s *server, r *request, sign int) {
	k := b.desk.Coordinator(b.now)
	if r.Group == "" || k < 0 || !b.keepsBook() {
		return
	}
	e := ledger.Entry{Host: uint32(s.hash), Group: ledger.GroupID(hash(r.Group)), Units: sign * b.units(r)}
	b.tellKeeper(k, e.Append(nil))
}

// tellKeeper brings a message to who keeps the book, which may be this balancer.
func (b *Balancer) tellKeeper(k int, data []byte) {
	if k == b.cfg.Instance {
		b.bookTold(k, data)
		return
	}
	b.fx.SendToPeer(k, data)
}

// settle puts right what was granted and is not where the connection stands; s is nil where it stands nowhere.
func (b *Balancer) settle(r *request, s *server) {
	if r.granted == s {
		r.granted = nil
		return
	}
	if s != nil {
		b.holds(s, r, 1)
	}
	if r.granted != nil {
		b.holds(r.granted, r, -1)
	}
	r.granted = nil
}
