package balancer

import (
	"fmt"
	"testing"
)

// What all set-ups wait for alike, a store that hosts share: how long its queue is, and what follows.

// A process that has seen no set-up timed out at the aim, and its calls took the store's time for nobody.
func TestUnknownSetUpTimesAreWaitedFor(t *testing.T) {
	f := start(t, settings(), fleet(20)...)
	f.request("a")
	if got := f.last().timeout; got < 990*ms {
		t.Fatalf("the first attempt of a new process is given up after %d ms of 2,000", got/ms)
	}
	for i := 0; i < 8; i++ {
		f.now += 100 * ms
		id := fmt.Sprint(i)
		f.request(id)
		f.now += 20 * ms
		f.establish(id)
	}
	f.request("b")
	if got := f.last().timeout; got > 600*ms {
		t.Fatalf("set-ups take 20 ms, and a silent host is waited for %d ms", got/ms)
	}
	f.now += 500 * ms // since then a queue may have grown as long as that
	f.request("c")
	if got := f.last().timeout; got < 500*ms {
		t.Fatalf("800 ms without a word, and an attempt is given up after %d ms", got/ms)
	}
}

// A call that can't end in time takes its place in the store's queue all the same.
func TestWhatCannotBeEstablishedInTimeIsRejectedAtOnce(t *testing.T) {
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
		t.Fatalf("sent though set-ups take 1.5 s and more of its 2 s: %v", f.trace)
	}
	if f.rejected["c"] == 0 {
		t.Fatal("rejected without advice: its client is back at once")
	}
	f.now += 2500 * ms // by then it may be gone
	f.request("d")
	if !f.inFlight["d"] {
		t.Fatal("still rejected 2.5 s after")
	}
}

// A full store answers with errors at once; each further attempt was made within milliseconds.
func TestAttemptWaitsAfterTwoEarlyErrors(t *testing.T) {
	f := start(t, settings(), fleet(20)...)
	f.request("a")
	f.end("a", Error)
	if !f.inFlight["a"] {
		t.Fatal("one error: another host is tried at once")
	}
	f.establish("a")
	for _, id := range []string{"b", "c"} {
		f.request(id)
		f.end(id, Error)
	}
	if f.inFlight["c"] {
		t.Fatal("a third attempt at once, though whoever is asked turns away")
	}
	n := len(f.attemptsStarted)
	f.run(sec)
	if len(f.attemptsStarted) == n || f.answers["c"] != 0 {
		t.Fatalf("neither sent nor owed an answer after a second: %v", f.trace)
	}
	f.establish("c")
	f.request("d")
	if !f.inFlight["d"] {
		t.Fatal("sends wait though the last one stands")
	}
}
