package balancer

import (
	"fmt"
	"testing"
)

func TestEjectionDoublesAndEnds(t *testing.T) {
	cfg := settings()
	cfg.EjectionInitial, cfg.EjectionMax = 10*sec, 40*sec
	f := start(t, cfg, fleet(4)...)
	h := f.b.byID["s00"]
	for i, want := range []Time{10, 20, 40, 40} {
		f.failConnect(h)
		got := h.ejection.until - f.now
		if got > want*sec || got < want*sec/2 {
			t.Fatalf("failure %d: ejected for %d ms, expected at most %d s and at least half",
				i, got/ms, want)
		}
		for k := range 12 {
			if f.serve(fmt.Sprintf("q%d-%d", i, k)) == "s00" {
				t.Fatal("an attempt at an ejected host")
			}
		}
		f.now = h.ejection.until
	}
	// The ejection is over: one trial at a time, until one is established.
	for i := range 12 {
		f.request(fmt.Sprint("h", i))
	}
	trials := 0
	for _, a := range f.attemptsStarted[len(f.attemptsStarted)-12:] {
		if a.host == "s00" {
			trials++
			f.b.AttemptEstablished(f.now, a.request, 0, ms)
		}
	}
	if trials != 1 {
		t.Fatalf("%d trials at once, expected 1", trials)
	}
	if h.ejection.consecutiveFailures != 0 || h.ejection.until != 0 {
		t.Fatal("still ejected after a success")
	}
	f.failConnect(h)
	if h.ejection.until-f.now > 10*sec {
		t.Fatal("the first ejection after a success is longer than the initial one")
	}
}

func TestWhichOutcomesEject(t *testing.T) {
	for _, c := range []struct {
		name     string
		status   AttemptStatus
		disabled bool
		failures int
		avoided  bool // by the requests that follow
	}{
		{"a failed connect ejects", ConnectFailed, false, 1, true},
		{"a full host is passed over without ejection", Full, false, 0, true},
		{"settings of 0 disable ejection", ConnectFailed, true, 0, false},
	} {
		cfg := settings()
		if c.disabled {
			cfg.EjectionInitial, cfg.EjectionMax = 0, 0
		}
		f := start(t, cfg, fleet(4)...)
		f.request("r")
		first := f.lastAttempt().host
		f.end("r", c.status)
		if len(f.attemptsStarted) != 2 || f.lastAttempt().host == first {
			t.Errorf("%s: no retry at another host: %v", c.name, f.attemptsStarted)
		}
		if got := f.b.byID[first].ejection.consecutiveFailures; got != c.failures {
			t.Errorf("%s: %d failures counted, expected %d", c.name, got, c.failures)
		}
		from := len(f.attemptsStarted)
		for i := range 8 {
			f.serve(fmt.Sprint("w", i))
		}
		if n := f.attemptsAt(first, from); (n == 0) != c.avoided {
			t.Errorf("%s: %d of the next 8 attempts are at that host", c.name, n)
		}
	}
}

func TestEmptyPoolFallsBackToAll(t *testing.T) {
	f := start(t, settings(), append(fleet(3), listed("draining", Draining))...)
	ejectAll := func() {
		for _, h := range f.b.hosts {
			f.failConnect(h)
		}
	}
	ejectAll()
	seen := map[string]bool{}
	for i := range 6 {
		seen[f.serve(fmt.Sprint(i))] = true
		ejectAll()
	}
	if len(seen) != 3 || seen["draining"] {
		t.Fatalf("attempts at %v, expected all three but the draining one", seen)
	}
}

func TestRestartEndsEjection(t *testing.T) {
	f := start(t, settings(), fleet(3)...)
	h := f.b.byID["s01"]
	f.failConnect(h)
	f.listChanged(warming("s01", f.now))
	if h.ejection.consecutiveFailures != 0 || h.ejection.until != 0 {
		t.Fatal("a restarted host is still ejected for the failures of the process before")
	}
}

// TestSharedErrorsAreNoReasonToRetryElsewhere: where all hosts answer with errors, retries are delayed.
func TestSharedErrorsAreNoReasonToRetryElsewhere(t *testing.T) {
	f := start(t, settings(), fleet(20)...)
	for i := range 40 { // a store that all hosts share answers with errors
		id := fmt.Sprint(i)
		f.request(id)
		for k := 0; k < 4 && f.inFlight[id]; k++ {
			f.end(id, Error)
		}
	}
	if n := len(f.attemptsStarted); n > 12 {
		t.Fatalf("%d attempts for 40 requests at once, though none was established", n)
	}
	f.run(5 * sec)
	for i := range 40 {
		if id := fmt.Sprint(i); f.inFlight[id] {
			f.end(id, Error)
		}
	}
	f.run(5 * sec)
	n := len(f.attemptsStarted)
	f.now += 60 * sec
	for i := range 20 {
		f.serve(fmt.Sprint("w", i))
	}
	if len(f.attemptsStarted) != n+20 {
		t.Fatal("attempts are still delayed a minute after the errors")
	}
}
