package balancer

// queueInterval is the time between two calls of drainQueue while requests wait, in nanoseconds.
const queueInterval = 20e6

// requestQueue holds the requests that wait for a host, since a fleet that is warming up or still
// unknown may serve them soon; those that are delayed by a retry storm; and those that await the
// ledger server's reply.
type requestQueue struct {
	waiting  []*request
	timerSet bool
}

// queueEntry is the queue state of one request.
type queueEntry struct {
	queued bool
	// rejectAt is when the request is rejected, which leaves half of its time for a retry by the
	// client. It is 0 if the request has not been queued since its last attempt.
	rejectAt  Time
	notBefore Time // earliest time of the next attempt; 0 if it may start at once
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

// drainQueue rejects the requests that have waited too long and places those whose delay is over.
// Requests that have to wait longer are queued again in the same order.
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
