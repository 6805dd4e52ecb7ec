package watermark

import (
	"cmp"
	"maps"
	"slices"
)

// noRevision is the revision if there is no list.
const noRevision = -1

// ownHost is the entry of a host in this proxy's endpoint list.
type ownHost struct {
	startedAt int64 // Unix milliseconds
	state     State
	revision  int64 // of the list that introduced this state
	since     Time  // when this state was received
}

// watermark returns the watermark of a host of this proxy's list, with a full lifetime.
func (o ownHost) watermark(host string) Watermark {
	return Watermark{host, o.startedAt, o.revision, o.state, Lifetime}
}

// receivedWatermark is a watermark from another proxy, or one kept from a newer list of this proxy.
type receivedWatermark struct {
	Watermark
	expiresAt    Time // when it expires
	blockedSince Time // when the first of the watermarks that have blocked the host without a gap was received
}

// Registry holds what one proxy knows: its own list, and the watermarks of others' newer lists. A
// host is blocked only by a watermark whose revision is newer than that of its own list, so a proxy
// with the newest list is never overruled.
type Registry struct {
	revision int64 // of this proxy's list; negative if there is none
	own      map[string]ownHost
	received map[string]receivedWatermark
	gossiped map[string]int64 // by host: the newest revision that other proxies have gossiped recently
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{revision: noRevision, own: map[string]ownHost{}, received: map[string]receivedWatermark{}, gossiped: map[string]int64{}}
}

// Revision returns the revision of this proxy's list. It is negative if there is none.
func (r *Registry) Revision() int64 { return r.revision }

// Reset clears the registry for a list from another source, whose revisions are not comparable with
// the earlier ones. It returns the hosts that had received watermarks.
func (r *Registry) Reset() (hosts []string) {
	hosts = slices.Sorted(maps.Keys(r.received))
	*r = *NewRegistry()
	return hosts
}

// UpdateList updates this proxy's list with a complete list, or with a change to it if complete is
// false. It ignores a change with an older revision than the list. fresh holds the watermarks that
// the list introduces. It is empty for a first list and for a complete list that is older than the
// last, because the other proxies receive the same list from discovery. changed holds the hosts whose
// received watermark was added or dropped, so that Blocks may have changed for them.
func (r *Registry) UpdateList(now Time, revision int64, complete bool, hosts []ListedHost) (fresh []Watermark, changed []string) {
	if !complete && revision < r.revision {
		return nil, nil // a change to an older list
	}
	firstOrOlder := r.revision < 0 || revision < r.revision
	if revision < r.revision {
		changed = r.keepNewerEntries(now, revision)
	}
	for _, h := range hosts {
		fresh = r.updateHost(now, revision, h, fresh)
	}
	fresh = r.updateUnlisted(now, revision, complete, hosts, fresh)
	r.revision = revision
	changed = append(changed, r.dropOutdated()...)
	slices.Sort(changed)
	if firstOrOlder {
		fresh = nil
	}
	return fresh, changed
}

// keepNewerEntries clears this proxy's list before a complete one that is older replaces it; an agent
// may push an older list after an outage. Hosts that were draining or gone in the newer list are
// not released: they are kept as watermarks like those from other proxies.
func (r *Registry) keepNewerEntries(now Time, revision int64) (changed []string) {
	for host, o := range r.own {
		w, known := r.received[host]
		if o.state != Up && o.revision > revision && !(known && w.Revision >= o.revision) {
			r.received[host] = receivedWatermark{o.watermark(host), now + Lifetime, now}
			changed = append(changed, host)
		}
	}
	clear(r.own)
	return changed
}

// updateUnlisted marks the hosts that a complete list does not name as gone, appends their watermarks
// to fresh, and forgets the hosts that have been gone for longer than goneRetention.
func (r *Registry) updateUnlisted(now Time, revision int64, complete bool, hosts []ListedHost, fresh []Watermark) []Watermark {
	named := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		named[h.Host] = true
	}
	for host, o := range r.own {
		if complete && !named[host] && o.state != Gone {
			fresh = r.updateHost(now, revision, ListedHost{host, o.startedAt, Gone}, fresh)
		} else if o.state == Gone && now-o.since > goneRetention {
			delete(r.own, host)
		}
	}
	return fresh
}

// updateHost updates one host of this proxy's list. It returns fresh, with the host's watermark
// appended if the host has become draining or gone, unless it is new and gone. A new host beyond
// maxWatermarks is ignored.
func (r *Registry) updateHost(now Time, revision int64, h ListedHost, fresh []Watermark) []Watermark {
	o, had := r.own[h.Host]
	if had && o.state == h.State && o.startedAt == h.StartedAt {
		return fresh
	}
	if !had && len(r.own) >= maxWatermarks {
		return fresh
	}
	o = ownHost{h.StartedAt, h.State, revision, now}
	r.own[h.Host] = o
	if h.State == Up || !had && h.State == Gone {
		return fresh
	}
	return append(fresh, o.watermark(h.Host))
}

// dropOutdated drops watermarks of lists that are not newer than this proxy's list, and returns
// their hosts.
func (r *Registry) dropOutdated() (hosts []string) {
	for host, w := range r.received {
		if w.Revision <= r.revision {
			delete(r.received, host)
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Merge adds watermarks of other proxies' lists and returns the hosts for which Blocks has changed.
func (r *Registry) Merge(now Time, all []Watermark) (changed []string) {
	for _, w := range all {
		if r.merge(now, w) {
			changed = append(changed, w.Host)
		}
	}
	return changed
}

// merge adds one watermark and reports whether Blocks has changed for its host.
func (r *Registry) merge(now Time, w Watermark) (changed bool) {
	if w.Revision <= r.revision || w.State == Up || w.ValidFor <= 0 { // this proxy's list is as new, or the watermark blocks nothing
		return false
	}
	until := now + min(w.ValidFor, Lifetime)
	old, valid := r.received[w.Host]
	valid = valid && now < old.expiresAt
	switch {
	case valid && old.Revision > w.Revision:
		return false
	case valid && old.Revision == w.Revision && old.StartedAt == w.StartedAt:
		old.expiresAt = max(old.expiresAt, until)
		r.received[w.Host] = old
		return false
	case !valid && len(r.received) >= maxWatermarks:
		return false
	}
	next := receivedWatermark{w, until, now}
	if valid {
		next.blockedSince = old.blockedSince
	}
	wasBlocked := r.Blocks(now, w.Host, r.own[w.Host].startedAt)
	r.received[w.Host] = next
	return r.Blocks(now, w.Host, r.own[w.Host].startedAt) != wasBlocked
}

// Blocks reports whether a watermark of a newer list blocks a host that is up in this proxy's list. A
// watermark does not apply to a host that started after the watermark's StartedAt.
func (r *Registry) Blocks(now Time, host string, startedAt int64) bool {
	w, received := r.received[host]
	return received && now < w.expiresAt && w.Revision > r.revision && startedAt <= w.StartedAt
}

// Expire drops expired watermarks and returns their hosts, sorted.
func (r *Registry) Expire(now Time) (changed []string) {
	for host, w := range r.received {
		if now >= w.expiresAt {
			delete(r.received, host)
			changed = append(changed, host)
		}
	}
	slices.Sort(changed)
	return changed
}

// BehindSince returns since when this proxy's list is behind: the earliest time since which a newer
// list blocks a host that is up in this proxy's list. It returns 0 if there is no such host.
func (r *Registry) BehindSince(now Time) (since Time) {
	for host, w := range r.received {
		o, listed := r.own[host]
		if listed && o.state == Up && r.Blocks(now, host, o.startedAt) && (since == 0 || w.blockedSince < since) {
			since = w.blockedSince
		}
	}
	return since
}

// NewerThan returns all watermarks of lists newer than revision, sorted by revision. Those of this
// proxy's list have a full lifetime. Received ones have the rest of theirs, so that forwarding does
// not prolong a watermark.
func (r *Registry) NewerThan(now Time, revision int64) []Watermark {
	var all []Watermark
	for host, o := range r.own {
		if o.state != Up && o.revision > revision && (o.state == Draining || now-o.since <= goneRetention) {
			all = append(all, o.watermark(host))
		}
	}
	for _, received := range r.received {
		if received.Revision > revision && now < received.expiresAt {
			w := received.Watermark
			w.ValidFor = received.expiresAt - now
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(x, y Watermark) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Host, y.Host))
	})
	return all
}

// recordGossip records what other proxies have sent, so that this proxy does not send it too.
func (r *Registry) recordGossip(all []Watermark) {
	for _, w := range all {
		if len(r.gossiped) >= maxWatermarks {
			clear(r.gossiped) // only causes duplicate messages
		}
		r.gossiped[w.Host] = max(r.gossiped[w.Host], w.Revision)
	}
}

// wasGossiped reports whether another proxy has sent this watermark or a newer one for its host.
func (r *Registry) wasGossiped(w Watermark) bool { return r.gossiped[w.Host] >= w.Revision }
