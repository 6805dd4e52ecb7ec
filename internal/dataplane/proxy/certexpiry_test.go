package proxy

import (
	"slices"
	"strings"
	"testing"
	"time"

	"croftlock/internal/dataplane/certexpiry"
)

// resting is an upstream connection that rests on a certificate.
type resting struct {
	*fakeUp
	ends time.Time
}

func (r *resting) Expires() time.Time { return r.ends }

// A connection whose certificate ends is moved in order, its client answered with MOVE and the module told; one that rests
// on nothing stays, and so does every one where the operators keep them.
func TestMovedBeforeItsCertificateEnds(t *testing.T) {
	for _, move := range []bool{true, false} {
		w := newWorld(t)
		w.core.opt.Wall = func() time.Time { return time.Unix(0, w.now) }
		if move {
			w.core.opt.Expiry = certexpiry.Policy{Move: true, Before: 30 * time.Second, Share: 1}
			w.core.expiry = certexpiry.New(w.core.opt.Expiry)
			w.loop.After(certexpiry.Every, w.core.migrateExpiring)
		}
		r1, u1 := w.serve("r1")
		r1.attempt.conn = &resting{u1, time.Unix(0, w.now).Add(40 * time.Second)}
		w.serve("r2")
		for range 40 {
			w.pass(time.Second)
		}
		moved := slices.Contains(w.seen, "move r1")
		if moved != move || slices.Contains(w.seen, "move r2") {
			t.Errorf("move %t: %q", move, w.seen)
		}
		if move && !slices.ContainsFunc(w.seen, func(s string) bool { return strings.HasPrefix(s, "outcome r1 0") }) {
			t.Errorf("the module was not told: %q", w.seen)
		}
	}
}
