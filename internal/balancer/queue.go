package balancer

// queueInterval is the time between two calls of drainQueue while requests wait, in nanoseconds.
const queueInterval = 20e6

// requestQueue holds the requests that wait: for a host, since hosts may soon be listed or have
// warmed up; for the end of a delay because of a retry storm; or for the reply of the ledger server,
// the balancer that assigns hosts for all.
type requestQueue struct {
	waiting  []*request // in the order in which they were queued; may contain requests answered since
	timerSet bool       // a timer will call drainQueue
}

// queueEntry is the queue state of one request.
type queueEntry struct {
	queued bool
	// rejectAt is when a waiting request is rejected: after half of the time that was left when it
	// was queued. The other half remains for a retry by the client. rejectAt is 0 if the request has
	// not been queued since its last attempt.
	rejectAt Time
	// notBefore is the earliest time of the next attempt: the end of a delay, or the timeout of the
	// ledger server's reply. It is 0 if the attempt may start at once.
	notBefore Time
}

// enqueue adds a request to the queue, unless it is queued already. A request that is queued again
// before its next attempt keeps its rejectAt.
func (b *Balancer) enqueue(r *request) {
	if !r.wait.queued {
		r.wait.queued = true
		if r.wait.rejectAt == 0 {
			r.wait.rejectAt = b.now + (r.deadline-b.now)/2
		}
		b.queue.waiting = append(b.queue.waiting, r)
	}
	if !b.queue.timerSet {
		b.queue.timerSet = true
		b.schedule(queueInterval, timerQueue)
	}
}

// drainQueue rejects the requests that have reached rejectAt, and places those that have reached
// notBefore. The others are queued again in the same order.
func (b *Balancer) drainQueue() {
	if len(b.queue.waiting) == 0 {
		return
	}
	waiting := b.queue.waiting
	b.queue.waiting = nil
	for _, r := range waiting {
		if r.closed || !r.wait.queued {
			continue // already answered, or placed when the ledger server replied
		}
		r.wait.queued = false
		switch {
		case b.now >= r.wait.rejectAt:
			b.rejectOrFail(r)
		case b.now < r.wait.notBefore:
			b.enqueue(r)
		default:
			if r.ledger.awaitingReply { // notBefore was the timeout of the reply
				b.ledgerQueryTimedOut(r)
			}
			b.place(r)
		}
	}
}
