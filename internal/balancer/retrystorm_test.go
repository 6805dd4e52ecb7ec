package balancer

import (
	"fmt"
	"testing"
)

// leaveEarly makes n requests arrive, whose clients leave after the given time, with an attempt in flight.
func (f *fake) leaveEarly(n int, after Time) {
	for i := range n {
		id := fmt.Sprint("leaving", f.now, i)
		f.request(id)
		f.run(after)
		f.b.ClientLeft(f.now, id)
		f.inFlight[id] = false
		f.b.AttemptEnded(f.now, AttemptResult{RequestID: id, Attempt: f.attempts[id] - 1, Status: Cancelled, Elapsed: after, Closed: true})
	}
}

// TestLeavingClientsDelayNoOthers guards against other clients' requests that wait because clients left before
// their answer: hosts that were not late yet are not in a retry storm.
func TestLeavingClientsDelayNoOthers(t *testing.T) {
	f := start(t, settings(), fleet(4)...)
	for i := range 10 {
		f.serve(fmt.Sprint("before", i))
	}
	f.leaveEarly(200, 10*ms)
	f.request("sound")
	if f.attempts["sound"] != 1 {
		t.Errorf("%d attempts at once after 200 clients left early, want 1", f.attempts["sound"])
	}
}

// TestGivenUpAttemptsIndicateRetryStorm checks that attempts that clients give up because the hosts are late
// still delay new ones.
func TestGivenUpAttemptsIndicateRetryStorm(t *testing.T) {
	f := start(t, settings(), fleet(4)...)
	f.leaveEarly(20, 400*ms) // the latency objective is 300 ms
	f.request("sound")
	if f.attempts["sound"] != 0 {
		t.Errorf("%d attempts at once after 20 attempts were given up as late, want 0", f.attempts["sound"])
	}
}
