package watermark

import (
	"cmp"
	"maps"
	"slices"
)

// noRevision is the revision where there is no list.
const noRevision = -1

// ownHost is what the own list says of a host.
type ownHost struct {
	startedAt int64
	state     State
	revision  int64 // of the list that brought this state
	since     Time
}

func (o ownHost) watermark(host string) Watermark {
	return Watermark{host, o.startedAt, o.revision, o.state, Lifetime}
}

// receivedWatermark is another proxy's watermark.
type receivedWatermark struct {
	Watermark
	until Time
	since Time // when the host's first valid watermark was received
}

// Registry is what one proxy knows: its own list, and what others' newer ones say.
type Registry struct {
	revision int64 // of the own list; under 0: there is none
	own      map[string]ownHost
	received map[string]receivedWatermark
	gossiped map[string]int64 // up to which revision others have gossiped about a host lately
}

// NewRegistry knows nothing.
func NewRegistry() *Registry {
	return &Registry{revision: noRevision, own: map[string]ownHost{}, received: map[string]receivedWatermark{}, gossiped: map[string]int64{}}
}

// Revision is the own list's; under 0: there is none.
func (r *Registry) Revision() int64 { return r.revision }

// Reset is for a list that comes from another service from now on: its revisions can't be compared with those before. It gives the hosts that had
// watermarks.
func (r *Registry) Reset() (hosts []string) {
	hosts = slices.Sorted(maps.Keys(r.received))
	*r = *NewRegistry()
	return hosts
}

// UpdateList takes the own list, complete or as a change. news is what it says for the first time of hosts that get nothing new, except in a first
// list, or a complete one that is older than the last: everybody has these from discovery. changed names hosts for which a watermark holds no longer, or holds now.
func (r *Registry) UpdateList(now Time, revision int64, complete bool, hosts []ListedHost) (news []Watermark, changed []string) {
	if !complete && revision < r.revision {
		return nil, nil // a change of a list that is older than the one here
	}
	unannounced := r.revision < 0 || revision < r.revision
	if revision < r.revision {
		changed = r.supersedeList(now, revision)
	}
	for _, h := range hosts {
		news = r.updateHost(now, revision, h, news)
	}
	news = r.updateUnnamed(now, revision, complete, hosts, news)
	r.revision = revision
	changed = append(changed, r.dropOutdated()...)
	slices.Sort(changed)
	if unannounced {
		news = nil
	}
	return news, changed
}

// supersedeList drops the own list for a complete one that is older, as an agent may push it after an outage. That does not revoke the newer one's
// watermarks: they hold as another proxy's do.
func (r *Registry) supersedeList(now Time, revision int64) (changed []string) {
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

// updateUnnamed takes hosts that a complete list does not name for gone, and forgets those that have been gone for long.
func (r *Registry) updateUnnamed(now Time, revision int64, complete bool, hosts []ListedHost, news []Watermark) []Watermark {
	named := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		named[h.Host] = true
	}
	for host, o := range r.own {
		if complete && !named[host] && o.state != Gone {
			news = r.updateHost(now, revision, ListedHost{host, o.startedAt, Gone}, news)
		} else if o.state == Gone && now-o.since > goneRetention {
			delete(r.own, host)
		}
	}
	return news
}

func (r *Registry) updateHost(now Time, revision int64, h ListedHost, news []Watermark) []Watermark {
	o, had := r.own[h.Host]
	if had && o.state == h.State && o.startedAt == h.StartedAt {
		return news
	}
	if !had && len(r.own) >= maxWatermarks {
		return news
	}
	o = ownHost{h.StartedAt, h.State, revision, now}
	r.own[h.Host] = o
	if h.State == Up || !had && h.State == Gone {
		return news
	}
	return append(news, o.watermark(h.Host))
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

// Merge takes another proxy's watermarks. changed names the hosts that are out now and were not.
func (r *Registry) Merge(now Time, all []Watermark) (changed []string) {
	for _, w := range all {
		if r.merge(now, w) {
			changed = append(changed, w.Host)
		}
	}
	return changed
}

func (r *Registry) merge(now Time, w Watermark) (changed bool) {
	if w.Revision <= r.revision || w.State == Up || w.ValidFor <= 0 { // the own list is as new, or it says nothing
		return false
	}
	until := now + min(w.ValidFor, Lifetime)
	old, had := r.received[w.Host]
	had = had && now < old.until
	switch {
	case had && old.Revision > w.Revision:
		return false
	case had && old.Revision == w.Revision && old.StartedAt == w.StartedAt:
		old.until = max(old.until, until)
		r.received[w.Host] = old
		return false
	case !had && len(r.received) >= maxWatermarks:
		return false
	}
	heard := receivedWatermark{w, until, now}
	if had {
		heard.since = old.since
	}
	wasOut := r.Out(now, w.Host, r.own[w.Host].startedAt)
	r.received[w.Host] = heard
	return r.Out(now, w.Host, r.own[w.Host].startedAt) != wasOut
}

// Out reports whether a host that the own list calls usable gets nothing new, by a watermark of a newer list.
func (r *Registry) Out(now Time, host string, startedAt int64) bool {
	w, heard := r.received[host]
	return heard && now < w.until && w.Revision > r.revision && startedAt <= w.StartedAt
}

// Expire drops watermarks that hold no longer, and names their hosts.
func (r *Registry) Expire(now Time) (changed []string) {
	for host, w := range r.received {
		if now >= w.until {
			delete(r.received, host)
			changed = append(changed, host)
		}
	}
	slices.Sort(changed)
	return changed
}

// BehindSince is since when others have had a newer list than this one, as far as that keeps a host out here; 0: they have not.
func (r *Registry) BehindSince(now Time) (since Time) {
	for host, w := range r.received {
		o, listed := r.own[host]
		if listed && o.state == Up && r.Out(now, host, o.startedAt) && (since == 0 || w.since < since) {
			since = w.since
		}
	}
	return since
}

// NewerThan is all that is known of hosts that get nothing new by lists newer than a revision, sorted by revision: by the own list, and by others' for
// as long as their watermarks still hold, so that no echo makes one hold longer.
func (r *Registry) NewerThan(now Time, revision int64) []Watermark {
	var all []Watermark
	for host, o := range r.own {
		if o.state != Up && o.revision > revision && (o.state == Draining || now-o.since <= goneRetention) {
			all = append(all, o.watermark(host))
		}
	}
	for _, heard := range r.received {
		if heard.Revision > revision && now < heard.until {
			w := heard.Watermark
			w.ValidFor = heard.until - now
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(x, y Watermark) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Host, y.Host))
	})
	return all
}

// recordGossip records what others have sent, so that it need not be sent once more.
func (r *Registry) recordGossip(all []Watermark) {
	for _, w := range all {
		if len(r.gossiped) >= maxWatermarks {
			clear(r.gossiped) // costs messages, and nothing else
		}
		r.gossiped[w.Host] = max(r.gossiped[w.Host], w.Revision)
	}
}

func (r *Registry) wasGossiped(w Watermark) bool { return r.gossiped[w.Host] >= w.Revision }
