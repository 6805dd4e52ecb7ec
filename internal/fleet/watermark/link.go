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
	MaxPayload() int  // bytes of one datagram
	Others() []uint32 // members that may be alive
}

// Clock gives the time, and calls functions on the event loop.
type Clock interface {
	Now() Time
	After(d time.Duration, f func())
}

const (
	// maxGossipDelay is the time within which one of those that hear of a change from discovery sends it to all others: whoever draws the shortest delay. The
	// others then need not.
	maxGossipDelay = 100 * time.Millisecond
	// Each member asks one other now and then what it may have missed; a fleet of n asks fifty times a second in all at the most.
	minQueryInterval       = time.Second
	queryIntervalPerMember = 20 * time.Millisecond
	updateInterval         = minQueryInterval / 4
	forwardTo              = 3 // others that hear of something new from each that hears it
	maxDatagrams           = 16
	maxRefetchBackoff      = 30 * time.Second
)

// Link sends and receives watermarks. It belongs to the event loop.
type Link struct {
	Transport    Transport
	Clock        Clock
	Rand         *rand.Rand
	Source       func() uint32 // whose numbering the own list has now
	RefetchAfter time.Duration // a list that is behind for so long is fetched from discovery anew
	RefetchList  func()
	Changed      func(ids []string) // called with hosts that are out now, or no longer

	registry    *Registry
	source      uint32
	pending     pendingGossip
	refetch     refetchBackoff
	lastQueryAt Time
	closed      bool
}

// pendingGossip is what is sent to all others after a short delay, unless another member has sent it.
type pendingGossip struct {
	watermarks []Watermark
	scheduled  bool
}

func (p *pendingGossip) add(news []Watermark) {
	p.watermarks = append(p.watermarks, news...)
	p.watermarks = p.watermarks[max(0, len(p.watermarks)-maxWatermarks):]
}

// refetchBackoff says when a list that stays behind is fetched anew.
type refetchBackoff struct {
	lastAt Time // 0: not since the list was last up to date
	wait   time.Duration
}

func (b *refetchBackoff) due(now, behindSince Time) bool {
	return now-max(behindSince, b.lastAt) >= Time(b.wait)
}

func (b *refetchBackoff) fetched(now Time) { b.lastAt, b.wait = now, min(2*b.wait, maxRefetchBackoff) }

// Run begins; it must be called once.
func (l *Link) Run() {
	l.registry, l.source, l.refetch = NewRegistry(), l.Source(), refetchBackoff{wait: l.RefetchAfter}
	l.lastQueryAt = l.Clock.Now() - Time(l.Rand.Int64N(int64(minQueryInterval)))
	l.periodicUpdate()
}

// Close ends it.
func (l *Link) Close() { l.closed = true }

// List takes the own list, complete or as a change, and names hosts that are out now, or no longer.
func (l *Link) List(revision int64, complete bool, hosts []ListedHost) (changed []string) {
	if s := l.Source(); s != l.source {
		l.source, l.pending.watermarks, changed = s, nil, l.registry.Reset()
	}
	news, ended := l.registry.UpdateList(l.Clock.Now(), revision, complete, hosts)
	if l.registry.BehindSince(l.Clock.Now()) == 0 {
		l.refetch = refetchBackoff{wait: l.RefetchAfter}
	}
	l.pending.add(news)
	if len(l.pending.watermarks) > 0 && !l.pending.scheduled {
		l.pending.scheduled = true
		l.Clock.After(time.Duration(l.Rand.Int64N(int64(maxGossipDelay))), l.gossipPending)
	}
	return append(changed, ended...)
}

// Out reports whether a host that the own list calls usable gets nothing new. startedAt is in Unix milliseconds.
func (l *Link) Out(host string, startedAt int64) bool {
	return l.registry.Out(l.Clock.Now(), host, startedAt)
}

// gossipPending sends all others what no other member has sent meanwhile.
func (l *Link) gossipPending() {
	news := slices.DeleteFunc(l.pending.watermarks, l.registry.wasGossiped)
	l.pending = pendingGossip{}
	if l.closed || len(news) == 0 {
		return
	}
	l.send(news, l.Transport.Others()...)
}

// send sends watermarks to some peers, as many as a bounded number of datagrams holds.
func (l *Link) send(watermarks []Watermark, peers ...uint32) {
	datagrams := gossip{watermarks}.encode(l.source, l.Transport.MaxPayload())
	for _, peer := range peers {
		for _, data := range datagrams[:min(len(datagrams), maxDatagrams)] {
			l.Transport.Carry(peer, CarrierID, data)
		}
	}
}

func (l *Link) query(now Time, peer uint32) {
	l.lastQueryAt = now
	l.Transport.Carry(peer, CarrierID, query{l.registry.Revision()}.encode(l.source))
}

// Receive takes a datagram. One that is malformed, or of another numbering, with which nothing can be compared, is ignored.
func (l *Link) Receive(from uint32, data []byte) {
	m, err := decode(data)
	if err != nil || l.closed || m.source != l.source {
		return
	}
	switch body := m.body.(type) {
	case gossip:
		l.handleGossip(body)
	case query:
		l.handleQuery(from, body)
	}
}

func (l *Link) handleGossip(g gossip) {
	l.registry.recordGossip(g.watermarks)
	changed := l.registry.Merge(l.Clock.Now(), g.watermarks)
	l.forward(g.watermarks, changed)
	l.notifyChanged(changed)
}

// handleQuery answers, and asks in turn if the peer has a newer list.
func (l *Link) handleQuery(from uint32, q query) {
	now, own := l.Clock.Now(), l.registry.Revision()
	l.send(l.registry.NewerThan(now, q.revision), from)
	if q.revision > own && own >= 0 && now-l.lastQueryAt >= Time(updateInterval) {
		l.query(now, from)
	}
}

// forward passes on what is new here to a few others by chance: so what was lost on its way to some comes to nearly all.
func (l *Link) forward(watermarks []Watermark, changed []string) {
	others := l.Transport.Others()
	news := slices.DeleteFunc(slices.Clone(watermarks), func(w Watermark) bool { return !slices.Contains(changed, w.Host) })
	if len(news) == 0 || len(others) == 0 {
		return
	}
	for range forwardTo {
		l.send(news, others[l.Rand.IntN(len(others))])
	}
}

// periodicUpdate asks one other what was missed, drops what has lapsed, and has the list fetched anew where it stays behind.
func (l *Link) periodicUpdate() {
	if l.closed {
		return
	}
	l.Clock.After(updateInterval, l.periodicUpdate)
	now := l.Clock.Now()
	l.notifyChanged(l.registry.Expire(now))
	others := l.Transport.Others()
	interval := max(minQueryInterval, time.Duration(len(others))*queryIntervalPerMember)
	if len(others) > 0 && now-l.lastQueryAt >= Time(interval) {
		l.query(now, others[l.Rand.IntN(len(others))])
	}
	since := l.registry.BehindSince(now)
	if since == 0 || !l.refetch.due(now, since) {
		return
	}
	slog.Info("list_behind", "rev", l.registry.Revision(), "for_ms", (now-since)/1e6)
	l.refetch.fetched(now)
	l.RefetchList()
}

func (l *Link) notifyChanged(ids []string) {
	if len(ids) > 0 && !l.closed {
		l.Changed(ids)
	}
}
