package soak

import (
	"sync"
	"time"
)

// Record is what the hosts received of each request, and the endpoint lists that each process was sent.
type Record struct {
	mu       sync.Mutex
	attempts map[string][]*hostAttempt   // by the request's ID, in the order of their arrival
	notices  map[noticeKey][]stateNotice // in the order of the lists
}

// stateNotice is a host's state in a list that was written to a process.
type stateNotice struct {
	writtenAt time.Time
	state     string
	source    string // of the list
}

// noticeKey is a host as one process of a proxy sees it.
type noticeKey struct {
	process *proxyProcess
	host    string
}

// NewRecord makes an empty record.
func NewRecord() *Record {
	return &Record{attempts: map[string][]*hostAttempt{}, notices: map[noticeKey][]stateNotice{}}
}

// connectionSide is one end of a connection between proxy and host.
type connectionSide string

const (
	hostSide  connectionSide = "host"
	proxySide connectionSide = "proxy"
)

// hostAttempt is one attempt as its host received it, with the request line complete.
type hostAttempt struct {
	requestID, host string
	receivedAt      time.Time

	mu    sync.Mutex
	state attemptState
}

// attemptState is what has become of an attempt so far.
type attemptState struct {
	answer  Answer         // of the host
	endedBy connectionSide // "": it has not ended
	endedAt time.Time
}

// recordAttempt adds an attempt that a host received.
func (r *Record) recordAttempt(requestID, host string) *hostAttempt {
	a := &hostAttempt{requestID: requestID, host: host, receivedAt: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[requestID] = append(r.attempts[requestID], a)
	return a
}

// attemptsOf returns the attempts of one request, in the order of their arrival.
func (r *Record) attemptsOf(requestID string) []*hostAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*hostAttempt(nil), r.attempts[requestID]...)
}

// recordNotice records that a list with a host's state was written to a process. Only a change of state is kept.
func (r *Record) recordNotice(process *proxyProcess, host string, notice stateNotice) {
	key := noticeKey{process, host}
	r.mu.Lock()
	defer r.mu.Unlock()
	if all := r.notices[key]; len(all) == 0 || all[len(all)-1].state != notice.state {
		r.notices[key] = append(all, notice)
	}
}

// excludedSince returns the notice since which a process must not use a host, if the host was draining or removed for it at a moment.
func (r *Record) excludedSince(process *proxyProcess, host string, at time.Time) (since stateNotice, excluded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, notice := range r.notices[noticeKey{process, host}] {
		switch {
		case !notice.writtenAt.Before(at):
			return since, excluded
		case notice.state == "up":
			excluded = false
		case !excluded:
			since, excluded = notice, true
		}
	}
	return since, excluded
}

// recordAnswer records the host's answer.
func (a *hostAttempt) recordAnswer(answer Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.answer = answer
}

// served returns whether the host accepted the request.
func (a *hostAttempt) served() bool {
	return a.current().answer == Served
}

// recordEnd records the attempt's end; the first end counts.
func (a *hostAttempt) recordEnd(by connectionSide) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state.endedBy == "" {
		a.state.endedBy, a.state.endedAt = by, time.Now()
	}
}

// current returns the attempt's state so far.
func (a *hostAttempt) current() attemptState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}
