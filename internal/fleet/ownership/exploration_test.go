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

// The exploration is a model check of Quorum and Fence. It visits the states that their code can
// reach with a bounded number of elections, renewals, restarts, clock steps and effects (messages
// of the leader to a receiver), in every order. A state is called a world. There are three voters,
// two of which may be candidates, and a receiver of their effects. A message that is never
// delivered counts as lost, so losses need no step of their own.

const (
	quorumLease = 1500 * ms
	clockStep   = quorumLease / 3   // by which all clocks advance in one step
	clockSkew   = quorumLease / 120 // by which one clock advances in one step: about what a clock that is 1 % fast gains during a lease
)

// successors holds the worlds that one step from another world leads to.
type successors struct {
	worlds []*world
	from   *world
}

// add applies a step to a copy of the world and checks the result.
func (s *successors) add(step func(next *world)) {
	next := s.from.clone()
	step(next)
	next.check()
	s.worlds = append(s.worlds, next)
}

// successors returns the worlds that the possible steps in this world lead to.
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

// addSkewAndRestart adds the steps in which a voter's clock runs ahead and in which the voter
// restarts.
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

// addCandidateSteps adds the steps of a voter that may be a candidate or the leader.
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
		s.add(func(next *world) { // the leader has checked its lease; the effect may arrive at any later time
			next.effects--
			next.inFlight = append(next.inFlight, packet{from: voter, to: receiverNumber, epoch: next.voters[voter].leader.epoch})
		})
	}
}

// stepClocks advances the clocks of all voters by clockStep, and does what Tick then does: it ends a
// leadership whose lease has ended, and continues an election.
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

// deliver delivers a packet to a voter or to the receiver of effects.
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
		w.violation = fmt.Sprintf("an effect of epoch %d was accepted after one of epoch %d", p.epoch, w.highestEpoch)
	}
	w.highestEpoch = max(w.highestEpoch, p.epoch)
}

// check drops the messages that would be ignored, and records a violation if more than one voter leads.
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

// exploration is the result of explore.
type exploration struct {
	visited   int    // number of worlds visited
	complete  bool   // whether all reachable worlds were visited
	violation string // description of the first violation; empty if there is none
}

// explore visits up to limit worlds that start leads to, each once, and stops at the first violation. f is
// injected into all voters and the receiver. The order is random but the same in each run.
func explore(start world, f FaultInjection, limit int) (e exploration) {
	w := &start
	w.fence = &Fence{Faults: f}
	rng := rand.New(rand.NewPCG(1, 1))
	for voter := range w.voters {
		w.voters[voter] = w.newVoter(voter, 0, f)
	}
	for _, q := range w.voters {
		q.now += 20 * quorumLease // long after the start: no voter abstains, and an epoch may begin with incomplete state
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

// exploreLimit returns the maximum number of worlds to visit without a fault, and whether the
// environment variable EXPLORE_STATES sets it. If the variable is 0, there is no limit.
func exploreLimit(t *testing.T) (limit int, set bool) {
	t.Helper()
	const defaultLimit, unlimited = 3000, 1 << 40
	text := os.Getenv("EXPLORE_STATES")
	if text == "" {
		return defaultLimit, false
	}
	limit, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("EXPLORE_STATES=%q: %v", text, err)
	}
	if limit == 0 {
		limit = unlimited
	}
	return limit, true
}

// TestExploration tests that none of the visited worlds violates a property, and that the exploration
// finds a violation for each injected fault.
func TestExploration(t *testing.T) {
	limit, limitSet := exploreLimit(t)
	for _, c := range []struct {
		name  string
		start world
		fault FaultInjection
		slow  bool // whether the fault is found only after many worlds; then it is injected only if EXPLORE_STATES is set
	}{
		{"a voter that has just started does not abstain", world{elections: 2, restarts: 1, clockSteps: 1}, FaultInjection{SkipAbstention: true}, false},
		{"a lease starts at its reply", world{elections: 2, clockSteps: 3, skews: 1}, FaultInjection{StartLeaseAtReply: true}, true},
		{"a receiver forgets its fencing tokens", world{elections: 2, clockSteps: 3, effects: 2}, FaultInjection{ForgetTokens: true}, true},
	} {
		e := explore(c.start, FaultInjection{}, limit)
		t.Logf("%s: without the fault %d worlds visited, complete: %t", c.name, e.visited, e.complete)
		if e.violation != "" {
			t.Errorf("%s: violation without the fault: %s", c.name, e.violation)
		}
		if c.slow && !limitSet {
			continue
		}
		e = explore(c.start, c.fault, 1<<20)
		t.Logf("%s: violation %q after %d worlds", c.name, e.violation, e.visited)
		if e.violation == "" {
			t.Errorf("%s: no violation found in %d worlds", c.name, e.visited)
		}
	}
}
