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

// The exploration plays every order in which a bounded number of messages, losses, starts and steps of clocks can fall, of three voters of
// which two would lead, and a receiver that either sends effects to. It is this package's own code that it plays. A message that is
// never delivered is lost, so losing needs no step of its own.

const (
	quorumLease = 1500 * ms
	stepBy      = quorumLease / 3
	skewBy      = quorumLease / 120 // what a clock of one in a hundred gains in a lease, and some
)

// successors are all worlds that can follow.
type successors struct {
	worlds []*world
	from   *world
}

// add plays one step in a copy of the world.
func (s *successors) add(step func(c *world)) {
	c := s.from.clone()
	step(c)
	c.check()
	s.worlds = append(s.worlds, c)
}

func (w *world) next(f FaultInjection) []*world {
	s := &successors{from: w}
	for i, e := range w.inFlight {
		s.add(func(c *world) {
			c.inFlight = slices.Delete(c.inFlight, i, i+1)
			c.deliver(e)
		})
	}
	if w.steps > 0 {
		s.add((*world).stepClocks)
	}
	for i := range w.voters {
		w.addClockAndStart(s, i, f)
	}
	for i := range candidates {
		w.addCandidateSteps(s, i)
	}
	return s.worlds
}

func (w *world) addClockAndStart(s *successors, i int, f FaultInjection) {
	if w.skews > 0 {
		s.add(func(c *world) {
			c.skews--
			c.voters[i].now += skewBy
		})
	}
	if w.restarts > 0 {
		s.add(func(c *world) {
			c.restarts--
			c.voters[i] = c.newVoter(i, c.voters[i].now, f)
		})
	}
}

func (w *world) addCandidateSteps(s *successors, i int) {
	q := w.voters[i]
	leads := q.leads() && q.now < q.leader.leaseEnd
	if w.elections > 0 && !q.leads() && !q.abstains() && q.now >= q.voter.grantEnd {
		s.add(func(c *world) {
			c.elections--
			c.voters[i].becomeCandidate()
		})
	}
	if w.renewals > 0 && leads {
		s.add(func(c *world) {
			c.renewals--
			c.voters[i].requestLease()
		})
	}
	if w.effects > 0 && leads {
		s.add(func(c *world) { // it has looked at its lease; when what it sends arrives is anybody's guess
			c.effects--
			c.inFlight = append(c.inFlight, packet{from: i, to: receiverNumber, epoch: c.voters[i].leader.epoch})
		})
	}
}

func (w *world) stepClocks() {
	w.steps--
	for _, q := range w.voters {
		q.now += stepBy
		if q.leads() && q.now >= q.leader.leaseEnd {
			q.becomeFollower()
		}
		if q.candidate.ballot != 0 && q.candidate.stateFrom == 0 {
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
	if v, _ := w.fence.Check("j", FencingToken{p.epoch, 1}); v != Accepted {
		return
	}
	if p.epoch < w.highestEpoch {
		w.violation = fmt.Sprintf("an effect of %d is taken after one of %d", p.epoch, w.highestEpoch)
	}
	w.highestEpoch = max(w.highestEpoch, p.epoch)
}

// check is what must hold in every world: at most one voter leads.
func (w *world) check() {
	w.trim()
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
	complete  bool   // all worlds that there are
	violation string // "": none
}

// explore visits worlds, each once, in an order drawn alike each time; up to a limit.
func explore(start world, f FaultInjection, limit int) (e exploration) {
	w := &start
	w.fence = &Fence{Faults: f}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range w.voters {
		w.voters[i] = w.newVoter(i, 0, f)
	}
	for _, q := range w.voters {
		q.now += 20 * quorumLease // the fleet has been up for that long
	}
	seen := map[uint64]bool{w.key(): true}
	queue := []*world{w}
	for len(queue) > 0 {
		i := rng.IntN(len(queue))
		w, queue[i] = queue[i], queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		e.visited++
		if e.visited >= limit {
			return e
		}
		for _, n := range w.next(f) {
			if n.violation != "" {
				e.violation = n.violation
				return e
			}
			if k := n.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, n)
			}
		}
	}
	e.complete = true
	return e
}

// TestExploration: EXPLORE_STATES bounds each; 0: all there are.
func TestExploration(t *testing.T) {
	limit := 3000
	if s := os.Getenv("EXPLORE_STATES"); s != "" {
		if limit, _ = strconv.Atoi(s); limit == 0 {
			limit = 1 << 40
		}
	}
	for i, c := range []struct {
		name  string
		start world
		fault FaultInjection
	}{
		{"a voter that has started does not abstain", world{elections: 2, restarts: 1, steps: 1}, FaultInjection{SkipAbstention: true}},
		{"a lease counted from its answer", world{elections: 2, steps: 3, skews: 1}, FaultInjection{LeaseFromAnswer: true}},
		{"a receiver forgets its fence", world{elections: 2, steps: 3, effects: 2}, FaultInjection{ForgetTokens: true}},
	} {
		e := explore(c.start, FaultInjection{}, limit)
		t.Logf("as it is: %d worlds visited, all of them: %t", e.visited, e.complete)
		if e.violation != "" {
			t.Errorf("%s, without the fault: %s", c.name, e.violation)
		}
		if i > 0 && os.Getenv("EXPLORE_STATES") == "" {
			continue // many worlds: by hand
		}
		e = explore(c.start, c.fault, 1<<20)
		t.Logf("%s: %q after %d worlds", c.name, e.violation, e.visited)
		if e.violation == "" {
			t.Errorf("%s: not found", c.name)
		}
	}
}
