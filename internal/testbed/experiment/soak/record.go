package soak

import (
	"sync"
	"time"
)

// Record contains the attempts that hosts received and the hosts' states in the lists that each
// process was sent. Its methods are safe for concurrent use.
type Record struct {
	mu       sync.Mutex                  // protects the fields below
	attempts map[string][]*hostAttempt   // by request ID, in order of arrival
	notices  map[noticeKey][]stateNotice // in the order in which the lists were written
}

// stateNotice is a host's state in a list that was written to a process.
type stateNotice struct {
	writtenAt time.Time
	state     string
	source    string // describes the origin of the list, for violations
}

// noticeKey identifies a host in the lists that one process was sent.
type noticeKey struct {
	process *proxyProcess
	host    string
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{attempts: map[string][]*hostAttempt{}, notices: map[noticeKey][]stateNotice{}}
}

// connectionSide is one side of a connection between a proxy and a host.
type connectionSide string

const (
	hostSide  connectionSide = "host"
	proxySide connectionSide = "proxy"
)

// hostAttempt is one attempt whose complete request line a host received.
type hostAttempt struct {
	requestID, host string
	receivedAt      time.Time

	mu    sync.Mutex // protects state
	state attemptState
}

// attemptState is the progress of an attempt so far.
type attemptState struct {
	answer  Answer         // the host's answer; Unanswered if there is none yet
	endedBy connectionSide // empty if the attempt has not ended
	endedAt time.Time
}

// recordAttempt adds an attempt that a host receives now.
func (r *Record) recordAttempt(requestID, host string) *hostAttempt {
	a := &hostAttempt{requestID: requestID, host: host, receivedAt: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[requestID] = append(r.attempts[requestID], a)
	return a
}

// attemptsOf returns the attempts of one request in order of arrival.
func (r *Record) attemptsOf(requestID string) []*hostAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*hostAttempt(nil), r.attempts[requestID]...)
}

// recordNotice records that a list with a host's state was written to a process. It stores only
// changes of the state.
func (r *Record) recordNotice(process *proxyProcess, host string, notice stateNotice) {
	key := noticeKey{process, host}
	r.mu.Lock()
	defer r.mu.Unlock()
	if all := r.notices[key]; len(all) == 0 || all[len(all)-1].state != notice.state {
		r.notices[key] = append(all, notice)
	}
}

// excludedSince reports whether a host was draining or removed in the lists that a process had been
// sent before at. If so, it returns the first notice that excluded the host.
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

// recordAnswer records the host's answer to the attempt.
func (a *hostAttempt) recordAnswer(answer Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.answer = answer
}

// served reports whether the host accepted the request.
func (a *hostAttempt) served() bool {
	return a.current().answer == Served
}

// recordEnd records which side ended the attempt now. Only the first call has an effect.
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
