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

// The recorded decisions are generated sequences of events and the actions that the decision module
// returns for them. They use the simulator's protocol, whose names do not change when the code's do.

const (
	sequences         = 210
	eventsPerSequence = 1000
	millisecond       = int64(1e6)
	second            = int64(1e9)
)

// failureStatuses are the endings of attempts whose connection was not established.
var failureStatuses = []string{"INTERNAL", "RESOURCE_EXHAUSTED", "DEADLINE_EXCEEDED", "UNAVAILABLE", "ABORTED"}

// sequence generates one sequence of events and simulates the clients, hosts and discovery around the
// balancers. Times are in nanoseconds.
type sequence struct {
	seed           int64
	rng            *rand.Rand
	adapter        *Adapter
	now            int64
	events         int // number of events delivered
	balancers      []string
	config         map[string]json.RawMessage
	hosts          []listedHost
	listNumber     int
	listVersion    int64
	scheduled      []scheduledEvent // sorted by time, then order
	scheduledCount int
	requests       []*liveRequest
	byID           map[string]*liveRequest // by balancer/request
	nextID         int
	hasGroups      bool
	healthChecks   bool
	digest         *golden.Digest
}

// scheduledEvent is an event that is delivered at a later time.
type scheduledEvent struct {
	at    int64 // nanoseconds
	order int   // order among events of the same time
	event map[string]any
}

// liveRequest is the state of a request at its client and its host.
type liveRequest struct {
	balancer, id, host            string
	attempt                       int
	inFlight, established, closed bool
	startedAt, timeout            int64
}

// newSequence returns the sequence of a seed, with its balancers started.
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

// configForSeed returns settings that the seed selects. The seeds cover the forms of deployments'
// settings: with and without messages between balancers, health checks, tenants, groups and mid-flow
// connections, and each kind of idempotency.
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

// fail panics with the seed and the number of events. Sequences run in goroutines of their own, which
// must not call t.Fatal.
func (s *sequence) fail(format string, args ...any) {
	panic(fmt.Sprintf("seed %d, event %d: ", s.seed, s.events) + fmt.Sprintf(format, args...))
}

// marshal returns v as JSON, and ends the sequence if v has no JSON form.
func (s *sequence) marshal(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		s.fail("marshal %T: %v", v, err)
	}
	return data
}

// startBalancer starts a balancer with the current list of hosts, as restored from its stored list.
func (s *sequence) startBalancer(name string) {
	hostList := s.hostList(s.hosts)
	s.deliver(map[string]any{"event_type": "Init", "balancer": name, "salt": s.seed*100 + int64(s.listVersion), "config": s.config[name]}, hostList,
		map[string]any{"event_type": "Membership", "balancer": name, "form": "restored", "gen": s.listVersion, "sheet": s.listNumber})
}

// hostList returns the event that stores hosts under the next list number, which s.listNumber holds for
// the events that follow.
func (s *sequence) hostList(hosts []listedHost) map[string]any {
	s.listNumber++
	return map[string]any{"event_type": "Directory", "sheet": s.listNumber, "elements": hosts}
}

// deliver sends a batch of events to the adapter, and applies the actions of the reply.
func (s *sequence) deliver(events ...map[string]any) {
	reply, err := s.adapter.HandleBatch(s.marshal(map[string]any{"time": s.now, "msgs": events}))
	s.events += len(events)
	if err != nil {
		s.fail("HandleBatch(%v): %v", events, err)
	}
	s.digest.Add("%d %s", s.now, reply)
	s.applyReply(reply)
}

// schedule delivers an event after a delay. Events of the same time keep their order.
func (s *sequence) schedule(delay int64, event map[string]any) {
	s.scheduledCount++
	s.scheduled = append(s.scheduled, scheduledEvent{s.now + delay, s.scheduledCount, event})
	sort.Slice(s.scheduled, func(i, j int) bool {
		return s.scheduled[i].at < s.scheduled[j].at || s.scheduled[i].at == s.scheduled[j].at && s.scheduled[i].order < s.scheduled[j].order
	})
}

// randomDelay returns a delay of at least 1 ms and less than limit + 1 ms.
func (s *sequence) randomDelay(limit int64) int64 { return millisecond + s.rng.Int63n(limit) }

// run delivers eventsPerSequence events or a few more, and returns the digest of the replies.
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

// TestRecordedDecisions guards against unintended changes of decisions: the recorded sequences must
// yield the recorded actions.
func TestRecordedDecisions(t *testing.T) {
	lines := make([]string, sequences)
	golden.InParallel(0, sequences, func(seed int) {
		s := newSequence(int64(seed))
		result := s.run()
		lines[seed] = fmt.Sprintf("seed=%d events=%d %s", seed, s.events, result)
	})
	golden.Check(t, "decisions.golden", []byte(strings.Join(lines, "\n")+"\n"))
}
