package balancer

import (
	"math"
	"math/rand"
	"reflect"
	"testing"
)

// A host out by hand comes back warming, called back at eighty balancers in one moment, and a wave follows: what they send it
// together is what a wave may bring to a warming host, and its old ejection does not keep it empty.
func TestHostAcceptingAgainIsNotFlooded(t *testing.T) {
	const seeds = 100
	total, fresh := 0, 0
	for seed := int64(1); seed <= seeds; seed++ {
		rng := rand.New(rand.NewSource(seed))
		all := manyBalancers(t, 80, seed)
		up := 110 * sec
		var at, later []Time
		for _, f := range all {
			f.b.byID["s03"].ejection.consecutiveFailures, f.b.byID["s03"].ejection.until = 3, up+100*sec
			f.b.ListReceived(up-5*sec, ListMaintenance, []ListedHost{{ID: "s03", Zone: "a", Weight: 1, State: Suspended}})
			f.b.ListReceived(up, ListMaintenance, []ListedHost{{ID: "s03", Zone: "a", Weight: 1, StartedAt: up}})
			f.now = up
		}
		for i := 0; i < 30; i++ {
			at = append(at, up+sec+Time(i)*40*ms)
		}
		if n := len(replay(all, rng, at, true, "s03")); n > 4 {
			t.Errorf("seed %d: a wave of 30 brought %d connections to it", seed, n)
		} else {
			total += n
		}
		for i := 0; i < 48; i++ {
			later = append(later, up+3*sec+Time(i)*400*ms)
		}
		fresh += len(replay(all, rng, later, false, "s03"))
	}
	if mean := float64(total) / seeds; mean > 0.68 {
		t.Errorf("waves bring %.2f connections to a host that bears 0.68", mean)
	}
	if fresh < seeds {
		t.Errorf("%d connections in %d times 20 s: it is shunned", fresh, seeds)
	}
}

// What a balancer knows passes from process to process, its slow start budget once; what a broken file could hold is passed over.
func TestSnapshotAndRestore(t *testing.T) {
	cold := []ListedHost{{ID: "s00", Zone: "a", Weight: 1}, {ID: "s01", Zone: "a", Weight: 1, StartedAt: 99 * sec}}
	old := start(t, settings(), cold...)
	old.b.byID["s00"].ejection.consecutiveFailures, old.b.byID["s00"].ejection.until, old.b.byID["s00"].ejection.failedAt = 2, old.now+sec, old.now
	old.b.byID["s01"].slowStart.tokens = 3
	old.b.costs.mean = 7
	m := old.b.Snapshot(true)
	if old.b.byID["s01"].slowStart.tokens >= 0 {
		t.Error("a budget that was given away is still there")
	}
	if again := old.b.Snapshot(false); again.Servers[1].Tokens != 0 {
		t.Error("what is left of it is no number that a file can hold")
	}
	young := start(t, settings(), cold...)
	young.b.Restore(young.now, m)
	if s := young.b.byID["s00"]; !young.b.Ejected(young.now, "s00") || s.ejection.consecutiveFailures != 2 || young.b.byID["s01"].slowStart.tokens != 3 || young.b.costs.mean != 7 {
		t.Errorf("it recalls %+v", s)
	}
	if young.b.Ejected(young.now+2*sec, "s00") {
		t.Error("a ejection does not end")
	}
	// One that gave its budgets away and goes on takes them back.
	old.b.Restore(old.now, m)
	if old.b.byID["s01"].slowStart.tokens != 3 {
		t.Error("the budget is lost")
	}
	for name, spoil := range map[string]func(s *HostSnapshot){
		"restarted since": func(s *HostSnapshot) { s.Since = 50 * sec }, "for ever": func(s *HostSnapshot) { s.Until = math.MaxInt64 },
		"from the future": func(s *HostSnapshot) { s.FailedAt = math.MaxInt64 }, "no number": func(s *HostSnapshot) { s.Ill = math.NaN() },
		"no count": func(s *HostSnapshot) { s.Fails = -1 }, "unknown": func(s *HostSnapshot) { s.ID = "x" },
		"endless": func(s *HostSnapshot) { s.Tokens = math.Inf(1) },
	} {
		f := start(t, settings(), cold...)
		want := *f.b.byID["s00"]
		bad := m
		bad.Servers = append([]HostSnapshot(nil), m.Servers[:1]...)
		spoil(&bad.Servers[0])
		f.b.Restore(f.now, bad)
		if got := *f.b.byID["s00"]; !reflect.DeepEqual(got, want) {
			t.Errorf("%s: taken", name)
		}
	}
}
