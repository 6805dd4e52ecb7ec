package balancer

import (
	"fmt"
	"testing"
)

func TestEjectionDoublesAndEnds(t *testing.T) {
	cfg := settings()
	cfg.EjectionInitial, cfg.EjectionMax = 10*sec, 40*sec
	f := start(t, cfg, fleet(4)...)
	s := f.b.byID["s00"]
	longest := Time(0)
	for i, want := range []Time{10, 20, 40, 40} {
		f.failConnect(s)
		got := s.ejection.until - f.now
		if got > want*sec || got < want*sec/2 {
			t.Fatalf("failure %d: ejected %d ms, want at most %d s and at least half", i, got/ms, want)
		}
		longest = max(longest, got)
		for k := 0; k < 12; k++ {
			if f.serve(fmt.Sprintf("q%d-%d", i, k)) == "s00" {
				t.Fatal("an ejected host got a turn")
			}
		}
		f.now = s.ejection.until
	}
	// half-open: exactly one trial at a time
	for i := 0; i < 12; i++ {
		f.request(fmt.Sprint("h", i))
	}
	trials := 0
	for _, x := range f.attemptsStarted[len(f.attemptsStarted)-12:] {
		if x.host == "s00" {
			trials++
			f.b.AttemptEstablished(f.now, x.request, 0, ms)
		}
	}
	if trials != 1 {
		t.Fatalf("%d trials at once, want 1", trials)
	}
	if s.ejection.consecutiveFailures != 0 || s.ejection.until != 0 {
		t.Fatal("success did not restore the host")
	}
	f.failConnect(s)
	if s.ejection.until-f.now > 10*sec {
		t.Fatal("success did not reset the period")
	}
}

func TestFailedConnectEjectsAndRetriesElsewhere(t *testing.T) {
	f := start(t, settings(), fleet(4)...)
	f.request("r")
	first := f.last().host
	f.end("r", ConnectFailed)
	if len(f.attemptsStarted) != 2 || f.last().host == first {
		t.Fatalf("no further attempt elsewhere: %v", f.attemptsStarted)
	}
	if f.b.byID[first].ejection.consecutiveFailures != 1 {
		t.Fatal("failed connect did not eject")
	}
}

func TestFullHostIsSkippedOnly(t *testing.T) {
	f := start(t, settings(), fleet(4)...)
	f.request("r")
	first := f.last().host
	f.end("r", Full)
	if f.last().host == first || f.b.byID[first].ejection.consecutiveFailures != 0 {
		t.Fatal("full should go elsewhere without ejection")
	}
}

func TestZeroDisablesEjection(t *testing.T) {
	cfg := settings()
	cfg.EjectionInitial, cfg.EjectionMax = 0, 0
	f := start(t, cfg, fleet(3)...)
	f.request("r")
	first := f.last().host
	f.end("r", ConnectFailed)
	if f.b.byID[first].ejection.consecutiveFailures != 0 {
		t.Fatal("ejection acted though disabled")
	}
}

func TestEmptyPoolFallsBackToAll(t *testing.T) {
	f := start(t, settings(), append(fleet(3), ListedHost{ID: "drain", Zone: "a", Weight: 1, State: Draining})...)
	for _, s := range f.b.hosts {
		f.failConnect(s)
	}
	seen := map[string]bool{}
	for i := 0; i < 6; i++ {
		seen[f.serve(fmt.Sprint(i))] = true
		for _, s := range f.b.hosts {
			f.failConnect(s)
		}
	}
	if len(seen) != 3 || seen["drain"] {
		t.Fatalf("fallback reached %v, want all three but the draining one", seen)
	}
}

func TestRestartClearsEjection(t *testing.T) {
	f := start(t, settings(), fleet(3)...)
	s := f.b.byID["s01"]
	f.failConnect(s)
	f.b.ListReceived(f.now, ListDelta, []ListedHost{{ID: "s01", Zone: "a", Weight: 1, StartedAt: f.now}})
	if s.ejection.consecutiveFailures != 0 || s.ejection.until != 0 {
		t.Fatal("a restarted host stays shunned for its predecessor's failures")
	}
}

func TestSharedErrorsAreNotChasedFromHostToHost(t *testing.T) {
	f := start(t, settings(), fleet(20)...)
	for i := 0; i < 40; i++ { // everything fails alike, as with a store that turns calls away
		id := fmt.Sprint(i)
		f.request(id)
		for k := 0; k < 4 && f.inFlight[id]; k++ {
			f.end(id, Error)
		}
	}
	if len(f.attemptsStarted) > 12 {
		t.Fatalf("%d attempts for 40 requests within a moment, though none of them stood", len(f.attemptsStarted))
	}
	f.run(5 * sec)
	for i := 0; i < 40; i++ {
		if id := fmt.Sprint(i); f.inFlight[id] {
			f.end(id, Error)
		}
	}
	f.run(5 * sec)
	n := len(f.attemptsStarted)
	f.now += 60 * sec
	for i := 0; i < 20; i++ {
		f.serve(fmt.Sprint("w", i))
	}
	if len(f.attemptsStarted) != n+20 {
		t.Fatal("sends still wait after the failures have passed")
	}
}
