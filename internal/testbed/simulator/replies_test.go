package simulator

import (
	"encoding/json"
)

// reported is one action of a reply, with the fields of all kinds.
type reported struct {
	Type     string `json:"event_type"`
	Balancer string `json:"balancer"`
	Request  string `json:"request_id"`
	Server   string `json:"server"`
	AllowFor int64  `json:"allow_for"`
	After    int64  `json:"after"`
	Ref      string `json:"ref"`
	Contents string `json:"contents"`
	Dst      *int   `json:"dst"`
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
		if request == nil || request.out || request.closed {
			s.fail("%s sent out of turn", a.Request)
		}
		request.attempt++
		request.out, request.server, request.sentAt, request.allowFor = true, a.Server, s.now, a.AllowFor
	case "Deny", "Surrender":
		if request != nil {
			request.closed = true
		}
	case "Revoke", "GoAway":
		if request != nil && request.out {
			s.later(s.delay(50*millisecond), map[string]any{"event_type": "end", "request": request, "ending": "CANCELLED", "attempt": request.attempt})
			if a.Type == "GoAway" {
				s.later(s.delay(300*millisecond), map[string]any{"event_type": "return", "balancer": request.balancer})
			}
		}
	case "Defer":
		s.later(a.After, map[string]any{"event_type": "Fired", "balancer": a.Balancer, "ref": a.Ref})
	case "MemoTo":
		s.send(a)
	case "Subscribe", "ReadList":
		s.later(s.delay(200*millisecond), map[string]any{"event_type": "list", "balancer": a.Balancer, "fails": s.rng.Intn(4) == 0})
	case "Sample":
		ending := "OK"
		if s.rng.Intn(8) == 0 {
			ending = "DEADLINE_EXCEEDED"
		}
		s.later(s.delay(40*millisecond), map[string]any{"event_type": "HealthResult", "balancer": a.Balancer, "server": a.Server, "ending": ending, "elapsed": millisecond,
			"gauge": []float64{s.rng.Float64() * 1.3, s.rng.Float64() / 4}})
	}
}

// send carries a message between balancers, of which one in ten is lost.
func (s *sequence) send(a reported) {
	from := 0
	for i, b := range s.balancers {
		if b == a.Balancer {
			from = i
		}
	}
	for i, b := range s.balancers {
		if i == from || a.Dst != nil && *a.Dst != i || s.rng.Intn(10) == 0 {
			continue
		}
		s.later(s.delay(20*millisecond), map[string]any{"event_type": "Memo", "balancer": b, "origin_peer": from, "contents": a.Contents})
	}
}

// advance lets time pass, and brings the events that fall due.
func (s *sequence) advance(by int64) {
	end := s.now + by
	for len(s.due) > 0 && s.due[0].at <= end && s.events < eventsPerSequence {
		d := s.due[0]
		s.due = s.due[1:]
		s.now = max(s.now, d.at)
		s.arrive(d.event)
	}
	s.now = end
	s.timeOut()
}

func (s *sequence) arrive(event map[string]any) {
	switch event["event_type"] {
	case "end":
		if r := event["request"].(*liveRequest); r.out && r.attempt == event["attempt"].(int) {
			s.end(r, event["ending"].(string))
		}
	case "return":
		s.inbound(event["balancer"].(string), flagReturned)
	case "list":
		if event["fails"].(bool) {
			s.deliver(map[string]any{"event_type": "Membership", "balancer": event["balancer"], "form": "unavailable"})
			return
		}
		s.gen++
		s.deliver(s.sheet(s.servers), map[string]any{"event_type": "Membership", "balancer": event["balancer"], "form": "replace", "gen": s.gen, "sheet": s.sheets})
	default:
		s.deliver(event)
	}
}

// timeOut ends the attempts that have used up their time.
func (s *sequence) timeOut() {
	for _, r := range s.requests {
		if r.out && !r.up && r.allowFor > 0 && s.now >= r.sentAt+r.allowFor {
			s.end(r, "DEADLINE_EXCEEDED")
		}
	}
}

// end tells how an attempt ended.
func (s *sequence) end(r *liveRequest, ending string) {
	wasUp := r.up
	r.out, r.up = false, false
	closed := r.closed || wasUp || ending == "OK" || ending == "CANCELLED"
	r.closed = closed
	s.deliver(map[string]any{"event_type": "Response", "balancer": r.balancer, "request_id": r.id, "seq_no": r.attempt, "server": r.server, "ending": ending,
		"elapsed": s.now - r.sentAt, "no_more": closed, "gauge": []float64{s.rng.Float64(), s.rng.Float64() / 4}})
}
