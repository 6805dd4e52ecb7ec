package soak

import (
	"sync"
	"time"
)

// Record is what happened to each request, from both sides of the proxies.
type Record struct {
	mu       sync.Mutex
	arrivals map[string][]*arrival       // by the request's id, in the order in which they came
	notices  map[noticeKey][]stateNotice // what lists written to each process say of a host, in order
}

// stateNotice is a host's state in a list that was written to a process.
type stateNotice struct {
	writtenAt time.Time
	state     string
	list      string // the list
}

// noticeKey is a host as one process of a proxy sees it.
type noticeKey struct {
	incarnation *incarnation
	host        string
}

// NewRecord makes an empty one.
func NewRecord() *Record {
	return &Record{arrivals: map[string][]*arrival{}, notices: map[noticeKey][]stateNotice{}}
}

// side is who ended an attempt.
type side string

const (
	hostSide  side = "host"
	proxySide side = "proxy"
)

// arrival is one attempt as its host received it: the whole first line.
type arrival struct {
	requestID, host string
	receivedAt      time.Time

	mu      sync.Mutex
	answer  Answer // of the host
	endedBy side   // "": it stands
	endedAt time.Time
}

// recordArrival adds an attempt that a host received.
func (r *Record) recordArrival(id, host string) *arrival {
	a := &arrival{requestID: id, host: host, receivedAt: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[id] = append(r.arrivals[id], a)
	return a
}

// arrivalsOf are the attempts of one request, in the order in which they came.
func (r *Record) arrivalsOf(id string) []*arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*arrival(nil), r.arrivals[id]...)
}

// recordNotice notes that a list with a host's state was written to a proxy.
func (r *Record) recordNotice(l *incarnation, host, state, by string, at time.Time) {
	k := noticeKey{l, host}
	r.mu.Lock()
	defer r.mu.Unlock()
	if all := r.notices[k]; len(all) == 0 || all[len(all)-1].state != state {
		r.notices[k] = append(all, stateNotice{at, state, by})
	}
}

// excludedSince is the notice since which a process had a host as draining or removed, if that still held at a moment.
func (r *Record) excludedSince(l *incarnation, host string, at time.Time) (since stateNotice, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.notices[noticeKey{l, host}] {
		switch {
		case !t.writtenAt.Before(at):
			return since, out
		case t.state == "up":
			out = false
		case !out:
			since, out = t, true
		}
	}
	return since, out
}

// recordAnswer notes what the host answered.
func (a *arrival) recordAnswer(what Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answer = what
}

// served returns whether the host accepted the request.
func (a *arrival) served() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answer == Served
}

// recordEnd notes the first end.
func (a *arrival) recordEnd(by side) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.endedBy == "" {
		a.endedBy, a.endedAt = by, time.Now()
	}
}

// snapshot is what is known of the attempt so far.
func (a *arrival) snapshot() (answer Answer, endedBy side, endedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answer, a.endedBy, a.endedAt
}
