package soak

import (
	"math/rand/v2"
	"time"
)

// badClientLimit is the longest time until a bad client must have an answer or a close.
const badClientLimit = 3 * time.Second

// usedIDRequest is a request of a bad client, with the ID of another client's request that was open when
// it was sent.
type usedIDRequest struct {
	*ClientConnection
	process *proxyProcess
	owner   *clientRequest // the request whose ID it is
}

// randomOpenRequest returns a random request whose connection through a proxy is open, or nil if there is
// none.
func (f *Fleet) randomOpenRequest(n *Node, rng *rand.Rand) *clientRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	var open []*clientRequest
	for _, r := range f.requests {
		if outcome := r.Outcome(); r.process.node == n && outcome.Answer == Served && outcome.End == Open {
			open = append(open, r)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[rng.IntN(len(open))]
}

// sendUsedID runs a bad client that sends the ID of an open request, and records its request.
func (f *Fleet) sendUsedID(process *proxyProcess, rng *rand.Rand) {
	owner := f.randomOpenRequest(process.node, rng)
	if owner == nil {
		return
	}
	c, err := Dial(process.node.setup.Listen, Request{Class: owner.class.Name, Timeout: badClientLimit})
	if err != nil {
		return
	}
	defer c.Close()
	c.ID = owner.ID
	if c.SendRequest() != nil {
		return
	}
	f.mu.Lock()
	f.usedIDs = append(f.usedIDs, &usedIDRequest{ClientConnection: c, process: process, owner: owner})
	f.mu.Unlock()
	const checkInterval = 10 * time.Millisecond
	for end := time.Now().Add(badClientLimit + proxyDelay); time.Now().Before(end) && c.Outcome().Answer == Unanswered; time.Sleep(checkInterval) {
		if c.Outcome().End != Open {
			return
		}
	}
}

// ownerOpenAt reports whether the request whose ID the bad client sent was still open at the given time.
// margin is the time by which the record of an end may be late.
func (u *usedIDRequest) ownerOpenAt(at time.Time, margin time.Duration) bool {
	owner := u.owner.Outcome()
	return owner.End == Open || owner.EndedAt.After(at.Add(margin))
}

// checkUsedID checks that a bad client was not served in place of an error while the request with its ID was
// open, and that it got its answer or a close in time. It reports whether the ID became free meanwhile, so
// that attempts of the bad client may be among those of the other request.
func (o *oracle) checkUsedID(u *usedIDRequest) (idFreed bool) {
	outcome := u.Outcome()
	margin := orderSlack + proxyDelay + o.slack
	if outcome.Answer == Served && u.ownerOpenAt(outcome.AnsweredAt, margin) {
		o.addViolation(UsedIDServed, "%s: served %v after a bad client sent its ID to %s", u.owner, outcome.AnsweredAt.Sub(outcome.Sent), u.process)
	}
	limit := badClientLimit + o.slack + u.process.totalPause()
	if outcome.Answer == Unanswered && outcome.End == ClientClosed && outcome.EndedAt.Sub(outcome.Sent) > limit && !u.process.wasKilled() {
		o.addViolation(UsedIDUnanswered, "%s: a bad client with its ID has no answer after %v; %s", u.owner, outcome.EndedAt.Sub(outcome.Sent), u.process)
	}
	return !u.ownerOpenAt(outcome.EndedAt, margin)
}
