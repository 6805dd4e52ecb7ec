package balancer

import (
	"fmt"
	"testing"
)

// TestEjectionDoublesAndEnds checks the duration of ejections, that an ejected host gets no requests,
// and that after the ejection one attempt at a time (a trial) shows whether the host has recovered.
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
				t.Fatalf("failure %d: request %d was sent to the ejected host s00, want another host", i, k)
			}
		}
		f.now = h.ejection.until
	}
	// After the ejection, only one trial is in flight at a time until one is established.
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
		t.Fatalf("%d trials of s00 in flight at once, want 1", trials)
	}
	if h.ejection.consecutiveFailures != 0 || h.ejection.until != 0 {
		t.Fatalf("after a success: %d consecutive failures, ejected until %d; want 0 and 0",
			h.ejection.consecutiveFailures, h.ejection.until)
	}
	f.failConnect(h)
	if h.ejection.until-f.now > 10*sec {
		t.Fatalf("first ejection after a success takes %d ms, want at most the initial 10 s",
			(h.ejection.until-f.now)/ms)
	}
}

func TestWhichOutcomesEject(t *testing.T) {
	for _, c := range []struct {
		name     string
		status   AttemptStatus
		disabled bool // settings with EjectionInitial and EjectionMax of 0
		failures int  // consecutive failures that are counted for the host
		avoided  bool // the requests that follow go to other hosts
	}{
		{"a failed connect ejects", ConnectFailed, false, 1, true},
		{"a full host is avoided without ejection", Full, false, 0, true},
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
			t.Errorf("%s: attempts %v, want the first attempt at %s and a retry at another host", c.name, f.attemptsStarted, first)
		}
		if got := f.b.byID[first].ejection.consecutiveFailures; got != c.failures {
			t.Errorf("%s: %d failures of %s counted, want %d", c.name, got, first, c.failures)
		}
		from := len(f.attemptsStarted)
		for i := range 8 {
			f.serve(fmt.Sprint("w", i))
		}
		if n := f.attemptsAt(first, from); (n == 0) != c.avoided {
			t.Errorf("%s: %d of the next 8 attempts are at %s; want the host avoided: %t", c.name, n, first, c.avoided)
		}
	}
}

// TestEmptyPoolFallsBackToAll checks that requests go to ejected hosts if all ready hosts are ejected.
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
		t.Fatalf("attempts at %v, want all hosts except the draining one", seen)
	}
}

func TestRestartEndsEjection(t *testing.T) {
	f := start(t, settings(), fleet(3)...)
	h := f.b.byID["s01"]
	f.failConnect(h)
	f.listChanged(warming("s01", f.now))
	if h.ejection.consecutiveFailures != 0 || h.ejection.until != 0 {
		t.Fatalf("after a restart: %d consecutive failures, ejected until %d; want 0 and 0",
			h.ejection.consecutiveFailures, h.ejection.until)
	}
}

// TestSharedErrorsDelayRetries checks that retries are delayed while all hosts answer with errors,
// and that the delays end after the errors.
func TestSharedErrorsDelayRetries(t *testing.T) {
	f := start(t, settings(), fleet(20)...)
	for i := range 40 { // a store that all hosts share answers with errors
		id := fmt.Sprint(i)
		f.request(id)
		for k := 0; k < 4 && f.inFlight[id]; k++ {
			f.end(id, Error)
		}
	}
	if n := len(f.attemptsStarted); n > 12 {
		t.Fatalf("%d attempts for 40 simultaneous requests that all failed, want at most 12", n)
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
		t.Fatalf("%d attempts started for 20 requests a minute after the errors, want 20", len(f.attemptsStarted)-n)
	}
}
