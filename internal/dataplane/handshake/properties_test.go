package handshake

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// handshakeState is the state of a handshake in the model.
type handshakeState string

const (
	waiting  handshakeState = "waiting"
	inFlight handshakeState = "in_flight"
	done     handshakeState = "done"
	rejected handshakeState = "rejected"
	dropped  handshakeState = "dropped"
	late     handshakeState = "late"
)

// modelHandshake is the model's record of one handshake.
type modelHandshake struct {
	state    handshakeState
	host     string
	deadline int64 // nanoseconds
	resumed  bool  // a session is available
}

// model checks a budget against a record of each handshake, and against a twin budget that gets the
// same calls.
type model struct {
	t            *rapid.T
	limits       Limits
	budget, twin *Budget
	now          int64                      // nanoseconds, from 0
	last         uint64                     // the ID of the last handshake
	handshakes   map[uint64]*modelHandshake // by ID
	inFlight     []uint64                   // IDs
	weight       float64                    // sum of the weights of all handshakes that have begun
	hostWeight   map[string]float64         // the same by host
}

// newModel returns a model with random limits.
func newModel(t *rapid.T) *model {
	l := Limits{CPUShare: rapid.Float64Range(0.05, 1).Draw(t, "cpu"), Rate: rapid.Float64Range(5, 500).Draw(t, "rate"),
		HostRate: rapid.Float64Range(2, 200).Draw(t, "hostRate"), MaxInFlight: rapid.IntRange(1, 20).Draw(t, "atOnce"),
		MaxInFlightPerHost: rapid.IntRange(1, 8).Draw(t, "hostAtOnce"), Burst: 50 * time.Millisecond, MaxQueued: 60,
		ResumedFactor: 0.5}
	return &model{t: t, limits: l, budget: New(l, 0), twin: New(l, 0), handshakes: map[uint64]*modelHandshake{}, hostWeight: map[string]float64{}}
}

// end sets the final state of a handshake. It fails the test unless the handshake is waiting, or is
// in flight and ends as done.
func (m *model) end(id uint64, state handshakeState) {
	h := m.handshakes[id]
	if h == nil || h.state != waiting && !(state == done && h.state == inFlight) {
		m.t.Fatalf("handshake %d ended as %s, want it waiting, or in flight if it ends as done: %+v", id, state, h)
	}
	h.state = state
}

// enqueue requests a handshake with a random host, deadline and session.
func (m *model) enqueue() {
	m.last++
	handshake := &modelHandshake{state: waiting, host: fmt.Sprint("s", rapid.IntRange(0, 3).Draw(m.t, "host"))}
	handshake.deadline = m.now + rapid.Int64Range(0, 800*ms).Draw(m.t, "within")
	handshake.resumed = rapid.Bool().Draw(m.t, "resumed")
	m.handshakes[m.last] = handshake
	reason := m.budget.Enqueue(m.now, m.last, handshake.host, handshake.resumed, handshake.deadline)
	if twinReason := m.twin.Enqueue(m.now, m.last, handshake.host, handshake.resumed, handshake.deadline); twinReason != reason {
		m.t.Fatalf("Enqueue(%d) = %v, but %v on the twin", m.last, reason, twinReason)
	}
	if reason != NotRejected {
		m.end(m.last, rejected)
	}
}

// finish ends a random handshake in flight.
func (m *model) finish() {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "which")
	id := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	cpu := time.Duration(rapid.Int64Range(0, 2*ms).Draw(m.t, "took"))
	m.budget.Done(m.now, id, m.handshakes[id].resumed, cpu, true)
	m.twin.Done(m.now, id, m.handshakes[id].resumed, cpu, true)
	m.end(id, done)
}

// drop drops a random handshake, in whatever state it is.
func (m *model) drop() {
	id := uint64(rapid.Int64Range(0, int64(m.last)).Draw(m.t, "drop"))
	m.budget.Drop(id)
	m.twin.Drop(id)
	if h := m.handshakes[id]; h != nil && h.state == waiting {
		m.end(id, dropped)
	}
}

// begin calls Next and checks the handshakes that begin.
func (m *model) begin() {
	begin, tooLate, _ := m.budget.Next(m.now)
	twinBegin, twinTooLate, _ := m.twin.Next(m.now)
	if fmt.Sprint(begin, tooLate) != fmt.Sprint(twinBegin, twinTooLate) || m.budget.Describe() != m.twin.Describe() {
		m.t.Fatalf("Next returned begin %v and late %v, but %v and %v on the twin, or their states differ", begin, tooLate, twinBegin, twinTooLate)
	}
	for _, id := range tooLate {
		m.end(id, late)
	}
	for _, id := range begin {
		h := m.handshakes[id]
		if h.state != waiting || h.deadline < m.now {
			m.t.Fatalf("handshake %d began at %d, want it waiting and before its deadline: %+v", id, m.now, h)
		}
		h.state = inFlight
		m.inFlight = append(m.inFlight, id)
		weight := 1.0
		if h.resumed {
			weight = 0.5
		}
		m.weight += weight
		m.hostWeight[h.host] += weight
	}
}

// checkLimits checks that no limit is exceeded by more than its burst or one handshake.
func (m *model) checkLimits() {
	if len(m.inFlight) > m.limits.MaxInFlight {
		m.t.Fatalf("%d handshakes in flight, want at most %d", len(m.inFlight), m.limits.MaxInFlight)
	}
	byHost := map[string]int{}
	for _, id := range m.inFlight {
		byHost[m.handshakes[id].host]++
	}
	for host, n := range byHost {
		if n > m.limits.MaxInFlightPerHost {
			m.t.Fatalf("%d handshakes in flight with host %s, want at most %d", n, host, m.limits.MaxInFlightPerHost)
		}
	}
	span := float64(m.now) / 1e9
	if maxWeight := m.limits.Rate*span + math.Max(1, m.limits.Rate*0.05); m.weight > maxWeight+1e-6 {
		m.t.Fatalf("handshakes of weight %v in %v s, want at most %v at %v per second", m.weight, span, maxWeight, m.limits.Rate)
	}
	for host, weight := range m.hostWeight {
		if maxWeight := m.limits.HostRate*span + math.Max(1, m.limits.HostRate*0.05); weight > maxWeight+1e-6 {
			m.t.Fatalf("handshakes of weight %v with host %s in %v s, want at most %v at %v per second", weight, host, span, maxWeight, m.limits.HostRate)
		}
	}
}

// checkCounts compares the counts of the budget with the model's.
func (m *model) checkCounts() {
	queued := 0
	for _, h := range m.handshakes {
		if h.state == waiting {
			queued++
		}
	}
	if queued != m.budget.Waiting() || len(m.inFlight) != m.budget.InFlight() {
		m.t.Fatalf("want %d waiting and %d in flight, budget has: %s", queued, len(m.inFlight), m.budget.Describe())
	}
}

// Random requests, ends and drops at random times. No limit may be exceeded by more than its burst
// or one handshake, every request must end in one way, none may begin after its deadline, and the
// same calls must return the same results.
func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now += rapid.Int64Range(0, 20*ms).Draw(t, "dt")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				m.enqueue()
			case 2:
				m.finish()
			case 3:
				m.drop()
			}
			m.begin()
			m.checkLimits()
		}
		m.checkCounts()
	})
}
