package ownership

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"croftlock/internal/fleet/group"
)

// The exploration visits the states that this package's own code can reach with a bounded number of elections, renewals, restarts, clock steps
// and effects, in every order. There are three voters, two of which are candidates, and a receiver of their effects. A message that is never
// delivered is lost, so loss needs no step of its own.

const (
	quorumLease = 1500 * ms
	clockStep   = quorumLease / 3   // of all clocks at a time
	clockSkew   = quorumLease / 120 // of one clock: about what it drifts in a lease, at 1%
)

// successors are the worlds that one step leads to.
type successors struct {
	worlds []*world
	from   *world
}

// add plays one step in a copy of the world.
func (s *successors) add(step func(next *world)) {
	next := s.from.clone()
	step(next)
	next.check()
	s.worlds = append(s.worlds, next)
}

// successors plays each step that is possible in this world.
func (w *world) successors(f FaultInjection) []*world {
	s := &successors{from: w}
	for i, p := range w.inFlight {
		s.add(func(next *world) {
			next.inFlight = slices.Delete(next.inFlight, i, i+1)
			next.deliver(p)
		})
	}
	if w.clockSteps > 0 {
		s.add((*world).stepClocks)
	}
	for voter := range w.voters {
		w.addSkewAndRestart(s, voter, f)
	}
	for voter := range candidateCount {
		w.addCandidateSteps(s, voter)
	}
	return s.worlds
}

func (w *world) addSkewAndRestart(s *successors, voter int, f FaultInjection) {
	if w.skews > 0 {
		s.add(func(next *world) {
			next.skews--
			next.voters[voter].now += clockSkew
		})
	}
	if w.restarts > 0 {
		s.add(func(next *world) {
			next.restarts--
			next.voters[voter] = next.newVoter(voter, next.voters[voter].now, f)
		})
	}
}

func (w *world) addCandidateSteps(s *successors, voter int) {
	q := w.voters[voter]
	leads := q.leads() && q.now < q.leader.leaseEnd
	if w.elections > 0 && !q.leads() && !q.abstains() && q.now >= q.voter.grantEnd {
		s.add(func(next *world) {
			next.elections--
			next.voters[voter].becomeCandidate()
		})
	}
	if w.renewals > 0 && leads {
		s.add(func(next *world) {
			next.renewals--
			next.voters[voter].requestLease()
		})
	}
	if w.effects > 0 && leads {
		s.add(func(next *world) { // it has checked its lease; the effect may arrive at any later time
			next.effects--
			next.inFlight = append(next.inFlight, packet{from: voter, to: receiverNumber, epoch: next.voters[voter].leader.epoch})
		})
	}
}

// stepClocks lets time pass for all voters alike.
func (w *world) stepClocks() {
	w.clockSteps--
	for _, q := range w.voters {
		q.now += clockStep
		if q.leads() && q.now >= q.leader.leaseEnd {
			q.becomeFollower()
		}
		if q.candidate.ballot != 0 && q.candidate.stateSource == 0 {
			q.chooseState()
		}
	}
}

func (w *world) deliver(p packet) {
	if p.to != receiverNumber {
		q := w.voters[p.to]
		q.Receive(q.now, group.Peer(voterNames[p.from]), p.data)
		return
	}
	if verdict, _ := w.fence.Check("j", FencingToken{p.epoch, 1}); verdict != Accepted {
		return
	}
	if p.epoch < w.highestEpoch {
		w.violation = fmt.Sprintf("an effect of epoch %d is accepted after one of epoch %d", p.epoch, w.highestEpoch)
	}
	w.highestEpoch = max(w.highestEpoch, p.epoch)
}

// check checks what must hold in every world: at most one voter leads.
func (w *world) check() {
	w.dropIgnored()
	leader := -1
	for i, q := range w.voters {
		if !q.leads() || q.now >= q.leader.leaseEnd {
			continue
		}
		if leader >= 0 {
			w.violation = fmt.Sprintf("%s and %s both lead", voterNames[leader], voterNames[i])
		}
		leader = i
	}
}

// exploration is the outcome of explore.
type exploration struct {
	visited   int
	complete  bool   // all reachable worlds were visited
	violation string // "": none
}

// explore visits up to limit worlds, each once, in an order that is random but the same in each run.
func explore(start world, f FaultInjection, limit int) (e exploration) {
	w := &start
	w.fence = &Fence{Faults: f}
	rng := rand.New(rand.NewPCG(1, 1))
	for voter := range w.voters {
		w.voters[voter] = w.newVoter(voter, 0, f)
	}
	for _, q := range w.voters {
		q.now += 20 * quorumLease // the fleet has been up for that long
	}
	known := map[uint64]bool{w.key(): true}
	queue := []*world{w}
	for len(queue) > 0 {
		i := rng.IntN(len(queue))
		w, queue[i] = queue[i], queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		e.visited++
		if e.visited >= limit {
			return e
		}
		for _, next := range w.successors(f) {
			if next.violation != "" {
				e.violation = next.violation
				return e
			}
			if key := next.key(); !known[key] {
				known[key] = true
				queue = append(queue, next)
			}
		}
	}
	e.complete = true
	return e
}

// exploreLimit bounds the worlds visited without a fault; set says whether EXPLORE_STATES gives it, where 0 means all.
func exploreLimit(t *testing.T) (limit int, set bool) {
	t.Helper()
	const byDefault, all = 3000, 1 << 40
	text := os.Getenv("EXPLORE_STATES")
	if text == "" {
		return byDefault, false
	}
	limit, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("EXPLORE_STATES: %v", err)
	}
	if limit == 0 {
		limit = all
	}
	return limit, true
}

// TestExploration: no reachable world violates a property, and with a fault injected one does.
func TestExploration(t *testing.T) {
	limit, byHand := exploreLimit(t)
	for _, c := range []struct {
		name  string
		start world
		fault FaultInjection
		slow  bool // to find the fault takes many worlds: only with EXPLORE_STATES
	}{
		{"a voter that has just started does not abstain", world{elections: 2, restarts: 1, clockSteps: 1}, FaultInjection{SkipAbstention: true}, false},
		{"a lease counts from its answer", world{elections: 2, clockSteps: 3, skews: 1}, FaultInjection{StartLeaseAtReply: true}, true},
		{"a receiver forgets its fencing tokens", world{elections: 2, clockSteps: 3, effects: 2}, FaultInjection{ForgetTokens: true}, true},
	} {
		e := explore(c.start, FaultInjection{}, limit)
		t.Logf("without a fault: %d worlds visited, all of them: %t", e.visited, e.complete)
		if e.violation != "" {
			t.Errorf("%s: violated without the fault: %s", c.name, e.violation)
		}
		if c.slow && !byHand {
			continue
		}
		e = explore(c.start, c.fault, 1<<20)
		t.Logf("%s: %q after %d worlds", c.name, e.violation, e.visited)
		if e.violation == "" {
			t.Errorf("%s: not found", c.name)
		}
	}
}
