package proxy

import (
	"slices"
	"strings"
	"testing"
	"time"

	"croftlock/internal/dataplane/certexpiry"
)

// expiringUpstream is a fakeUpstream whose certificate expires at expiresAt.
type expiringUpstream struct {
	*fakeUpstream
	expiresAt time.Time
}

func (r *expiringUpstream) Expires() time.Time { return r.expiresAt }

// A connection must be migrated before its certificate expires, and the balancer notified. A
// connection without a certificate stays open, and so do all connections if migration is off.
func TestMigratedBeforeItsCertificateEnds(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		w := newHarness(t)
		w.core.opt.WallClock = func() time.Time { return time.Unix(0, w.now) }
		if enabled {
			w.core.opt.Expiry = certexpiry.Policy{MigrationEnabled: true, Before: 30 * time.Second, MaxSharePerMinute: 1}
			w.core.expiry = certexpiry.New(w.core.opt.Expiry)
			w.loop.After(certexpiry.PlanInterval, w.core.migrateExpiring)
		}
		r1, u1 := w.serve("r1")
		r1.attempt.conn = &expiringUpstream{u1, time.Unix(0, w.now).Add(40 * time.Second)}
		w.serve("r2")
		for range 40 {
			w.advance(time.Second)
		}
		migrated := slices.Contains(w.events, "migrate r1")
		if migrated != enabled || slices.Contains(w.events, "migrate r2") {
			t.Errorf("with migration enabled %t, r1 migrated %t, want %t and r2 not migrated; events: %q", enabled, migrated, enabled, w.events)
		}
		if enabled && !slices.ContainsFunc(w.events, func(s string) bool { return strings.HasPrefix(s, "ended r1 0") }) {
			t.Errorf("the balancer was not notified of the end of r1; events: %q", w.events)
		}
	}
}
