package owneragent

import (
	"testing"

	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/ownership"
)

// TestRepliesReachTheirSource: each reply goes once to the source or operator that sent the query, with the source's own tag.
func TestRepliesReachTheirSource(t *testing.T) {
	q := newQueries(nil)
	var got []uint64
	first := q.newSource(func(ownTag uint64, _ []byte) { got = append(got, ownTag) })
	second := q.newSource(func(ownTag uint64, _ []byte) { got = append(got, 100+ownTag) })
	first.tags[q.nextTag()] = 7
	second.tags[q.nextTag()] = 7
	answers := make(chan string, 1)
	tag := q.addOperator(answers)
	for range 2 { // repeated replies are dropped
		q.replyReceived(2, nil)
		q.replyReceived(1, nil)
		q.replyReceived(tag, []byte("yes"))
	}
	if len(got) != 2 || got[0] != 107 || got[1] != 7 || <-answers != "yes" || len(answers) > 0 || q.isOperatorWaiting(tag) {
		t.Errorf("the sources got %v, want [107 7]", got)
	}
}

// TestStaleEffectIsCounted: what the fence rejects shows in the counts of this process.
func TestStaleEffectIsCounted(t *testing.T) {
	a := startAlone(t, Options{Drills: 1})
	var counts Counts
	if !a.runOnWorker(func() {
		for _, token := range []uint64{6, 5} {
			a.core.SendEffect(a.now(), group.Peer(a.name), "no-job", ownership.FencingToken{Token: token, Sequence: 1}, nil)
		}
		counts = a.counts
	}) {
		t.Fatal("the worker does not answer")
	}
	if counts.AcceptedEffects != 1 || counts.RejectedEffects != 1 {
		t.Errorf("%+v, want one effect accepted and one rejected", counts)
	}
}
