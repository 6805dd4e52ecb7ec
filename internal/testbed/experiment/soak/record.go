package soak

import (
	"sync"
	"time"
)

// Record is what happened to each request, from both sides of the proxies.
type Record struct {
	mu       sync.Mutex
	arrivals map[string][]*arrival // by the request's id, in the order in which they came
	told     map[tellKey][]telling // what lives of proxies were told of hosts
}

// telling is one list's word on a host, written to a life of a proxy.
type telling struct {
	at    time.Time
	state string
	by    string // the list
}

// tellKey is a host as one life of a proxy sees it.
type tellKey struct {
	life *life
	host string
}

// NewRecord makes an empty one.
func NewRecord() *Record {
	return &Record{arrivals: map[string][]*arrival{}, told: map[tellKey][]telling{}}
}

// arrival is one attempt as its host received it: the whole first line.
type arrival struct {
	id, host string
	at       time.Time

	mu      sync.Mutex
	said    string // what the host answered; "": nothing
	endedBy string // "host" or "proxy"; "": it stands
	endedAt time.Time
}

func (r *Record) arrived(id, host string) *arrival {
	a := &arrival{id: id, host: host, at: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[id] = append(r.arrivals[id], a)
	return a
}

func (r *Record) of(id string) []*arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*arrival(nil), r.arrivals[id]...)
}

// tell notes that a list with a host's state was written to a proxy.
func (r *Record) tell(l *life, host, state, by string, at time.Time) {
	k := tellKey{l, host}
	r.mu.Lock()
	defer r.mu.Unlock()
	if all := r.told[k]; len(all) == 0 || all[len(all)-1].state != state {
		r.told[k] = append(all, telling{at, state, by})
	}
}

// outSince gives when a life was last told that a host takes nothing, if that still held at a moment.
func (r *Record) outSince(l *life, host string, at time.Time) (since telling, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.told[tellKey{l, host}] {
		switch {
		case !t.at.Before(at):
			return since, out
		case t.state == "up":
			out = false
		case !out:
			since, out = t, true
		}
	}
	return since, out
}

func (a *arrival) says(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.said = what
}

func (a *arrival) served() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.said == "UP"
}

// end notes the first end.
func (a *arrival) end(by string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.endedBy == "" {
		a.endedBy, a.endedAt = by, time.Now()
	}
}

// seen is a copy that nothing changes any more.
func (a *arrival) seen() (said, endedBy string, endedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.said, a.endedBy, a.endedAt
}
