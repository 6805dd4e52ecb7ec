package simulator

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand"
	"sort"
	"strings"
	"testing"

	"croftlock/internal/balancer"
	"croftlock/internal/testbed/golden"
)

// The recorded decisions: generated sequences of events, and the actions that the decision module gives to them. They are played over
// the simulator's wire, whose names do not change when the code's do.

const (
	sequences         = 210
	eventsPerSequence = 1000
	millisecond       = int64(1e6)
	second            = int64(1e9)
)

// outcomes are the endings that an attempt may have before its connection stands.
var outcomes = []string{"INTERNAL", "RESOURCE_EXHAUSTED", "DEADLINE_EXCEEDED", "UNAVAILABLE", "ABORTED"}

// sequence plays one generated sequence.
type sequence struct {
	seed      int64
	rng       *rand.Rand
	adapter   *Adapter
	now       int64
	events    int
	balancers []string
	config    map[string]json.RawMessage
	servers   []sheetHost
	sheets    int
	gen       int64
	due       []dueEvent
	dueSeq    int
	requests  []*liveRequest
	byID      map[string]*liveRequest
	nextID    int
	grouped   bool
	probed    bool
	digest    *golden.Digest
}

// dueEvent is an event that follows from an action after a delay.
type dueEvent struct {
	at    int64
	order int
	event map[string]any
}

// liveRequest is what a client and a host know of a request.
type liveRequest struct {
	balancer, id, server string
	attempt              int
	out, up, closed      bool
	sentAt, allowFor     int64
}

func newSequence(seed int64) *sequence {
	s := &sequence{seed: seed, rng: rand.New(rand.NewSource(seed)), adapter: NewAdapter(balancer.New), now: 100 * second,
		config: map[string]json.RawMessage{}, byID: map[string]*liveRequest{}, digest: golden.NewDigest()}
	instances := []int{1, 3, 2}[seed%3]
	for i := range instances {
		s.balancers = append(s.balancers, fmt.Sprintf("B%d", i))
	}
	for i := range 3 + s.rng.Intn(12) {
		s.servers = append(s.servers, sheetHost{State: "healthy", Zone: string(rune('a' + i%3)), Weight: 1 + float64(i%4)/2,
			ID: fmt.Sprintf("s%02d", i), Kind: "k", Cell: i % 2})
	}
	for i, b := range s.balancers {
		s.config[b] = s.settings(i, instances)
		s.begin(b)
	}
	return s
}

// settings draws one of the shapes that the deployments' settings have: with and without messages between balancers, health checks,
// tenants, groups, mid-flow connections, and each effect of a repeat.
func (s *sequence) settings(me, instances int) json.RawMessage {
	bit := func(n uint) bool { return s.seed>>n&1 == 1 }
	s.grouped, s.probed = bit(1), s.seed%5 < 2
	peers := instances
	if s.seed%7 == 0 {
		peers = 80
	}
	semantics := []string{"read_like", "idempotency_key", "non_idempotent"}
	lanes := []map[string]any{}
	for i := range 1 + int(s.seed%3) {
		lanes = append(lanes, map[string]any{"name": fmt.Sprintf("c%d", i), "on_time": (300 + 250*int64(i)) * millisecond, "deadline": (2000 + 1400*int64(i)) * millisecond,
			"semantics": semantics[(int(s.seed)+i)%3], "dedup_scope": []string{"all", "zone", "cell"}[(int(s.seed)/3+i)%3], "key_ttl": 3 * second,
			"gain": 1 + float64(i)*2, "late_worth": 0.1})
	}
	c := map[string]any{"me": me, "peers_total": peers, "my_zone": string(rune('a' + me%3)), "zones": []string{"a", "b", "c"}, "step": 5 * millisecond, "lanes": lanes,
		"discovery": []string{"automatic", "subscribe"}[s.seed/2%2],
		"bounds": map[string]any{"cancelling": bit(2), "connect_timeout": 200 * millisecond, "idle_close": 10 * second, "max_retry_after": second, "may_tell": bit(0),
			"probes": s.probed, "retry_after": !bit(3), "try_limit": 3 + s.seed%3},
		"contract": map[string]any{"answer_slack": 20 * millisecond, "cold_from": 0.2, "drain_grace": 250 * millisecond, "fall": second, "fall_multiple": 2 + float64(s.seed%3),
			"must_ask_in": (10 + 5*(s.seed%3)) * second, "warm_up": (5 + 5*(s.seed%4)) * second},
		"tariffs": map[string]any{"cross_zone": 0.1 * float64(s.seed%3), "probe": 0.0016, "peer": 0.0001, "moves": 0.01}}
	extra := map[string]any{"mode": []string{"proxy", "pass"}[s.seed/4%2], "park": 4 * second}
	if !bit(4) {
		extra["message_aim"] = []int64{100 * millisecond, 150 * millisecond, 200 * millisecond}
	}
	if s.seed%4 != 0 {
		c["orgs"] = []map[string]any{{"name": "t0", "quota_per_s": 8, "fraction": 0.6}, {"name": "t1", "quota_per_s": 4, "fraction": 0.4}}
		extra["tenant_quota_connections"] = []float64{80, 35}
		c["over_share_worth"] = 0.2
	}
	if bit(5) {
		c["worth_by"] = "work"
	}
	c["extra"] = extra
	if s.probed {
		c["report"] = map[string]any{"how": "probe", "fields": []string{"x0", "queue"}}
	} else {
		c["report"] = map[string]any{"how": "none"}
	}
	return s.marshal(c)
}

// fail ends the sequence. A sequence may run beside others, where a test must not be ended.
func (s *sequence) fail(format string, args ...any) {
	panic(fmt.Sprintf("seed %d, event %d: ", s.seed, s.events) + fmt.Sprintf(format, args...))
}

func (s *sequence) marshal(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		s.fail("%v", err)
	}
	return data
}

// begin starts a balancer with the list that it last had.
func (s *sequence) begin(name string) {
	sheet := s.sheet(s.servers)
	s.deliver(map[string]any{"event_type": "Init", "balancer": name, "salt": s.seed*100 + int64(s.gen), "config": s.config[name]}, sheet,
		map[string]any{"event_type": "Membership", "balancer": name, "form": "restored", "gen": s.gen, "sheet": s.sheets})
}

// sheet names a list of servers for the events that follow.
func (s *sequence) sheet(servers []sheetHost) map[string]any {
	s.sheets++
	return map[string]any{"event_type": "Directory", "sheet": s.sheets, "elements": servers}
}

// deliver gives a batch of events to the host and follows its actions.
func (s *sequence) deliver(events ...map[string]any) {
	reply, err := s.adapter.Batch(s.marshal(map[string]any{"time": s.now, "msgs": events}))
	s.events += len(events)
	if err != nil {
		s.fail("%v", err)
	}
	s.digest.Add("%d %s", s.now, reply)
	s.follow(reply)
}

// later has an event come after a delay.
func (s *sequence) later(delay int64, event map[string]any) {
	s.dueSeq++
	s.due = append(s.due, dueEvent{s.now + delay, s.dueSeq, event})
	sort.Slice(s.due, func(i, j int) bool {
		return s.due[i].at < s.due[j].at || s.due[i].at == s.due[j].at && s.due[i].order < s.due[j].order
	})
}

func (s *sequence) delay(most int64) int64 { return millisecond + s.rng.Int63n(most) }

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

func (s *sequence) balancer() string { return s.balancers[s.rng.Intn(len(s.balancers))] }

// newRequest makes the fields that an arriving request and an adopted connection share.
func (s *sequence) newRequest(kind, name string, bits int) (*liveRequest, map[string]any) {
	s.nextID++
	r := &liveRequest{balancer: name, id: fmt.Sprintf("r%d", s.nextID), attempt: -1}
	s.requests = append(s.requests, r)
	s.byID[name+"/"+r.id] = r
	classes := 1 + int(s.seed%3)
	e := map[string]any{"event_type": kind, "balancer": name, "request_id": r.id, "cls": fmt.Sprintf("c%d", s.rng.Intn(classes)),
		"remaining": (200 + s.rng.Int63n(1800)) * millisecond, "item": fmt.Sprintf("key%d", s.rng.Intn(50)), "party": fmt.Sprintf("t%d", s.rng.Intn(3))}
	if s.grouped && s.rng.Intn(4) > 0 {
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

func (s *sequence) inbound(name string, bits int) {
	_, e := s.newRequest("Inbound", name, bits)
	s.deliver(e)
}

// step brings one drawn event.
func (s *sequence) step() {
	switch draw := s.rng.Intn(100); {
	case draw < 42:
		bits := 0
		if s.rng.Intn(5) == 0 {
			bits = flagRetry
		}
		s.inbound(s.balancer(), bits)
	case draw < 80:
		s.progress()
	case draw < 84:
		s.clientLeaves()
	case draw < 93:
		s.serverChanges()
	case draw < 95:
		r, e := s.newRequest("Adopted", s.balancer(), 0)
		r.attempt, r.out, r.up, r.server, r.sentAt = 0, true, true, s.servers[s.rng.Intn(len(s.servers))].ID, s.now
		e["server"] = r.server
		s.deliver(e)
	case draw < 97:
		s.suspend(s.balancer())
	case draw < 98:
		s.deliver(map[string]any{"event_type": "Memo", "balancer": s.balancer(), "origin_peer": 0, "contents": base64.StdEncoding.EncodeToString([]byte{byte(s.rng.Intn(20)), 2, 3, 4, 5, 6})})
	case draw < 99:
		s.hotStart(s.balancer())
	default:
		s.restart(s.balancer())
	}
}

// progress moves on the attempt of a request that is out.
func (s *sequence) progress() {
	var out []*liveRequest
	for _, r := range s.requests {
		if r.out {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return
	}
	r := out[s.rng.Intn(len(out))]
	switch {
	case r.up && s.rng.Intn(2) == 0:
		e := map[string]any{"event_type": "Notice", "balancer": r.balancer, "request_id": r.id, "seq_no": r.attempt, "sort": 1 + s.rng.Intn(2), "level": s.rng.Float64() * 400}
		if e["sort"] == 1 {
			e["level"] = s.rng.Float64() * 3000
		}
		s.deliver(e)
	case r.up:
		s.end(r, []string{"OK", "OK", "ABORTED", "CANCELLED"}[s.rng.Intn(4)])
	case s.rng.Intn(5) < 3 && !r.closed:
		r.up = true
		s.deliver(map[string]any{"event_type": "Streaming", "balancer": r.balancer, "request_id": r.id, "seq_no": r.attempt, "server": r.server, "elapsed": s.now - r.sentAt})
	default:
		s.end(r, outcomes[s.rng.Intn(len(outcomes))])
	}
}

func (s *sequence) clientLeaves() {
	var waiting []*liveRequest
	for _, r := range s.requests {
		if !r.closed && !r.up {
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

// serverChanges has a server drain, go, come back or start anew, and some balancers hear of it.
func (s *sequence) serverChanges() {
	i := s.rng.Intn(len(s.servers))
	e := &s.servers[i]
	e.State = []string{"healthy", "healthy", "healthy", "cordoned", "deregistered"}[s.rng.Intn(5)]
	if e.State == "healthy" && s.rng.Intn(2) == 0 {
		e.StartedAt = s.now
	}
	if s.rng.Intn(6) == 0 {
		s.servers = append(s.servers, sheetHost{State: "healthy", Zone: string(rune('a' + s.rng.Intn(4))), Weight: 1, StartedAt: s.now, ID: fmt.Sprintf("n%d", s.dueSeq), Kind: "k"})
	}
	s.gen++
	for _, b := range s.balancers {
		if s.rng.Intn(4) == 0 {
			continue
		}
		s.deliver(s.sheet([]sheetHost{s.servers[i], s.servers[len(s.servers)-1]}), map[string]any{"event_type": "Membership", "balancer": b, "form": "update", "gen": s.gen, "sheet": s.sheets})
	}
}

// direct calls a balancer's decision module with what the wire has no event for.
func (s *sequence) direct(name string, call func(b *balancer.Balancer)) {
	s.adapter.reply.start()
	s.adapter.guard(s.adapter.instances[name], call)
	reply := s.adapter.reply.finish()
	s.events++
	s.digest.Add("%d %s", s.now, reply)
	s.follow(reply)
}

// suspend has an operator take a server out, or call it back.
func (s *sequence) suspend(name string) {
	e := s.servers[s.rng.Intn(len(s.servers))]
	entry := balancer.ListedHost{ID: e.ID, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: e.Weight, StartedAt: e.StartedAt}
	if s.rng.Intn(2) == 0 {
		entry.State = balancer.Suspended
	}
	s.direct(name, func(b *balancer.Balancer) {
		b.ListReceived(s.now, balancer.ListMaintenance, 0, []balancer.ListedHost{entry})
	})
}

// restart ends a name with its connections, and begins it anew.
func (s *sequence) restart(name string) {
	s.forget(name)
	s.deliver(map[string]any{"event_type": "Exit", "balancer": name})
	s.begin(name)
}

// forget drops what was under way at a name that has ended.
func (s *sequence) forget(name string) {
	var due []dueEvent
	for _, d := range s.due {
		if r, ok := d.event["request"].(*liveRequest); d.event["balancer"] != name && (!ok || r.balancer != name) {
			due = append(due, d)
		}
	}
	s.due = due
	var requests []*liveRequest
	for _, r := range s.requests {
		if r.balancer != name {
			requests = append(requests, r)
		}
	}
	s.requests = requests
}

// hotStart has another process of the name take over, with what the one before knew and its open connections.
func (s *sequence) hotStart(name string) {
	memory := s.adapter.instances[name].balancer.Snapshot(true)
	kept, err := json.Marshal(memory)
	if err != nil {
		s.fail("%v", err)
	}
	s.digest.Add("%s", kept)
	var standing []*liveRequest
	for _, r := range s.requests {
		if r.balancer == name && r.up {
			standing = append(standing, r)
		}
	}
	s.restart(name)
	s.direct(name, func(b *balancer.Balancer) { b.Restore(s.now, memory) })
	for _, r := range standing {
		again, e := s.newRequest("Adopted", name, 0)
		again.attempt, again.out, again.up, again.server, again.sentAt = 0, true, true, r.server, r.sentAt
		e["server"] = r.server
		s.deliver(e)
	}
}

func (s *sequence) play() string {
	for s.events < eventsPerSequence {
		s.advance(s.rng.Int63n(30 * millisecond))
		if s.rng.Intn(40) == 0 {
			s.advance(s.rng.Int63n(2 * second))
		}
		s.step()
	}
	return s.digest.String()
}

// TestRecordedDecisions: the same events give the same actions as when they were recorded.
func TestRecordedDecisions(t *testing.T) {
	lines := make([]string, sequences)
	golden.InParallel(0, sequences, func(seed int) {
		s := newSequence(int64(seed))
		result := s.play()
		lines[seed] = fmt.Sprintf("seed=%d events=%d %s", seed, s.events, result)
	})
	golden.Check(t, "decisions.golden", []byte(strings.Join(lines, "\n")+"\n"))
}
