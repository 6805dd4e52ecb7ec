package watermark

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"
)

// CarrierID marks this package's data among what members carry for one another.
const CarrierID = 'f'

// Transport is how datagrams get to the other members.
type Transport interface {
	Carry(peer uint32, whose byte, data []byte)
	Room() int        // bytes of one
	Others() []uint32 // that may be there
}

// Clock gives the time and turns on the loop.
type Clock interface {
	Now() Time
	After(d time.Duration, f func())
}

const (
	// spread is the time within which one of those that hear of a change from discovery tells all others: whoever draws the shortest wait. The
	// others then need not.
	spread = 100 * time.Millisecond
	// Each asks one other now and then what it may have missed; a fleet of n asks fifty times a second in all at the most.
	askEvery = time.Second
	askEach  = 20 * time.Millisecond
	// passTo is how many others hear of it from whoever hears something new.
	passTo = 3
	// answers and pushes are bounded, whatever is known.
	mostDatagrams = 16
	mostBackoff   = 30 * time.Second
)

// Link sends and takes floors. It belongs to the loop.
type Link struct {
	Transport    Transport
	Clock        Clock
	Rand         *rand.Rand
	Source       func() uint32 // whose numbering the own list has now
	RefetchAfter time.Duration // a proxy that is behind for so long asks discovery anew
	RefetchList  func()
	// Changed is told of hosts that are out now, or no longer.
	Changed func(ids []string)

	book    *Registry
	source  uint32
	pending []Watermark // told after a short wait, unless another does
	waits   bool
	closed  bool
	anewAt  Time
	backoff time.Duration
	asked   Time
}

// Run begins; it must be called once.
func (l *Link) Run() {
	l.book, l.source, l.backoff = NewRegistry(), l.Source(), l.RefetchAfter
	l.asked = l.Clock.Now() - Time(l.Rand.Int64N(int64(askEvery)))
	l.turn()
}

// Close ends it.
func (l *Link) Close() { l.closed = true }

// List takes the own list, or a change of it, and names hosts that are out now, or no longer.
func (l *Link) List(rev int64, whole bool, hosts []ListedHost) []string {
	var changed []string
	if s := l.Source(); s != l.source {
		l.source, l.pending, changed = s, nil, l.book.Forget()
	}
	news, ended := l.book.Listed(l.Clock.Now(), rev, whole, hosts)
	if l.book.Behind(l.Clock.Now()) == 0 {
		l.backoff, l.anewAt = l.RefetchAfter, 0
	}
	if l.pending = append(l.pending, news...); len(l.pending) > mostFloors {
		l.pending = l.pending[len(l.pending)-mostFloors:]
	}
	if len(l.pending) > 0 && !l.waits {
		l.waits = true
		l.Clock.After(time.Duration(l.Rand.Int64N(int64(spread))), l.tell)
	}
	return append(changed, ended...)
}

// Out tells whether a host that the own list calls usable gets nothing new. boot is its start, Unix milliseconds.
func (l *Link) Out(host string, boot int64) bool { return l.book.Out(l.Clock.Now(), host, boot) }

// tell tells all others what nobody has told meanwhile.
func (l *Link) tell() {
	l.waits = false
	var left []Watermark
	for _, f := range l.pending {
		if !l.book.wasTold(f) {
			left = append(left, f)
		}
	}
	if l.pending = nil; l.closed || len(left) == 0 {
		return
	}
	l.carry(left, l.Transport.Others()...)
}

// carry sends floors to some, as many as a bounded number of datagrams holds.
func (l *Link) carry(all []Watermark, peers ...uint32) {
	out := tells(l.source, all, l.Transport.Room())
	for _, peer := range peers {
		for _, data := range out[:min(len(out), mostDatagrams)] {
			l.Transport.Carry(peer, CarrierID, data)
		}
	}
}

// Receive takes a datagram.
func (l *Link) Receive(from uint32, data []byte) {
	m, err := read(data)
	if err != nil || l.closed || m.source != l.source {
		return // of another numbering nothing can be said
	}
	now := l.Clock.Now()
	if m.kind == kindTell {
		l.book.note(m.floors)
		changed := l.book.Heard(now, m.floors)
		l.pass(m.floors, changed)
		l.tellChanged(changed)
		return
	}
	l.carry(l.book.Above(now, m.rev), from)
	if m.rev > l.book.Rev() && l.book.Rev() >= 0 && now-l.asked >= Time(askEvery)/4 {
		l.asked = now
		l.Transport.Carry(from, CarrierID, ask(l.source, l.book.Rev())) // it knows more
	}
}

// pass passes on what is news here, to a few by chance: what was lost on its way to some comes to nearly all so.
func (l *Link) pass(all []Watermark, changed []string) {
	others := l.Transport.Others()
	all = slices.DeleteFunc(slices.Clone(all), func(f Watermark) bool { return !slices.Contains(changed, f.Host) })
	if len(all) == 0 || len(others) == 0 {
		return
	}
	for range passTo {
		l.carry(all, others[l.Rand.IntN(len(others))])
	}
}

// turn asks one other what was missed, drops what has lapsed, and has discovery asked anew where the own list stays behind.
func (l *Link) turn() {
	if l.closed {
		return
	}
	l.Clock.After(askEvery/4, l.turn)
	now := l.Clock.Now()
	l.tellChanged(l.book.Step(now))
	others := l.Transport.Others()
	if every := max(askEvery, time.Duration(len(others))*askEach); len(others) > 0 && now-l.asked >= Time(every) {
		l.asked = now
		l.Transport.Carry(others[l.Rand.IntN(len(others))], CarrierID, ask(l.source, l.book.Rev()))
	}
	since := l.book.Behind(now)
	if since == 0 || now-max(since, l.anewAt) < Time(l.backoff) {
		return
	}
	slog.Info("list_behind", "rev", l.book.Rev(), "for_ms", (now-since)/1e6)
	l.anewAt, l.backoff = now, min(2*l.backoff, mostBackoff)
	l.RefetchList()
}

func (l *Link) tellChanged(ids []string) {
	if len(ids) > 0 && !l.closed {
		l.Changed(ids)
	}
}
