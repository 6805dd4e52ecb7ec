package balancer

// queueInterval is the time between two calls of drainQueue while requests wait, in nanoseconds.
const queueInterval = 20e6

// requestQueue holds the requests that have no host now, since a warming fleet, or one that is still unknown,
// may serve them soon; those that a retry storm delays; and those that wait for the ledger server's reply.
type requestQueue struct {
	waiting  []*request
	timerSet bool
}

// queueEntry is a request's place in the queue.
type queueEntry struct {
	queued    bool
	rejectAt  Time // leaves half of the time for the client to retry in; 0: not queued since the last attempt
	notBefore Time // no attempt before; 0: at once
}

// enqueue has a request wait for drainQueue, once more if it has waited before.
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

// drainQueue places the requests whose time has come, and rejects those that have waited too long. Those that
// have to wait on are queued again, in their order.
func (b *Balancer) drainQueue() {
	if len(b.queue.waiting) == 0 {
		return
	}
	waiting := b.queue.waiting
	b.queue.waiting = nil
	for _, r := range waiting {
		if r.closed || !r.wait.queued {
			continue // answered, or placed when the ledger server replied
		}
		r.wait.queued = false
		switch {
		case b.now >= r.wait.rejectAt:
			b.rejectOrFail(r)
		case b.now < r.wait.notBefore:
			b.enqueue(r)
		default:
			if r.ledger.awaitingReply { // notBefore was the reply's timeout
				b.ledgerQueryTimedOut(r)
			}
			b.place(r)
		}
	}
}
