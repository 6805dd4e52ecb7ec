package balancer

import (
	"fmt"
	"testing"
)

// What follows from set-ups that wait in one queue, that of a store which all hosts share.

// TestFirstAttemptsHaveLongTimeouts: a process that has seen few set-ups gives an attempt half of its time,
// since one that is given up keeps its place in the queue. Later ones are bounded by what set-ups took.
func TestFirstAttemptsHaveLongTimeouts(t *testing.T) {
	f := start(t, settings(), fleet(20)...)
	f.request("a")
	if got := f.lastAttempt().timeout; got < 990*ms {
		t.Fatalf("the first attempt of a new process has a timeout of %d ms of 2,000", got/ms)
	}
	for i := range 8 {
		f.now += 100 * ms
		id := fmt.Sprint(i)
		f.request(id)
		f.now += 20 * ms
		f.establish(id)
	}
	f.request("b")
	if got := f.lastAttempt().timeout; got > 600*ms {
		t.Fatalf("set-ups take 20 ms, and the timeout is %d ms", got/ms)
	}
	f.now += 500 * ms // since the last set-up the queue may have grown as long as that
	f.request("c")
	if got := f.lastAttempt().timeout; got < 500*ms {
		t.Fatalf("500 ms after the last set-up the timeout is %d ms", got/ms)
	}
}

// TestHopelessRequestsAreRejectedAtOnce: an attempt that cannot be established in time would only lengthen
// the queue.
func TestHopelessRequestsAreRejectedAtOnce(t *testing.T) {
	f := start(t, settings(), fleet(20)...)
	for _, id := range []string{"a", "b"} {
		f.request(id)
	}
	slow := func(id string) { f.b.AttemptEstablished(f.now, id, f.attempts[id]-1, 1500*ms) }
	f.now += 900 * ms
	slow("a")
	f.request("one") // one slow set-up may be its host's alone
	if !f.inFlight["one"] {
		t.Fatal("rejected for one slow set-up")
	}
	slow("b")
	n := len(f.attemptsStarted)
	f.request("c")
	if len(f.attemptsStarted) != n || f.answers["c"] != 1 {
		t.Fatalf("not rejected at once though the last two set-ups took as long as it has: %v", f.trace)
	}
	if f.rejected["c"] == 0 {
		t.Fatal("rejected without a Retry-After")
	}
	f.now += 2500 * ms // by then the queue may be empty
	f.request("d")
	if !f.inFlight["d"] {
		t.Fatal("still rejected 2.5 s later")
	}
}

// TestAttemptWaitsAfterTwoEarlyErrors: a full store answers with errors at once, so that retries would be
// made within milliseconds.
func TestAttemptWaitsAfterTwoEarlyErrors(t *testing.T) {
	f := start(t, settings(), fleet(20)...)
	f.request("a")
	f.end("a", Error)
	if !f.inFlight["a"] {
		t.Fatal("no retry at once after one error")
	}
	f.establish("a")
	for _, id := range []string{"b", "c"} {
		f.request(id)
		f.end(id, Error)
	}
	if f.inFlight["c"] {
		t.Fatal("an attempt at once after two early errors in a row")
	}
	n := len(f.attemptsStarted)
	f.run(sec)
	if len(f.attemptsStarted) == n || f.answers["c"] != 0 {
		t.Fatalf("no attempt within a second, or answered already: %v", f.trace)
	}
	f.establish("c")
	f.request("d")
	if !f.inFlight["d"] {
		t.Fatal("an attempt is delayed though the last one was established")
	}
}
