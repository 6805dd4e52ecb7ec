package watermark

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"
)

// PayloadChannel identifies the payloads of this package among those that membership carries.
const PayloadChannel = 'f'

// Transport sends datagrams to the other members, which are identified by their IDs.
type Transport interface {
	SendPayload(member uint32, channel byte, data []byte)
	MaxPayload() int  // largest datagram in bytes
	Others() []uint32 // other members that may be alive
}

// Clock returns the time and calls functions on the event loop.
type Clock interface {
	Now() Time
	After(d time.Duration, f func())
}

const (
	// maxGossipDelay bounds the random delay before a proxy gossips a change of its list. Of all
	// proxies that received the change from discovery, the one with the shortest delay sends it.
	// The others see that it was sent, and do not send it.
	maxGossipDelay = 100 * time.Millisecond
	// Each member periodically queries one other member for watermarks that it may have missed. The
	// interval grows with the fleet, so that all members together send at most fifty queries per
	// second.
	minQueryInterval       = time.Second
	queryIntervalPerMember = 20 * time.Millisecond
	updateInterval         = minQueryInterval / 4 // time between two calls of periodicUpdate
	forwardCount           = 3                    // random members to which a member forwards a watermark that is new to it
	maxDatagrams           = 16                   // sent to one member at a time
	maxRefetchBackoff      = 30 * time.Second     // longest time between two fetches of a list that stays behind
)

// Link sends and receives watermarks. All its methods must be called on the event loop.
type Link struct {
	Transport    Transport
	Clock        Clock
	Rand         *rand.Rand
	Source       func() uint32        // returns the source of this proxy's list; revisions are comparable only within one source
	RefetchAfter time.Duration        // how long the list may be behind (see Registry.BehindSince) before it is fetched from discovery again
	RefetchList  func()               // starts to fetch the list from discovery again
	HostsChanged func(hosts []string) // called with hosts for which Blocks may have changed, unless ReceiveList returns them

	registry    *Registry
	source      uint32 // of the list in the registry
	pending     pendingGossip
	refetch     refetchBackoff
	lastQueryAt Time // before the first query, a random time within the last minQueryInterval
	closed      bool
}

// pendingGossip holds the watermarks that are sent to all other members after a random delay,
// unless another member has sent them by then.
type pendingGossip struct {
	watermarks []Watermark
	scheduled  bool // whether gossipPending will be called
}

// add appends watermarks, and drops the oldest beyond maxWatermarks.
func (p *pendingGossip) add(fresh []Watermark) {
	p.watermarks = append(p.watermarks, fresh...)
	p.watermarks = p.watermarks[max(0, len(p.watermarks)-maxWatermarks):]
}

// refetchBackoff decides when a list that stays behind is fetched again.
type refetchBackoff struct {
	lastAt Time          // time of the last fetch; 0 if there was none since the list was last up to date
	wait   time.Duration // minimum time before the next fetch
}

// due reports whether a list that has been behind since behindSince must be fetched now.
func (b *refetchBackoff) due(now, behindSince Time) bool {
	return now-max(behindSince, b.lastAt) >= Time(b.wait)
}

// fetched records a fetch and doubles the wait up to maxRefetchBackoff.
func (b *refetchBackoff) fetched(now Time) { b.lastAt, b.wait = now, min(2*b.wait, maxRefetchBackoff) }

// Run starts the link. It must be called once, before any other method.
func (l *Link) Run() {
	l.registry, l.source, l.refetch = NewRegistry(), l.Source(), refetchBackoff{wait: l.RefetchAfter}
	l.lastQueryAt = l.Clock.Now() - Time(l.Rand.Int64N(int64(minQueryInterval))) // members query at different times
	l.periodicUpdate()
}

// Close stops the link. It sends and receives nothing afterwards.
func (l *Link) Close() { l.closed = true }

// ReceiveList updates this proxy's endpoint list with a complete list, or with a change to it if
// complete is false, and returns the hosts for which Blocks may have changed. A list of another
// source discards all known watermarks, because revisions are comparable only within one source. If
// hosts have become draining or gone, their watermarks are sent to the other members after a random
// delay.
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

// Blocks reports whether a host that is up in this proxy's list must get nothing new. startedAt is
// in Unix milliseconds.
func (l *Link) Blocks(host string, startedAt int64) bool {
	return l.registry.Blocks(l.Clock.Now(), host, startedAt)
}

// gossipPending sends the pending watermarks that no other member has sent meanwhile to all other
// members.
func (l *Link) gossipPending() {
	unsent := slices.DeleteFunc(l.pending.watermarks, l.registry.wasGossiped)
	l.pending = pendingGossip{}
	if l.closed || len(unsent) == 0 {
		return
	}
	l.send(unsent, l.Transport.Others()...)
}

// send sends watermarks to the given members, at most maxDatagrams datagrams to each.
func (l *Link) send(watermarks []Watermark, members ...uint32) {
	datagrams := gossip{watermarks}.encode(l.source, l.Transport.MaxPayload())
	for _, member := range members {
		for _, data := range datagrams[:min(len(datagrams), maxDatagrams)] {
			l.Transport.SendPayload(member, PayloadChannel, data)
		}
	}
}

// query requests the watermarks that are newer than this proxy's list from a member.
func (l *Link) query(now Time, member uint32) {
	l.lastQueryAt = now
	l.Transport.SendPayload(member, PayloadChannel, query{l.registry.Revision()}.encode(l.source))
}

// Receive handles a datagram from another member. It ignores a malformed datagram, and one whose
// revisions belong to another source and are therefore not comparable.
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

// handleGossip merges the watermarks of another member and forwards those that are new here.
func (l *Link) handleGossip(g gossip) {
	l.registry.recordGossip(g.watermarks)
	changed := l.registry.Merge(l.Clock.Now(), g.watermarks)
	l.forward(g.watermarks, changed)
	l.notifyChanged(changed)
}

// handleQuery replies with newer watermarks. If the sender has a newer list, it also queries the
// sender.
func (l *Link) handleQuery(from uint32, q query) {
	now, ownRevision := l.Clock.Now(), l.registry.Revision()
	l.send(l.registry.NewerThan(now, q.revision), from)
	if q.revision > ownRevision && ownRevision >= 0 && now-l.lastQueryAt >= Time(updateInterval) {
		l.query(now, from)
	}
}

// forward sends the watermarks that are new here to a few random members. They reach nearly all
// members this way, including those that did not receive the sender's datagram.
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

// periodicUpdate drops expired watermarks, queries one other member, and refetches the list if it
// stays behind.
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

// queryOneOther queries a random other member if the query interval has passed.
func (l *Link) queryOneOther(now Time) {
	others := l.Transport.Others()
	interval := max(minQueryInterval, time.Duration(len(others))*queryIntervalPerMember)
	if len(others) > 0 && now-l.lastQueryAt >= Time(interval) {
		l.query(now, others[l.Rand.IntN(len(others))])
	}
}

// refetchIfBehind fetches the list again if it has been behind for RefetchAfter, and backs off while
// it stays behind.
func (l *Link) refetchIfBehind(now Time) {
	since := l.registry.BehindSince(now)
	if since == 0 || !l.refetch.due(now, since) {
		return
	}
	slog.Info("list_behind", "rev", l.registry.Revision(), "behind_ms", (now-since)/1e6)
	l.refetch.fetched(now)
	l.RefetchList()
}

// notifyChanged calls HostsChanged if there are hosts.
func (l *Link) notifyChanged(hosts []string) {
	if len(hosts) > 0 && !l.closed {
		l.HostsChanged(hosts)
	}
}
