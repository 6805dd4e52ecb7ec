package balancer

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

// play feeds a random but legal sequence of events and checks the rules on the actions: one final answer for each
// request before its deadline, never two attempts out, nothing to a draining host, no repeat of an unsafe effect.
func play(t *testing.T, seed int64, effect Idempotency) []string {
	rng := rand.New(rand.NewSource(seed))
	cfg := settings()
	cfg.Instance, cfg.Instances, cfg.PollsDiscovery = int(seed)%5, 5, seed%2 == 0
	cfg.Classes[0].Idempotency, cfg.Classes[0].DedupScope, cfg.Classes[0].DedupWindow = effect, DedupScope(seed%3), 3*sec
	f := start(t, cfg, fleet(5+rng.Intn(10))...)
	drained := map[string]bool{}
	deadline := map[string]Time{}
	up := map[string]bool{}
	ran := map[string]bool{}
	answered := func(id string) bool { return f.answers[id] > 0 }
	checked := 0
	check := func() {
		for ; checked < len(f.attemptsStarted); checked++ {
			x := f.attemptsStarted[checked]
			if drained[x.host] {
				t.Fatalf("seed %d: sent to %s, which drains", seed, x.host)
			}
			if x.timeout <= 0 || x.at+x.timeout > deadline[x.request] {
				t.Fatalf("seed %d: %s has a time-out past its deadline", seed, x.request)
			}
			if effect == NotIdempotent && ran[x.request] {
				t.Fatalf("seed %d: unsafe %s sent again after it may have run", seed, x.request)
			}
		}
	}
	finish := func(id string, s AttemptStatus) {
		f.inFlight[id] = false
		wasUp := up[id]
		delete(up, id)
		if !s.ProvesNotRun() {
			ran[id] = true
		}
		closed := wasUp || s == OK || answered(id)
		if closed && !answered(id) {
			f.answers[id]++
		}
		f.b.AttemptEnded(f.now, AttemptResult{RequestID: id, Attempt: f.attempts[id] - 1, Status: s, Elapsed: 10 * ms, Closed: closed})
	}
	n := 0
	ids := []string{}
	for step := 0; step < 1500; step++ {
		f.run(Time(rng.Intn(30)) * ms)
		check()
		// an attempt that has used up its time ends now
		for _, x := range f.attemptsStarted {
			if f.inFlight[x.request] && !up[x.request] && f.last().at <= f.now && sentLast(f, x) && x.at+x.timeout <= f.now {
				finish(x.request, Timeout)
				check()
			}
		}
		switch k := rng.Intn(10); {
		case k < 4:
			id := fmt.Sprint("r", n)
			n++
			ids = append(ids, id)
			left := Time(100+rng.Intn(1900)) * ms
			deadline[id] = f.now + left
			f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Remaining: left, Retry: rng.Intn(5) == 0,
				MidFlow: rng.Intn(5) == 0, ExpectedLoad: float64(rng.Intn(3)) * 1e6, Key: fmt.Sprint("k", rng.Intn(50))})
		case k < 8 && len(ids) > 0:
			id := ids[rng.Intn(len(ids))]
			switch {
			case !f.inFlight[id]:
			case up[id]:
				finish(id, []AttemptStatus{OK, Reset, Cancelled}[rng.Intn(3)])
			case rng.Intn(2) == 0 && !answered(id):
				up[id] = true
				f.b.AttemptEstablished(f.now, id, f.attempts[id]-1, 10*ms)
				if rng.Intn(2) == 0 {
					f.b.Observe(f.now, id, f.attempts[id]-1, Observation(1+rng.Intn(2)), rng.Float64()*1000)
				}
			default:
				finish(id, []AttemptStatus{Error, Full, Timeout, ConnectFailed, Reset}[rng.Intn(5)])
			}
		case k == 8 && len(ids) > 0:
			id := ids[rng.Intn(len(ids))]
			if !answered(id) && !up[id] {
				f.answers[id]++ // the client has gone: nothing more is owed or allowed
				f.b.ClientLeft(f.now, id)
			}
		default:
			s := f.b.hosts[rng.Intn(len(f.b.hosts))]
			e := ListedHost{ID: s.hostID, Zone: "a", Weight: 1, State: HostState(rng.Intn(2)), StartedAt: f.now * Time(rng.Intn(2))}
			drained[s.hostID] = e.State == Draining
			f.b.ListReceived(f.now, ListDelta, []ListedHost{e})
		}
		check()
	}
	for end := 0; end < 500; end++ {
		f.run(20 * ms)
		check()
		for _, x := range f.attemptsStarted {
			if f.inFlight[x.request] && !up[x.request] && sentLast(f, x) && x.at+x.timeout <= f.now {
				finish(x.request, Timeout)
			}
		}
	}
	for _, id := range ids {
		if f.answers[id] != 1 && !up[id] {
			t.Fatalf("seed %d: %s has %d final answers", seed, id, f.answers[id])
		}
		if effect == NotIdempotent && ran[id] && f.answers[id] == 1 {
			if _, refused := f.rejected[id]; refused {
				t.Fatalf("seed %d: unsafe %s rejected though it may have run", seed, id)
			}
		}
	}
	return f.trace
}

// sentLast tells whether x is the newest attempt of its request.
func sentLast(f *fake, x attemptStart) bool {
	for i := len(f.attemptsStarted) - 1; i >= 0; i-- {
		if f.attemptsStarted[i].request == x.request {
			return f.attemptsStarted[i] == x
		}
	}
	return false
}

func TestRulesOnRandomEvents(t *testing.T) {
	for seed := int64(0); seed < 12; seed++ {
		for _, effect := range []Idempotency{Idempotent, IdempotentWithKey, NotIdempotent} {
			play(t, seed, effect)
		}
	}
}

func TestSameEventsSameEffects(t *testing.T) {
	for seed := int64(0); seed < 3; seed++ {
		a, b := play(t, seed, Idempotent), play(t, seed, Idempotent)
		if strings.Join(a, "\n") != strings.Join(b, "\n") {
			t.Fatalf("seed %d: the same events brought other actions", seed)
		}
	}
}
