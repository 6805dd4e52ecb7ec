package watermark

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"
)

// PayloadChannel is this package's channel among those that membership carries.
const PayloadChannel = 'f'

// Transport carries datagrams to the other members, which are known by their ids.
type Transport interface {
	SendPayload(member uint32, channel byte, data []byte)
	MaxPayload() int  // bytes of one datagram
	Others() []uint32 // members that may be alive
}

// Clock gives the time, and calls functions on the event loop.
type Clock interface {
	Now() Time
	After(d time.Duration, f func())
}

const (
	// maxGossipDelay bounds the random delay before a proxy gossips a change of its list. Of all that have it from discovery the one with the shortest
	// delay sends it; the others find that it was sent, and need not.
	maxGossipDelay = 100 * time.Millisecond
	// Each member queries one other now and then for what it may have missed. The interval grows with the fleet, so that all together send fifty
	// queries a second at most.
	minQueryInterval       = time.Second
	queryIntervalPerMember = 20 * time.Millisecond
	updateInterval         = minQueryInterval / 4
	forwardCount           = 3  // others to which a member forwards a watermark that is new to it
	maxDatagrams           = 16 // to a member at a time
	maxRefetchBackoff      = 30 * time.Second
)

// Link sends and receives watermarks. It belongs to the event loop.
type Link struct {
	Transport    Transport
	Clock        Clock
	Rand         *rand.Rand
	Source       func() uint32 // of the own list now: revisions are comparable within one source only
	RefetchAfter time.Duration // for how long the list may be behind before it is fetched from discovery again
	RefetchList  func()
	HostsChanged func(hosts []string) // called with hosts that are out now, or no longer

	registry    *Registry
	source      uint32
	pending     pendingGossip
	refetch     refetchBackoff
	lastQueryAt Time
	closed      bool
}

// pendingGossip is what is sent to all others after a random delay, unless another member has sent it by then.
type pendingGossip struct {
	watermarks []Watermark
	scheduled  bool
}

func (p *pendingGossip) add(fresh []Watermark) {
	p.watermarks = append(p.watermarks, fresh...)
	p.watermarks = p.watermarks[max(0, len(p.watermarks)-maxWatermarks):]
}

// refetchBackoff says when a list that stays behind is fetched again.
type refetchBackoff struct {
	lastAt Time // of the last fetch; 0: none since the list was last up to date
	wait   time.Duration
}

func (b *refetchBackoff) due(now, behindSince Time) bool {
	return now-max(behindSince, b.lastAt) >= Time(b.wait)
}

func (b *refetchBackoff) fetched(now Time) { b.lastAt, b.wait = now, min(2*b.wait, maxRefetchBackoff) }

// Run starts the link; it must be called once.
func (l *Link) Run() {
	l.registry, l.source, l.refetch = NewRegistry(), l.Source(), refetchBackoff{wait: l.RefetchAfter}
	l.lastQueryAt = l.Clock.Now() - Time(l.Rand.Int64N(int64(minQueryInterval)))
	l.periodicUpdate()
}

// Close ends the link: it sends and receives nothing more.
func (l *Link) Close() { l.closed = true }

// ReceiveList takes the own endpoint list, complete or as a change, and names hosts that are out now, or no longer. A list of another source drops all
// that is known: revisions are comparable within one source only.
func (l *Link) ReceiveList(revision int64, complete bool, hosts []ListedHost) (changed []string) {
	if s := l.Source(); s != l.source {
		l.source, l.pending.watermarks, changed = s, nil, l.registry.Reset()
	}
	fresh, ended := l.registry.UpdateList(l.Clock.Now(), revision, complete, hosts)
	if l.registry.BehindSince(l.Clock.Now()) == 0 {
		l.refetch = refetchBackoff{wait: l.RefetchAfter}
	}
	l.pending.add(fresh)
	if len(l.pending.watermarks) > 0 && !l.pending.scheduled {
		l.pending.scheduled = true
		l.Clock.After(time.Duration(l.Rand.Int64N(int64(maxGossipDelay))), l.gossipPending)
	}
	return append(changed, ended...)
}

// Blocks reports whether a host that the own list calls usable gets nothing new. startedAt is in Unix milliseconds.
func (l *Link) Blocks(host string, startedAt int64) bool {
	return l.registry.Blocks(l.Clock.Now(), host, startedAt)
}

// gossipPending sends to all others what no other member has sent meanwhile.
func (l *Link) gossipPending() {
	unsent := slices.DeleteFunc(l.pending.watermarks, l.registry.wasGossiped)
	l.pending = pendingGossip{}
	if l.closed || len(unsent) == 0 {
		return
	}
	l.send(unsent, l.Transport.Others()...)
}

// send sends watermarks to some members, as many as maxDatagrams hold.
func (l *Link) send(watermarks []Watermark, members ...uint32) {
	datagrams := gossip{watermarks}.encode(l.source, l.Transport.MaxPayload())
	for _, member := range members {
		for _, data := range datagrams[:min(len(datagrams), maxDatagrams)] {
			l.Transport.SendPayload(member, PayloadChannel, data)
		}
	}
}

func (l *Link) query(now Time, member uint32) {
	l.lastQueryAt = now
	l.Transport.SendPayload(member, PayloadChannel, query{l.registry.Revision()}.encode(l.source))
}

// Receive takes a datagram of another member. One that is malformed, or whose revisions are of another source and so not comparable, is ignored.
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

// handleQuery answers, and queries in turn a member that has a newer list.
func (l *Link) handleQuery(from uint32, q query) {
	now, own := l.Clock.Now(), l.registry.Revision()
	l.send(l.registry.NewerThan(now, q.revision), from)
	if q.revision > own && own >= 0 && now-l.lastQueryAt >= Time(updateInterval) {
		l.query(now, from)
	}
}

// forward sends what is new here to a few others, drawn at random: so it reaches nearly all, also those to which the sender's datagram was lost.
func (l *Link) forward(watermarks []Watermark, changed []string) {
	others := l.Transport.Others()
	fresh := slices.DeleteFunc(slices.Clone(watermarks), func(w Watermark) bool { return !slices.Contains(changed, w.Host) })
	if len(fresh) == 0 || len(others) == 0 {
		return
	}
	for range forwardCount {
		l.send(fresh, others[l.Rand.IntN(len(others))])
	}
}

// periodicUpdate drops watermarks that have expired, queries one other member, and has the list fetched again where it stays behind.
func (l *Link) periodicUpdate() {
	if l.closed {
		return
	}
	l.Clock.After(updateInterval, l.periodicUpdate)
	now := l.Clock.Now()
	l.notifyChanged(l.registry.Expire(now))
	l.queryOneOther(now)
	l.refetchIfBehind(now)
}

func (l *Link) queryOneOther(now Time) {
	others := l.Transport.Others()
	interval := max(minQueryInterval, time.Duration(len(others))*queryIntervalPerMember)
	if len(others) > 0 && now-l.lastQueryAt >= Time(interval) {
		l.query(now, others[l.Rand.IntN(len(others))])
	}
}

func (l *Link) refetchIfBehind(now Time) {
	since := l.registry.BehindSince(now)
	if since == 0 || !l.refetch.due(now, since) {
		return
	}
	slog.Info("list_behind", "rev", l.registry.Revision(), "behind_ms", (now-since)/1e6)
	l.refetch.fetched(now)
	l.RefetchList()
}

func (l *Link) notifyChanged(hosts []string) {
	if len(hosts) > 0 && !l.closed {
		l.HostsChanged(hosts)
	}
}
