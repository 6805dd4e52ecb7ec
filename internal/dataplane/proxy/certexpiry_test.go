package proxy

import (
	"slices"
	"strings"
	"testing"
	"time"

	"croftlock/internal/dataplane/certexpiry"
)

// restingUpstream is an upstream connection that rests on a certificate.
type restingUpstream struct {
	*fakeUpstream
	ends time.Time
}

func (r *restingUpstream) Expires() time.Time { return r.ends }

// A connection whose certificate ends is migrated and the balancer notified; one that rests on nothing stays, and so does every one where
// the operators keep them.
func TestMigratedBeforeItsCertificateEnds(t *testing.T) {
	for _, move := range []bool{true, false} {
		w := newHarness(t)
		w.core.opt.Wall = func() time.Time { return time.Unix(0, w.now) }
		if move {
			w.core.opt.Expiry = certexpiry.Policy{MigrationEnabled: true, Before: 30 * time.Second, Share: 1}
			w.core.expiry = certexpiry.New(w.core.opt.Expiry)
			w.loop.After(certexpiry.Every, w.core.migrateExpiring)
		}
		r1, u1 := w.serve("r1")
		r1.attempt.conn = &restingUpstream{u1, time.Unix(0, w.now).Add(40 * time.Second)}
		w.serve("r2")
		for range 40 {
			w.pass(time.Second)
		}
		moved := slices.Contains(w.events, "migrate r1")
		if moved != move || slices.Contains(w.events, "migrate r2") {
			t.Errorf("migrate %t: %q", move, w.events)
		}
		if move && !slices.ContainsFunc(w.events, func(s string) bool { return strings.HasPrefix(s, "ended r1 0") }) {
			t.Errorf("the balancer was not notified: %q", w.events)
		}
	}
}
