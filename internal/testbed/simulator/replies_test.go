package simulator

import "encoding/json"

// reported is one action of a reply, with the fields of all kinds.
type reported struct {
	Type     string `json:"event_type"`
	Balancer string `json:"balancer"`
	Request  string `json:"request_id"`
	Host     string `json:"server"`
	Timeout  int64  `json:"allow_for"`
	After    int64  `json:"after"`
	Token    string `json:"ref"`
	Contents string `json:"contents"`
	Peer     *int   `json:"dst"`
}

// follow does what clients, hosts, discovery and the network do upon the actions of a reply.
func (s *sequence) follow(reply []byte) {
	var r struct {
		Outbox []reported `json:"outbox"`
	}
	if err := json.Unmarshal(reply, &r); err != nil {
		s.fail("%v", err)
	}
	for _, a := range r.Outbox {
		s.followOne(a)
	}
}

func (s *sequence) followOne(a reported) {
	request := s.byID[a.Balancer+"/"+a.Request]
	switch a.Type {
	case "Bug":
		s.fail("the decision module panicked")
	case "Dispatch":
		if request == nil || request.inFlight || request.closed {
			s.fail("an attempt of %s, which has one in flight or is closed", a.Request)
		}
		request.attempt++
		request.inFlight, request.host, request.startedAt, request.timeout = true, a.Host, s.now, a.Timeout
	case "Deny", "Surrender":
		if request != nil {
			request.closed = true
		}
	case "Revoke", "GoAway":
		if request != nil && request.inFlight {
			s.later(s.delay(50*millisecond), map[string]any{"event_type": "end", "request": request, "ending": "CANCELLED", "attempt": request.attempt})
			if a.Type == "GoAway" {
				s.later(s.delay(300*millisecond), map[string]any{"event_type": "return", "balancer": request.balancer})
			}
		}
	case "Defer":
		s.later(a.After, map[string]any{"event_type": "Fired", "balancer": a.Balancer, "ref": a.Token})
	case "MemoTo":
		s.send(a)
	case "Subscribe", "ReadList":
		s.later(s.delay(200*millisecond), map[string]any{"event_type": "list", "balancer": a.Balancer, "fails": s.rng.Intn(4) == 0})
	case "Sample":
		ending := "OK"
		if s.rng.Intn(8) == 0 {
			ending = "DEADLINE_EXCEEDED"
		}
		s.later(s.delay(40*millisecond), map[string]any{"event_type": "HealthResult", "balancer": a.Balancer, "server": a.Host, "ending": ending, "elapsed": millisecond,
			"gauge": []float64{s.rng.Float64() * 1.3, s.rng.Float64() / 4}})
	}
}

// send carries a message to other balancers; one in ten is lost.
func (s *sequence) send(a reported) {
	from := 0
	for i, b := range s.balancers {
		if b == a.Balancer {
			from = i
		}
	}
	for i, b := range s.balancers {
		if i == from || a.Peer != nil && *a.Peer != i || s.rng.Intn(10) == 0 {
			continue
		}
		s.later(s.delay(20*millisecond), map[string]any{"event_type": "Memo", "balancer": b, "origin_peer": from, "contents": a.Contents})
	}
}

// advance lets time pass, and brings the events that are due.
func (s *sequence) advance(by int64) {
	end := s.now + by
	for len(s.due) > 0 && s.due[0].at <= end && s.events < eventsPerSequence {
		d := s.due[0]
		s.due = s.due[1:]
		s.now = max(s.now, d.at)
		s.arrive(d.event)
	}
	s.now = end
	s.endOverdueAttempts()
}

func (s *sequence) arrive(event map[string]any) {
	switch event["event_type"] {
	case "end":
		if r := event["request"].(*liveRequest); r.inFlight && r.attempt == event["attempt"].(int) {
			s.end(r, event["ending"].(string))
		}
	case "return":
		s.inbound(event["balancer"].(string), flagReturned)
	case "list":
		if event["fails"].(bool) {
			s.deliver(map[string]any{"event_type": "Membership", "balancer": event["balancer"], "form": "unavailable"})
			return
		}
		s.listVersion++
		s.deliver(s.sheet(s.hosts), map[string]any{"event_type": "Membership", "balancer": event["balancer"], "form": "replace", "gen": s.listVersion, "sheet": s.sheets})
	default:
		s.deliver(event)
	}
}

// endOverdueAttempts ends the attempts that have used up their time.
func (s *sequence) endOverdueAttempts() {
	for _, r := range s.requests {
		if r.inFlight && !r.established && r.timeout > 0 && s.now >= r.startedAt+r.timeout {
			s.end(r, "DEADLINE_EXCEEDED")
		}
	}
}

// end ends an attempt, or its connection.
func (s *sequence) end(r *liveRequest, ending string) {
	wasEstablished := r.established
	r.inFlight, r.established = false, false
	closed := r.closed || wasEstablished || ending == "OK" || ending == "CANCELLED"
	r.closed = closed
	s.deliver(map[string]any{"event_type": "Response", "balancer": r.balancer, "request_id": r.id, "seq_no": r.attempt, "server": r.host, "ending": ending,
		"elapsed": s.now - r.startedAt, "no_more": closed, "gauge": []float64{s.rng.Float64(), s.rng.Float64() / 4}})
}
