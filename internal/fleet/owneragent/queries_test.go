package owneragent

import "testing"

func TestAnswersReachTheirAsker(t *testing.T) {
	q := newQueries(nil)
	var got []uint64
	first := q.newAsker(func(tag uint64, _ []byte) { got = append(got, tag) })
	second := q.newAsker(func(tag uint64, _ []byte) { got = append(got, 100+tag) })
	first.tags[q.nextTag()] = 7
	second.tags[q.nextTag()] = 7
	answers := make(chan string, 1)
	tag := q.askOperator(answers)
	for range 2 { // the second time nobody waits
		q.replyReceived(2, nil)
		q.replyReceived(1, nil)
		q.replyReceived(tag, []byte("yes"))
	}
	if len(got) != 2 || got[0] != 107 || got[1] != 7 || <-answers != "yes" || len(answers) > 0 || q.operatorWaits(tag) {
		t.Errorf("askers got %v", got)
	}
}
