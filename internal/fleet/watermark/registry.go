package watermark

import (
	"cmp"
	"maps"
	"slices"
)

// noRevision is the revision where there is no list.
const noRevision = -1

// ownHost is what the own endpoint list says of a host.
type ownHost struct {
	startedAt int64
	state     State
	revision  int64 // of the list that brought this state
	since     Time  // when this state was received
}

func (o ownHost) watermark(host string) Watermark {
	return Watermark{host, o.startedAt, o.revision, o.state, Lifetime}
}

// receivedWatermark is a watermark from another proxy.
type receivedWatermark struct {
	Watermark
	expiresAt    Time // when it expires
	blockedSince Time // when the first was received of those that have kept the host out without a gap
}

// Registry is what one proxy knows: its own list, and what others' newer ones say. A host is out here only by a watermark whose revision is newer
// than the own list's, so a proxy with the newest list is never overruled.
type Registry struct {
	revision int64 // of the own list; under 0: there is none
	own      map[string]ownHost
	received map[string]receivedWatermark
	gossiped map[string]int64 // by host: the newest revision that others have gossiped lately
}

// NewRegistry knows nothing.
func NewRegistry() *Registry {
	return &Registry{revision: noRevision, own: map[string]ownHost{}, received: map[string]receivedWatermark{}, gossiped: map[string]int64{}}
}

// Revision is the own list's; under 0: there is none.
func (r *Registry) Revision() int64 { return r.revision }

// Reset forgets everything, for a list that comes from another source from now on: its revisions can't be compared with those before. It gives the
// hosts that had watermarks.
func (r *Registry) Reset() (hosts []string) {
	hosts = slices.Sorted(maps.Keys(r.received))
	*r = *NewRegistry()
	return hosts
}

// UpdateList takes the own list, complete or as a change. fresh is the watermarks that it says for the first time; a first list, or a complete one
// that is older than the last, has none, since the others have the same from discovery. changed names hosts for which a watermark holds no longer,
// or holds now.
func (r *Registry) UpdateList(now Time, revision int64, complete bool, hosts []ListedHost) (fresh []Watermark, changed []string) {
	if !complete && revision < r.revision {
		return nil, nil // a change of an older list
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

// keepNewerEntries drops the own list for a complete one that is older, as an agent may push after an outage. What the newer one has said of hosts
// that drain or are gone is not revoked: it holds as another proxy's watermarks do.
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

// updateUnlisted marks hosts gone that a complete list does not name, and forgets those that have been gone for goneRetention.
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

// dropOutdated drops watermarks of lists that are no newer than the own one.
func (r *Registry) dropOutdated() (hosts []string) {
	for host, w := range r.received {
		if w.Revision <= r.revision {
			delete(r.received, host)
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Merge takes another proxy's watermarks. changed names the hosts for which Out has changed.
func (r *Registry) Merge(now Time, all []Watermark) (changed []string) {
	for _, w := range all {
		if r.merge(now, w) {
			changed = append(changed, w.Host)
		}
	}
	return changed
}

func (r *Registry) merge(now Time, w Watermark) (changed bool) {
	if w.Revision <= r.revision || w.State == Up || w.ValidFor <= 0 { // the own list is as new, or the watermark has no effect
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

// Blocks reports whether a host that the own list calls usable gets nothing new, by a watermark of a newer list. A host that has restarted since
// is not meant.
func (r *Registry) Blocks(now Time, host string, startedAt int64) bool {
	w, received := r.received[host]
	return received && now < w.expiresAt && w.Revision > r.revision && startedAt <= w.StartedAt
}

// Expire drops watermarks whose time has passed, and names their hosts.
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

// BehindSince is since when the own list has called a host usable that a newer list keeps out here; 0: there is none.
func (r *Registry) BehindSince(now Time) (since Time) {
	for host, w := range r.received {
		o, listed := r.own[host]
		if listed && o.state == Up && r.Blocks(now, host, o.startedAt) && (since == 0 || w.blockedSince < since) {
			since = w.blockedSince
		}
	}
	return since
}

// NewerThan is all watermarks of lists newer than a revision, sorted by revision: the own list's with a full lifetime, and those received with what
// is left of theirs. So no watermark is prolonged by being passed around.
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

// recordGossip records what others have sent, so that this proxy need not send it too.
func (r *Registry) recordGossip(all []Watermark) {
	for _, w := range all {
		if len(r.gossiped) >= maxWatermarks {
			clear(r.gossiped) // costs duplicate messages, and nothing else
		}
		r.gossiped[w.Host] = max(r.gossiped[w.Host], w.Revision)
	}
}

func (r *Registry) wasGossiped(w Watermark) bool { return r.gossiped[w.Host] >= w.Revision }
