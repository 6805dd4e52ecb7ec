package simulator

import "encoding/json"

// replyAction is one action of a reply. It holds the fields of all kinds of actions.
type replyAction struct {
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

// applyReply simulates how clients, hosts, discovery and the network respond to the actions of a reply.
func (s *sequence) applyReply(reply []byte) {
	var r struct {
		Outbox []replyAction `json:"outbox"`
	}
	if err := json.Unmarshal(reply, &r); err != nil {
		s.fail("reply is not valid JSON: %v: %s", err, reply)
	}
	for _, a := range r.Outbox {
		s.applyAction(a)
	}
}

// applyAction simulates the response to one action.
func (s *sequence) applyAction(a replyAction) {
	request := s.byID[a.Balancer+"/"+a.Request]
	switch a.Type {
	case "Bug":
		s.fail("the decision module of balancer %s panicked", a.Balancer)
	case "Dispatch":
		if request == nil || request.inFlight || request.closed {
			s.fail("attempt started for request %s, which is unknown, closed or has an attempt in flight", a.Request)
		}
		request.attempt++
		request.inFlight, request.host, request.startedAt, request.timeout = true, a.Host, s.now, a.Timeout
	case "Deny", "Surrender":
		if request != nil {
			request.closed = true
		}
	case "Revoke", "GoAway":
		if request != nil && request.inFlight {
			s.schedule(s.randomDelay(50*millisecond), map[string]any{"event_type": "end", "request": request, "ending": "CANCELLED", "attempt": request.attempt})
			if a.Type == "GoAway" {
				s.schedule(s.randomDelay(300*millisecond), map[string]any{"event_type": "return", "balancer": request.balancer})
			}
		}
	case "Defer":
		s.schedule(a.After, map[string]any{"event_type": "Fired", "balancer": a.Balancer, "ref": a.Token})
	case "MemoTo":
		s.sendToPeers(a)
	case "Subscribe", "ReadList":
		s.schedule(s.randomDelay(200*millisecond), map[string]any{"event_type": "list", "balancer": a.Balancer, "fails": s.rng.Intn(4) == 0})
	case "Sample":
		ending := "OK"
		if s.rng.Intn(8) == 0 {
			ending = "DEADLINE_EXCEEDED"
		}
		s.schedule(s.randomDelay(40*millisecond), map[string]any{"event_type": "HealthResult", "balancer": a.Balancer, "server": a.Host, "ending": ending, "elapsed": millisecond,
			"gauge": []float64{s.rng.Float64() * 1.3, s.rng.Float64() / 4}})
	}
}

// sendToPeers schedules a message for its destination, or for all other balancers if it names none.
// One in ten is lost.
func (s *sequence) sendToPeers(a replyAction) {
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
		s.schedule(s.randomDelay(20*millisecond), map[string]any{"event_type": "Memo", "balancer": b, "origin_peer": from, "contents": a.Contents})
	}
}

// advance moves the time forward by duration, in nanoseconds, and delivers the events that become due.
func (s *sequence) advance(duration int64) {
	end := s.now + duration
	for len(s.scheduled) > 0 && s.scheduled[0].at <= end && s.events < eventsPerSequence {
		d := s.scheduled[0]
		s.scheduled = s.scheduled[1:]
		s.now = max(s.now, d.at)
		s.deliverScheduled(d.event)
	}
	s.now = end
	s.endOverdueAttempts()
}

// deliverScheduled delivers a scheduled event. The types end, return and list are internal to the test.
func (s *sequence) deliverScheduled(event map[string]any) {
	switch event["event_type"] {
	case "end":
		if r := event["request"].(*liveRequest); r.inFlight && r.attempt == event["attempt"].(int) {
			s.endAttempt(r, event["ending"].(string))
		}
	case "return":
		s.arriveRequest(event["balancer"].(string), flagReturned)
	case "list":
		if event["fails"].(bool) {
			s.deliver(map[string]any{"event_type": "Membership", "balancer": event["balancer"], "form": "unavailable"})
			return
		}
		s.listVersion++
		s.deliver(s.hostList(s.hosts), map[string]any{"event_type": "Membership", "balancer": event["balancer"], "form": "replace", "gen": s.listVersion, "sheet": s.listNumber})
	default:
		s.deliver(event)
	}
}

// endOverdueAttempts ends the attempts whose timeout has passed before they were established.
func (s *sequence) endOverdueAttempts() {
	for _, r := range s.requests {
		if r.inFlight && !r.established && r.timeout > 0 && s.now >= r.startedAt+r.timeout {
			s.endAttempt(r, "DEADLINE_EXCEEDED")
		}
	}
}

// endAttempt ends an attempt, or its connection if it is established, and delivers the response.
func (s *sequence) endAttempt(r *liveRequest, ending string) {
	wasEstablished := r.established
	r.inFlight, r.established = false, false
	closed := r.closed || wasEstablished || ending == "OK" || ending == "CANCELLED"
	r.closed = closed
	s.deliver(map[string]any{"event_type": "Response", "balancer": r.balancer, "request_id": r.id, "seq_no": r.attempt, "server": r.host, "ending": ending,
		"elapsed": s.now - r.startedAt, "no_more": closed, "gauge": []float64{s.rng.Float64(), s.rng.Float64() / 4}})
}
