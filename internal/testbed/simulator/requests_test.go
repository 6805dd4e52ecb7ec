package simulator

import (
	"encoding/base64"
	"fmt"
)

// randomBalancer returns the name of a random balancer.
func (s *sequence) randomBalancer() string { return s.balancers[s.rng.Intn(len(s.balancers))] }

// newRequest adds a request and returns it with the fields that the events of an arriving request and
// an adopted connection share.
func (s *sequence) newRequest(kind, name string, bits int) (*liveRequest, map[string]any) {
	s.nextID++
	r := &liveRequest{balancer: name, id: fmt.Sprintf("r%d", s.nextID), attempt: -1}
	s.requests = append(s.requests, r)
	s.byID[name+"/"+r.id] = r
	classes := 1 + int(s.seed%3)
	e := map[string]any{"event_type": kind, "balancer": name, "request_id": r.id, "cls": fmt.Sprintf("c%d", s.rng.Intn(classes)),
		"remaining": (200 + s.rng.Int63n(1800)) * millisecond, "item": fmt.Sprintf("key%d", s.rng.Intn(50)), "party": fmt.Sprintf("t%d", s.rng.Intn(3))}
	if s.hasGroups && s.rng.Intn(4) > 0 {
		e["channel"] = fmt.Sprintf("g%d", s.rng.Intn(8))
	}
	if s.rng.Intn(2) == 0 {
		bits |= flagHint
		e["hint"] = 1e5 * float64(1+s.rng.Intn(40))
	}
	if s.rng.Intn(8) == 0 {
		bits |= flagMidFlow
	}
	e["bits"] = bits
	return r, e
}

// arriveRequest delivers a new request to a balancer. The bits are those of message.Flags.
func (s *sequence) arriveRequest(name string, bits int) {
	_, e := s.newRequest("Inbound", name, bits)
	s.deliver(e)
}

// deliverRandomEvent chooses a kind of event at random and delivers it. It delivers nothing if the event
// needs a request and there is none that fits.
func (s *sequence) deliverRandomEvent() {
	switch draw := s.rng.Intn(100); {
	case draw < 42:
		bits := 0
		if s.rng.Intn(5) == 0 {
			bits = flagRetry
		}
		s.arriveRequest(s.randomBalancer(), bits)
	case draw < 80:
		s.progressAttempt()
	case draw < 84:
		s.leaveClient()
	case draw < 93:
		s.changeHost()
	case draw < 95:
		r, e := s.newRequest("Adopted", s.randomBalancer(), 0)
		r.attempt, r.inFlight, r.established, r.host, r.startedAt = 0, true, true, s.hosts[s.rng.Intn(len(s.hosts))].ID, s.now
		e["server"] = r.host
		s.deliver(e)
	case draw < 97:
		s.toggleSuspension(s.randomBalancer())
	case draw < 98:
		s.deliver(map[string]any{"event_type": "Memo", "balancer": s.randomBalancer(), "origin_peer": 0, "contents": base64.StdEncoding.EncodeToString([]byte{byte(s.rng.Intn(20)), 2, 3, 4, 5, 6})})
	case draw < 99:
		s.hotRestart(s.randomBalancer())
	default:
		s.restart(s.randomBalancer())
	}
}

// progressAttempt establishes, observes or ends a random attempt that is in flight. It does nothing if
// there is none.
func (s *sequence) progressAttempt() {
	var inFlight []*liveRequest
	for _, r := range s.requests {
		if r.inFlight {
			inFlight = append(inFlight, r)
		}
	}
	if len(inFlight) == 0 {
		return
	}
	r := inFlight[s.rng.Intn(len(inFlight))]
	switch {
	case r.established && s.rng.Intn(2) == 0:
		e := map[string]any{"event_type": "Notice", "balancer": r.balancer, "request_id": r.id, "seq_no": r.attempt, "sort": 1 + s.rng.Intn(2), "level": s.rng.Float64() * 400}
		if e["sort"] == 1 {
			e["level"] = s.rng.Float64() * 3000
		}
		s.deliver(e)
	case r.established:
		s.endAttempt(r, []string{"OK", "OK", "ABORTED", "CANCELLED"}[s.rng.Intn(4)])
	case s.rng.Intn(5) < 3 && !r.closed:
		r.established = true
		s.deliver(map[string]any{"event_type": "Streaming", "balancer": r.balancer, "request_id": r.id, "seq_no": r.attempt, "server": r.host, "elapsed": s.now - r.startedAt})
	default:
		s.endAttempt(r, failureStatuses[s.rng.Intn(len(failureStatuses))])
	}
}

// leaveClient ends a random request without an established connection, as if its client had left.
func (s *sequence) leaveClient() {
	var waiting []*liveRequest
	for _, r := range s.requests {
		if !r.closed && !r.established {
			waiting = append(waiting, r)
		}
	}
	if len(waiting) == 0 {
		return
	}
	r := waiting[s.rng.Intn(len(waiting))]
	r.closed = true
	s.deliver(map[string]any{"event_type": "ClientLeft", "balancer": r.balancer, "request_id": r.id})
}
