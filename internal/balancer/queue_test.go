package balancer

import (
	"fmt"
	"testing"
)

// The tests in this file assume that the set-ups of connections at all hosts wait in one queue, that
// of a store which the hosts share.

// TestFirstAttemptsHaveLongTimeouts checks that an attempt gets half of its request's time while
// few set-ups have been seen, since an attempt that has timed out keeps its place in the queue. Later
// timeouts are derived from the duration of set-ups.
func TestFirstAttemptsHaveLongTimeouts(t *testing.T) {
	f := start(t, settings(), fleet(20)...)
	f.request("a")
	if got := f.lastAttempt().timeout; got < 990*ms {
		t.Fatalf("first attempt of a new process, with 2000 ms left: timeout %d ms, want at least 990", got/ms)
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
		t.Fatalf("timeout after set-ups of 20 ms: %d ms, want at most 600", got/ms)
	}
	f.now += 500 * ms // the queue may have grown by as much since the last set-up
	f.request("c")
	if got := f.lastAttempt().timeout; got < 500*ms {
		t.Fatalf("timeout 500 ms after the last set-up: %d ms, want at least 500", got/ms)
	}
}

// TestRequestsWithoutEnoughTimeAreRejectedAtOnce checks that no attempt starts that cannot be
// established in time, since it would only lengthen the queue.
func TestRequestsWithoutEnoughTimeAreRejectedAtOnce(t *testing.T) {
	f := start(t, settings(), fleet(20)...)
	for _, id := range []string{"a", "b"} {
		f.request(id)
	}
	// slow reports that a request's attempt has set up its connection in 1.5 s.
	slow := func(id string) { f.b.AttemptEstablished(f.now, id, f.attempts[id]-1, 1500*ms) }
	f.now += 900 * ms
	slow("a")
	f.request("one") // one slow set-up may be the fault of its host alone
	if !f.inFlight["one"] {
		t.Fatalf("request one is not attempted after one slow set-up, want an attempt: effects %v", f.trace)
	}
	slow("b")
	n := len(f.attemptsStarted)
	f.request("c")
	if len(f.attemptsStarted) != n || f.answers["c"] != 1 {
		t.Fatalf("request c has %d answers after two set-ups that took as long as it has left, want a rejection "+
			"at once and no attempt: effects %v", f.answers["c"], f.trace)
	}
	if f.rejected["c"] == 0 {
		t.Fatalf("request c is rejected without a Retry-After, want a Retry-After above 0: effects %v", f.trace)
	}
	f.now += 2500 * ms // the queue may be empty by then
	f.request("d")
	if !f.inFlight["d"] {
		t.Fatalf("request d is not attempted 2.5 s later, want an attempt: effects %v", f.trace)
	}
}

// TestAttemptWaitsAfterTwoEarlyErrors checks that retries are delayed when a full store answers
// with errors at once. Without the delay they would be made within milliseconds.
func TestAttemptWaitsAfterTwoEarlyErrors(t *testing.T) {
	f := start(t, settings(), fleet(20)...)
	f.request("a")
	f.end("a", Error)
	if !f.inFlight["a"] {
		t.Fatalf("request a is not retried at once after one error, want a retry: effects %v", f.trace)
	}
	f.establish("a")
	for _, id := range []string{"b", "c"} {
		f.request(id)
		f.end(id, Error)
	}
	if f.inFlight["c"] {
		t.Fatalf("request c is retried at once after two consecutive early errors, want a delay: effects %v", f.trace)
	}
	n := len(f.attemptsStarted)
	f.run(sec)
	if len(f.attemptsStarted) == n || f.answers["c"] != 0 {
		t.Fatalf("request c: %d attempts within a second and %d answers, want at least 1 and 0: effects %v",
			len(f.attemptsStarted)-n, f.answers["c"], f.trace)
	}
	f.establish("c")
	f.request("d")
	if !f.inFlight["d"] {
		t.Fatalf("request d is delayed after an attempt was established, want an attempt at once: effects %v", f.trace)
	}
}
