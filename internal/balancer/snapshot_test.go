package balancer

import (
	"math"
	"math/rand"
	"reflect"
	"testing"
)

// TestResumedHostIsNotFlooded checks that a host whose suspension by operators ends gets no more of a
// wave of returning clients than its slow start budget, although 80 balancers learn of the end at the
// same moment. The host's ejection from before the suspension must not keep it empty.
func TestResumedHostIsNotFlooded(t *testing.T) {
	const seeds = 100
	resumedAt, fresh := 110*sec, 0
	mean := replayWaves(t, seeds, resumedAt, func(f *fake) {
		e := &f.b.byID["s03"].ejection
		e.consecutiveFailures, e.until = 3, resumedAt+100*sec
		f.b.ListReceived(resumedAt-5*sec, ListLocal, []ListedHost{listed("s03", Suspended)})
		f.b.ListReceived(resumedAt, ListLocal, []ListedHost{warming("s03", resumedAt)})
	}, func(balancers []*fake, rng *rand.Rand) {
		fresh += len(replay(balancers, rng, evenlySpacedTimes(48, resumedAt+3*sec, 400*ms), false, "s03"))
	})
	if mean > waveWarmingBudget {
		t.Errorf("a wave brings %.2f connections on average to the resumed host, want at most its budget of %.2f",
			mean, waveWarmingBudget)
	}
	if fresh < seeds {
		t.Errorf("%d connections in %d times 20 s to a host that is not ejected, want at least %d", fresh, seeds, seeds)
	}
}

// snapshotHosts returns s00, which started long ago, and s01, which is in slow start: it started 1 s
// before the clock of start.
func snapshotHosts() []ListedHost {
	return []ListedHost{listed("s00", Ready), warming("s01", 99*sec)}
}

// snapshotSource returns a balancer that has ejected s00 for another 1 s after 2 failures, has 3
// tokens of s01's slow start budget, and a mean connection cost of 7.
func snapshotSource(t *testing.T) *fake {
	t.Helper()
	f := start(t, settings(), snapshotHosts()...)
	e := &f.b.byID["s00"].ejection
	e.consecutiveFailures, e.until, e.failedAt = 2, f.now+sec, f.now
	f.b.byID["s01"].slowStart.tokens = 3
	f.b.costs.mean = 7
	return f
}

// TestSnapshotAndRestore checks that a snapshot passes the state of a balancer on to the next
// process, and the slow start budgets to only one of the two.
func TestSnapshotAndRestore(t *testing.T) {
	source := snapshotSource(t)
	snapshot := source.b.Snapshot(true)
	if source.b.byID["s01"].slowStart.tokens >= 0 {
		t.Errorf("s01 has %g tokens after it has yielded its budget, expected fewer than 0",
			source.b.byID["s01"].slowStart.tokens)
	}
	if again := source.b.Snapshot(false); again.Servers[1].Tokens != 0 {
		t.Errorf("a yielded budget is %g in a snapshot, expected 0", again.Servers[1].Tokens)
	}
	next := start(t, settings(), snapshotHosts()...)
	next.b.Restore(next.now, snapshot)
	h := next.b.byID["s00"]
	if !next.b.Ejected(next.now, "s00") || h.ejection.consecutiveFailures != 2 ||
		next.b.byID["s01"].slowStart.tokens != 3 || next.b.costs.mean != 7 {
		t.Errorf("restored s00 %+v, s01 with %g tokens, mean cost %g, expected s00 with 2 failures, s01 with 3 tokens, mean cost 7",
			h, next.b.byID["s01"].slowStart.tokens, next.b.costs.mean)
	}
	if next.b.Ejected(next.now+2*sec, "s00") {
		t.Error("s00 is still ejected 2 s after Restore, expected the ejection to end after 1 s")
	}
	// A process that yielded its budgets and continues, because no other took over, gets them back.
	source.b.Restore(source.now, snapshot)
	if source.b.byID["s01"].slowStart.tokens != 3 {
		t.Errorf("s01 has %g tokens after Restore returned its budget, expected 3",
			source.b.byID["s01"].slowStart.tokens)
	}
}

func TestRestoreIgnoresImplausibleHosts(t *testing.T) {
	snapshot := snapshotSource(t).b.Snapshot(true)
	for name, corrupt := range map[string]func(s *HostSnapshot){
		"restarted since":      func(s *HostSnapshot) { s.Since = 50 * sec },
		"ejected for ever":     func(s *HostSnapshot) { s.Until = math.MaxInt64 },
		"failed in the future": func(s *HostSnapshot) { s.FailedAt = math.MaxInt64 },
		"no number":            func(s *HostSnapshot) { s.Ill = math.NaN() },
		"negative count":       func(s *HostSnapshot) { s.Fails = -1 },
		"unknown host":         func(s *HostSnapshot) { s.ID = "x" },
		"infinite budget":      func(s *HostSnapshot) { s.Tokens = math.Inf(1) },
	} {
		f := start(t, settings(), snapshotHosts()...)
		want := *f.b.byID["s00"]
		bad := snapshot
		bad.Servers = append([]HostSnapshot(nil), snapshot.Servers[:1]...)
		corrupt(&bad.Servers[0])
		f.b.Restore(f.now, bad)
		if got := *f.b.byID["s00"]; !reflect.DeepEqual(got, want) {
			t.Errorf("%s: Restore changed the host from %+v to %+v", name, want, got)
		}
	}
}
