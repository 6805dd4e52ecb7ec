package owneragent

import (
	"testing"

	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/ownership"
)

// TestRepliesReachTheirSource checks that each reply is passed once, with the source's own tag, to
// the source or operator that sent the query.
func TestRepliesReachTheirSource(t *testing.T) {
	q := newQueries(nil)
	var got []uint64
	first := q.newSource(func(ownTag uint64, _ []byte) { got = append(got, ownTag) })
	second := q.newSource(func(ownTag uint64, _ []byte) { got = append(got, 100+ownTag) })
	first.tags[q.nextTag()] = 7
	second.tags[q.nextTag()] = 7
	answers := make(chan string, 1)
	tag := q.addOperator(answers)
	for range 2 { // the repeated replies are dropped
		q.replyReceived(2, nil)
		q.replyReceived(1, nil)
		q.replyReceived(tag, []byte("yes"))
	}
	if len(got) != 2 || got[0] != 107 || got[1] != 7 || <-answers != "yes" || len(answers) > 0 || q.isOperatorWaiting(tag) {
		t.Errorf("replies to sources %v, want [107 7]; operator still waiting %t, want false; or the answers are not one \"yes\"", got, q.isOperatorWaiting(tag))
	}
}

// TestStaleEffectIsCounted checks that Counts includes effects that the fence rejects.
func TestStaleEffectIsCounted(t *testing.T) {
	a := startAlone(t, Options{Drills: 1})
	var counts Counts
	if !a.runOnWorker(func() {
		for _, token := range []uint64{6, 5} {
			a.core.SendEffect(a.now(), group.Peer(a.name), "no-job", ownership.FencingToken{Token: token, Sequence: 1}, nil)
		}
		counts = a.counts
	}) {
		t.Fatal("the worker is busy")
	}
	if counts.AcceptedEffects != 1 || counts.RejectedEffects != 1 {
		t.Errorf("counts %+v, want one accepted effect and one rejected", counts)
	}
}
