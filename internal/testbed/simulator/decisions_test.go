package simulator

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"sort"
	"strings"
	"testing"

	"croftlock/internal/balancer"
	"croftlock/internal/testbed/golden"
)

// The recorded decisions: generated sequences of events, and the actions with which the decision module answers them. They are played
// over the simulator's wire, whose names do not change when the code's do.

const (
	sequences         = 210
	eventsPerSequence = 1000
	millisecond       = int64(1e6)
	second            = int64(1e9)
)

// failureStatuses are the endings that an attempt may have before its connection is established.
var failureStatuses = []string{"INTERNAL", "RESOURCE_EXHAUSTED", "DEADLINE_EXCEEDED", "UNAVAILABLE", "ABORTED"}

// sequence plays one generated sequence.
type sequence struct {
	seed           int64
	rng            *rand.Rand
	adapter        *Adapter
	now            int64
	events         int
	balancers      []string
	config         map[string]json.RawMessage
	hosts          []listedHost
	listNumber     int
	listVersion    int64
	scheduled      []scheduledEvent
	scheduledCount int
	requests       []*liveRequest
	byID           map[string]*liveRequest
	nextID         int
	hasGroups      bool
	healthChecks   bool
	digest         *golden.Digest
}

// scheduledEvent is an event that follows from an action after a delay.
type scheduledEvent struct {
	at    int64
	order int
	event map[string]any
}

// liveRequest is what a client and a host know of a request.
type liveRequest struct {
	balancer, id, host            string
	attempt                       int
	inFlight, established, closed bool
	startedAt, timeout            int64
}

func newSequence(seed int64) *sequence {
	s := &sequence{seed: seed, rng: rand.New(rand.NewSource(seed)), adapter: NewAdapter(balancer.New), now: 100 * second,
		config: map[string]json.RawMessage{}, byID: map[string]*liveRequest{}, digest: golden.NewDigest()}
	instances := []int{1, 3, 2}[seed%3]
	for i := range instances {
		s.balancers = append(s.balancers, fmt.Sprintf("B%d", i))
	}
	for i := range 3 + s.rng.Intn(12) {
		s.hosts = append(s.hosts, listedHost{State: "healthy", Zone: string(rune('a' + i%3)), Weight: 1 + float64(i%4)/2,
			ID: fmt.Sprintf("s%02d", i), Kind: "k", Cell: i % 2})
	}
	for i, b := range s.balancers {
		s.config[b] = s.configForSeed(i, instances)
		s.startBalancer(b)
	}
	return s
}

// configForSeed draws one of the shapes that the deployments' configForSeed have: with and without messages between balancers, health checks,
// tenants, groups, mid-flow connections, and each kind of idempotency.
func (s *sequence) configForSeed(instance, instances int) json.RawMessage {
	bit := func(n uint) bool { return s.seed>>n&1 == 1 }
	s.hasGroups, s.healthChecks = bit(1), s.seed%5 < 2
	total := instances
	if s.seed%7 == 0 {
		total = 80 // most of them are not simulated
	}
	semantics := []string{"read_like", "idempotency_key", "non_idempotent"}
	lanes := []map[string]any{}
	for i := range 1 + int(s.seed%3) {
		lanes = append(lanes, map[string]any{"name": fmt.Sprintf("c%d", i), "on_time": (300 + 250*int64(i)) * millisecond, "deadline": (2000 + 1400*int64(i)) * millisecond,
			"semantics": semantics[(int(s.seed)+i)%3], "dedup_scope": []string{"all", "zone", "cell"}[(int(s.seed)/3+i)%3], "key_ttl": 3 * second,
			"gain": 1 + float64(i)*2, "late_worth": 0.1})
	}
	c := map[string]any{"me": instance, "peers_total": total, "my_zone": string(rune('a' + instance%3)), "zones": []string{"a", "b", "c"}, "step": 5 * millisecond, "lanes": lanes,
		"discovery": []string{"automatic", "subscribe"}[s.seed/2%2],
		"bounds": map[string]any{"cancelling": bit(2), "connect_timeout": 200 * millisecond, "idle_close": 10 * second, "max_retry_after": second, "may_tell": bit(0),
			"probes": s.healthChecks, "retry_after": !bit(3), "try_limit": 3 + s.seed%3},
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
	if s.healthChecks {
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

// startBalancer starts a balancer with the list that it last had.
func (s *sequence) startBalancer(name string) {
	hostList := s.hostList(s.hosts)
	s.deliver(map[string]any{"event_type": "Init", "balancer": name, "salt": s.seed*100 + int64(s.listVersion), "config": s.config[name]}, hostList,
		map[string]any{"event_type": "Membership", "balancer": name, "form": "restored", "gen": s.listVersion, "sheet": s.listNumber})
}

// hostList names a list of hosts for the events that follow.
func (s *sequence) hostList(hosts []listedHost) map[string]any {
	s.listNumber++
	return map[string]any{"event_type": "Directory", "sheet": s.listNumber, "elements": hosts}
}

// deliver gives a batch of events to the adapter and follows its actions.
func (s *sequence) deliver(events ...map[string]any) {
	reply, err := s.adapter.HandleBatch(s.marshal(map[string]any{"time": s.now, "msgs": events}))
	s.events += len(events)
	if err != nil {
		s.fail("%v", err)
	}
	s.digest.Add("%d %s", s.now, reply)
	s.applyReply(reply)
}

// schedule has an event come after a delay.
func (s *sequence) schedule(delay int64, event map[string]any) {
	s.scheduledCount++
	s.scheduled = append(s.scheduled, scheduledEvent{s.now + delay, s.scheduledCount, event})
	sort.Slice(s.scheduled, func(i, j int) bool {
		return s.scheduled[i].at < s.scheduled[j].at || s.scheduled[i].at == s.scheduled[j].at && s.scheduled[i].order < s.scheduled[j].order
	})
}

func (s *sequence) randomDelay(limit int64) int64 { return millisecond + s.rng.Int63n(limit) }

func (s *sequence) run() string {
	for s.events < eventsPerSequence {
		s.advance(s.rng.Int63n(30 * millisecond))
		if s.rng.Intn(40) == 0 {
			s.advance(s.rng.Int63n(2 * second))
		}
		s.deliverRandomEvent()
	}
	return s.digest.String()
}

// TestRecordedDecisions: the same events give the same actions as when they were recorded.
func TestRecordedDecisions(t *testing.T) {
	lines := make([]string, sequences)
	golden.InParallel(0, sequences, func(seed int) {
		s := newSequence(int64(seed))
		result := s.run()
		lines[seed] = fmt.Sprintf("seed=%d events=%d %s", seed, s.events, result)
	})
	golden.Check(t, "decisions.golden", []byte(strings.Join(lines, "\n")+"\n"))
}
