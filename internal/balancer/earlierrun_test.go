package balancer

import "testing"

// TestEarlierRunRestrictsRequest guards against a repeated side effect of a request whose ID comes again: it
// is attempted, rejected or failed as if the earlier run were an attempt of its own.
func TestEarlierRunRestrictsRequest(t *testing.T) {
	for _, c := range []struct {
		name        string
		idempotency Idempotency
		scope       DedupScope
		host        string
		age         Time // of the earlier run
		placedAt    []string
		answer      string
	}{
		{"idempotent", Idempotent, ScopeAll, "s00", sec, []string{"s00", "s01", "s02"}, ""},
		{"not idempotent", NotIdempotent, ScopeAll, "s00", sec, nil, "failed"},
		{"with a key", IdempotentWithKey, ScopeAll, "s00", sec, []string{"s00", "s01", "s02"}, ""},
		{"with a key, in a cell", IdempotentWithKey, ScopeCell, "s01", sec, []string{"s01"}, ""},
		{"with a key, in the cell of an unknown host", IdempotentWithKey, ScopeCell, "gone", sec, nil, "failed"},
		{"with a key, after the window", IdempotentWithKey, ScopeAll, "s00", 5 * sec, nil, "rejected"},
		{"with a key, in a cell, after the window", IdempotentWithKey, ScopeCell, "s00", 5 * sec, nil, "failed"},
	} {
		cfg := settings()
		class := &cfg.Classes[0]
		class.Idempotency, class.DedupScope, class.DedupWindow = c.idempotency, c.scope, 5*sec
		hosts := fleet(3)
		for i := range hosts {
			hosts[i].Cell = i
		}
		f := start(t, cfg, hosts...)
		f.b.RequestArrived(f.now, Request{ID: "q", Tenant: -1, Remaining: 2 * sec, EarlierRun: &EarlierRun{HostID: c.host, At: f.now - c.age}})
		f.run(2 * sec)
		placed := ""
		if len(f.attemptsStarted) > 0 {
			placed = f.attemptsStarted[0].host
		}
		allowed := placed == "" && c.placedAt == nil
		for _, host := range c.placedAt {
			allowed = allowed || placed == host
		}
		_, rejected := f.rejected["q"]
		answer := map[bool]string{true: "failed"}[f.failed["q"]] + map[bool]string{true: "rejected"}[rejected]
		if !allowed || c.answer != "" && answer != c.answer {
			t.Errorf("%s: placed at %q, answer %q; want one of %v, answer %q", c.name, placed, answer, c.placedAt, c.answer)
		}
	}
}
