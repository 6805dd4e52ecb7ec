package balancer

// queueInterval is how often the queue is looked through, in nanoseconds.
const queueInterval = 20e6

// requestQueue holds requests for a moment: a warming fleet, or one that is still unknown, may serve them
// soon. Requests that a retry storm delays, or that wait for the ledger's reply, are in it too.
type requestQueue struct {
	waiting  []*request
	timerSet bool
}

// queueEntry is a request's place in the queue.
type queueEntry struct {
	queued    bool
	rejectAt  Time // half of the time left when it was first queued, for the client to retry in; 0: not set
	notBefore Time // no attempt before; 0: at once
}

// enqueue has a request wait.
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

// drainQueue places the requests whose time has come. Those that have to wait on are queued anew.
func (b *Balancer) drainQueue() {
	if len(b.queue.waiting) == 0 {
		return
	}
	waiting := b.queue.waiting
	b.queue.waiting = nil
	for _, r := range waiting {
		if r.closed || !r.wait.queued {
			continue
		}
		r.wait.queued = false
		switch {
		case b.now >= r.wait.rejectAt:
			b.reject(r)
		case b.now < r.wait.notBefore:
			b.enqueue(r)
		default:
			if r.ledger.awaiting {
				b.ledgerQueryTimedOut(r)
			}
			b.place(r)
		}
	}
}
