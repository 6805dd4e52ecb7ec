// Package watermark owns what proxies tell one another of upstream hosts that drain or are gone: a floor under each one's list. A proxy whose own
// list lags places nothing at a host of which another's newer list says so. A floor only ever takes a host out; hearing of one makes none usable.
// What is decided here is plain code over values, with time passed in; Link sends and takes the datagrams.
package watermark

import (
	"cmp"
	"maps"
	"slices"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

// State is what a list says of a host that gets nothing new.
type State uint8

// The states.
const (
	Up State = iota
	Draining
	Gone
)

// Lifetime is how long a floor holds after the list that it is from was last known to say so. Without it a word that was wrong, or of a numbering that
// began anew, would keep a host out for good.
const Lifetime = Time(30e9)

const (
	mostFloors = 4096
	goneKept   = 2 * Lifetime // for which a host that has left the own list is still told of
)

// Watermark is a list's word on one host.
type Watermark struct {
	Host      string
	StartedAt int64 // when the host last started, Unix milliseconds: a later start is not meant
	Revision  int64 // of the list that first said so
	State     State
	ValidFor  Time // for which the word holds still
}

// ListedHost is one host of the own list.
type ListedHost struct {
	Host      string
	StartedAt int64
	State     State
}

type own struct {
	boot  int64
	state State
	rev   int64 // of the list that brought this state
	at    Time
}

func (o own) floor(host string) Watermark { return Watermark{host, o.boot, o.rev, o.state, Lifetime} }

type word struct {
	Watermark
	until, since Time
}

// Registry is what one proxy knows: its own list, and what others' newer ones say.
type Registry struct {
	rev   int64 // of the own list; under 0: there is none
	list  map[string]own
	heard map[string]word
	said  map[string]int64 // what others have told of late, by hosts, up to which revision
}

// NewRegistry knows nothing.
func NewRegistry() *Registry {
	return &Registry{rev: -1, list: map[string]own{}, heard: map[string]word{}, said: map[string]int64{}}
}

// Rev is the own list's revision; under 0: there is none.
func (b *Registry) Rev() int64 { return b.rev }

// Forget is for a list that comes from another service from now on: its numbers say nothing beside those before. It gives the hosts that this
// concerns.
func (b *Registry) Forget() []string {
	ids := slices.Sorted(maps.Keys(b.heard))
	*b = *NewRegistry()
	return ids
}

// Listed takes the own list, or a change of it. news is what it says for the first time of hosts that get nothing new, except in a first list:
// everybody has that from discovery, and nobody is surprised. A whole list that is older than the one before, as an agent may push it after an outage,
// does not unsay what that one said: it holds as another's word does. changed names hosts of which a floor speaks no more, or speaks now.
func (b *Registry) Listed(now Time, rev int64, whole bool, hosts []ListedHost) (news []Watermark, changed []string) {
	first := b.rev < 0
	if !whole && rev < b.rev {
		return nil, nil // a change of a list that is older than the one held
	}
	if rev < b.rev {
		for id, o := range b.list {
			if w, known := b.heard[id]; o.state != Up && o.rev > rev && !(known && w.Revision >= o.rev) {
				b.heard[id] = word{o.floor(id), now + Lifetime, now}
				changed = append(changed, id)
			}
		}
		clear(b.list) // its revisions are those of a list that holds no longer
		first = true
	}
	named := map[string]bool{}
	for _, h := range hosts {
		named[h.Host] = true
		news = b.put(now, rev, h, news)
	}
	for id, o := range b.list {
		if whole && !named[id] && o.state != Gone {
			news = b.put(now, rev, ListedHost{id, o.boot, Gone}, news)
		} else if o.state == Gone && now-o.at > goneKept {
			delete(b.list, id)
		}
	}
	b.rev = rev
	for id, w := range b.heard {
		if w.Revision <= rev {
			delete(b.heard, id)
			changed = append(changed, id)
		}
	}
	slices.Sort(changed)
	if first {
		news = nil
	}
	return news, changed
}

func (b *Registry) put(now Time, rev int64, h ListedHost, news []Watermark) []Watermark {
	o, had := b.list[h.Host]
	if had && o.state == h.State && o.boot == h.StartedAt {
		return news
	}
	if !had && len(b.list) >= mostFloors {
		return news
	}
	o = own{h.StartedAt, h.State, rev, now}
	b.list[h.Host] = o
	if h.State == Up || !had && h.State == Gone {
		return news
	}
	return append(news, o.floor(h.Host))
}

// Heard takes another's word. changed names the hosts that are out now and were not.
func (b *Registry) Heard(now Time, all []Watermark) (changed []string) {
	for _, f := range all {
		w, had := b.heard[f.Host]
		had = had && now < w.until
		switch {
		case f.Revision <= b.rev, f.State == Up, f.ValidFor <= 0: // the own list knows better, or nothing is said
			continue
		case had && w.Revision > f.Revision:
			continue
		case had && w.Revision == f.Revision && w.StartedAt == f.StartedAt:
			w.until = max(w.until, now+min(f.ValidFor, Lifetime))
			b.heard[f.Host] = w
			continue
		case !had && len(b.heard) >= mostFloors:
			continue
		}
		n := word{f, now + min(f.ValidFor, Lifetime), now}
		if had {
			n.since = w.since
		}
		was := b.Out(now, f.Host, b.list[f.Host].boot)
		b.heard[f.Host] = n
		if b.Out(now, f.Host, b.list[f.Host].boot) != was {
			changed = append(changed, f.Host)
		}
	}
	return changed
}

// Out tells whether a host that the own list calls usable gets nothing new, by the word of a newer one.
func (b *Registry) Out(now Time, host string, boot int64) bool {
	w, is := b.heard[host]
	return is && now < w.until && w.Revision > b.rev && boot <= w.StartedAt
}

// Step drops what holds no longer, and names it.
func (b *Registry) Step(now Time) (changed []string) {
	for id, w := range b.heard {
		if now >= w.until {
			delete(b.heard, id)
			changed = append(changed, id)
		}
	}
	slices.Sort(changed)
	return changed
}

// Behind tells since when others have had a newer list than this one, as far as that keeps a host out here; 0: they have not.
func (b *Registry) Behind(now Time) (since Time) {
	for id, w := range b.heard {
		if o, is := b.list[id]; is && o.state == Up && b.Out(now, id, o.boot) && (since == 0 || w.since < since) {
			since = w.since
		}
	}
	return since
}

// Above is all that is known of hosts that get nothing new by lists newer than rev, sorted by revision: by the own list, and by others' for as long
// as their word still holds, so that no echo makes it hold longer.
func (b *Registry) Above(now Time, rev int64) []Watermark {
	var all []Watermark
	for id, o := range b.list {
		if o.state != Up && o.rev > rev && (o.state == Draining || now-o.at <= goneKept) {
			all = append(all, o.floor(id))
		}
	}
	for _, w := range b.heard {
		if w.Revision > rev && now < w.until {
			f := w.Watermark
			f.ValidFor = w.until - now
			all = append(all, f)
		}
	}
	slices.SortFunc(all, func(x, y Watermark) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Host, y.Host))
	})
	return all
}

// note notes what others have told, so that it need not be told once more; wasTold asks for it.
func (b *Registry) note(all []Watermark) {
	for _, f := range all {
		if len(b.said) >= mostFloors {
			clear(b.said) // it spares messages, no more
		}
		b.said[f.Host] = max(b.said[f.Host], f.Revision)
	}
}

func (b *Registry) wasTold(f Watermark) bool { return b.said[f.Host] >= f.Revision }
