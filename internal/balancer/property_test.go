package balancer

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

// randomRun sends random but legal events to a balancer. It checks the rules that hold for all
// effects: one final answer to each request before its deadline, one attempt in flight at a time,
// no attempt at a draining host, and no retry that could run a request twice.
type randomRun struct {
	*fake
	rng         *rand.Rand
	seed        int64
	idempotency Idempotency
	ids         []string        // of all requests
	draining    map[string]bool // by host ID; the other maps are keyed by request ID
	deadline    map[string]Time
	established map[string]bool // the request has an open connection
	mayHaveRun  map[string]bool // an attempt has ended that may have run
	checked     int             // how many of attemptsStarted are checked
}

// runRandomEvents sends a random sequence of events to a balancer with one class of the given
// idempotency. It checks the effects and returns them as text. The same seed leads to the same
// events.
func runRandomEvents(t *testing.T, seed int64, idempotency Idempotency) []string {
	t.Helper()
	rng := rand.New(rand.NewSource(seed))
	cfg := settings()
	cfg.Instance, cfg.Instances, cfg.PollsDiscovery = int(seed)%5, 5, seed%2 == 0
	class := &cfg.Classes[0]
	class.Idempotency, class.DedupScope, class.DedupWindow = idempotency, DedupScope(seed%3), 3*sec
	r := &randomRun{fake: start(t, cfg, fleet(5+rng.Intn(10))...), rng: rng, seed: seed,
		idempotency: idempotency, draining: map[string]bool{}, deadline: map[string]Time{},
		established: map[string]bool{}, mayHaveRun: map[string]bool{}}
	for range 1500 {
		r.run(Time(rng.Intn(30)) * ms)
		r.checkAttempts()
		r.endOverdueAttempts()
		r.randomEvent()
		r.checkAttempts()
	}
	for range 500 {
		r.run(20 * ms)
		r.checkAttempts()
		r.endOverdueAttempts()
	}
	r.checkAnswers()
	return r.trace
}

// answered reports whether a request has its final answer, or its client has left.
func (r *randomRun) answered(id string) bool { return r.answers[id] > 0 }

// checkAttempts checks the attempts that were started since its last call.
func (r *randomRun) checkAttempts() {
	r.t.Helper()
	for ; r.checked < len(r.attemptsStarted); r.checked++ {
		a := r.attemptsStarted[r.checked]
		if r.draining[a.host] {
			r.t.Fatalf("seed %d: attempt of %s at host %s, which is draining", r.seed, a.request, a.host)
		}
		if a.timeout <= 0 || a.at+a.timeout > r.deadline[a.request] {
			r.t.Fatalf("seed %d: attempt of %s started at %d with timeout %d, want a timeout above 0 and "+
				"an end before its deadline %d", r.seed, a.request, a.at, a.timeout, r.deadline[a.request])
		}
		if r.idempotency == NotIdempotent && r.mayHaveRun[a.request] {
			r.t.Fatalf("seed %d: request %s is not idempotent and may have run, but is retried", r.seed, a.request)
		}
	}
}

// checkAnswers checks the final answers, once all events are over.
func (r *randomRun) checkAnswers() {
	r.t.Helper()
	for _, id := range r.ids {
		if r.answers[id] != 1 && !r.established[id] {
			r.t.Fatalf("seed %d: request %s has %d final answers, want 1", r.seed, id, r.answers[id])
		}
		if r.idempotency == NotIdempotent && r.mayHaveRun[id] && r.answers[id] == 1 {
			if _, rejected := r.rejected[id]; rejected {
				r.t.Fatalf("seed %d: request %s is not idempotent and may have run, but is rejected", r.seed, id)
			}
		}
	}
}

// endAttempt ends a request's newest attempt, or the connection that it established.
func (r *randomRun) endAttempt(id string, status AttemptStatus) {
	r.inFlight[id] = false
	wasEstablished := r.established[id]
	delete(r.established, id)
	if !status.DidNotRun() {
		r.mayHaveRun[id] = true
	}
	closed := wasEstablished || status == OK || r.answered(id)
	if closed && !r.answered(id) {
		r.answers[id]++
	}
	r.attemptEnded(id, status, closed)
}

// endOverdueAttempts ends the attempts that are not established and whose timeout has passed.
func (r *randomRun) endOverdueAttempts() {
	for _, a := range r.attemptsStarted {
		if r.inFlight[a.request] && !r.established[a.request] && r.isNewest(a) && a.at+a.timeout <= r.now {
			r.endAttempt(a.request, Timeout)
			r.checkAttempts()
		}
	}
}

// isNewest reports whether an attempt is the newest one of its request.
func (r *randomRun) isNewest(a attemptStart) bool {
	for i := len(r.attemptsStarted) - 1; i >= 0; i-- {
		if r.attemptsStarted[i].request == a.request {
			return r.attemptsStarted[i] == a
		}
	}
	return false
}

// randomEvent sends one random event to the balancer: a new request, a change of a request, the leave
// of a client, or a change of a host.
func (r *randomRun) randomEvent() {
	switch k := r.rng.Intn(10); {
	case k < 4:
		r.arrive()
	case k < 8 && len(r.ids) > 0:
		r.advanceRequest(r.ids[r.rng.Intn(len(r.ids))])
	case k == 8 && len(r.ids) > 0:
		id := r.ids[r.rng.Intn(len(r.ids))]
		if !r.answered(id) && !r.established[id] {
			r.answers[id]++ // the client has left, and an answer is an error from now on
			r.b.ClientLeft(r.now, id)
		}
	default:
		r.changeHost()
	}
}

// arrive makes a request with random properties arrive.
func (r *randomRun) arrive() {
	id := fmt.Sprint("r", len(r.ids))
	r.ids = append(r.ids, id)
	left := Time(100+r.rng.Intn(1900)) * ms
	r.deadline[id] = r.now + left
	r.b.RequestArrived(r.now, Request{ID: id, Tenant: -1, Remaining: left, Retry: r.rng.Intn(5) == 0,
		MidFlow: r.rng.Intn(5) == 0, ExpectedLoad: float64(r.rng.Intn(3)) * 1e6,
		Key: fmt.Sprint("k", r.rng.Intn(50))})
}

// advanceRequest establishes or ends the attempt of a request, if one is in flight.
func (r *randomRun) advanceRequest(id string) {
	switch {
	case !r.inFlight[id]:
	case r.established[id]:
		r.endAttempt(id, []AttemptStatus{OK, Reset, Cancelled}[r.rng.Intn(3)])
	case r.rng.Intn(2) == 0 && !r.answered(id):
		r.established[id] = true
		r.establish(id)
		if r.rng.Intn(2) == 0 {
			kind := Observation(1 + r.rng.Intn(2))
			r.b.Observe(r.now, id, r.attempts[id]-1, kind, r.rng.Float64()*1000)
		}
	default:
		r.endAttempt(id, []AttemptStatus{Error, Full, Timeout, ConnectFailed, Reset}[r.rng.Intn(5)])
	}
}

// changeHost lists a random host as ready or draining, and sometimes as restarted.
func (r *randomRun) changeHost() {
	h := listed(r.b.hosts[r.rng.Intn(len(r.b.hosts))].hostID, HostState(r.rng.Intn(2)))
	h.StartedAt = r.now * Time(r.rng.Intn(2))
	r.draining[h.ID] = h.State == Draining
	r.listChanged(h)
}

func TestRulesOnRandomEvents(t *testing.T) {
	for seed := int64(0); seed < 12; seed++ {
		for _, idempotency := range []Idempotency{Idempotent, IdempotentWithKey, NotIdempotent} {
			runRandomEvents(t, seed, idempotency)
		}
	}
}

func TestSameEventsSameEffects(t *testing.T) {
	for seed := int64(0); seed < 3; seed++ {
		a, b := runRandomEvents(t, seed, Idempotent), runRandomEvents(t, seed, Idempotent)
		if strings.Join(a, "\n") != strings.Join(b, "\n") {
			t.Fatalf("seed %d: the same events caused %d effects in one run and %d in the other, and the traces differ; want equal traces",
				seed, len(a), len(b))
		}
	}
}
