package owneragent

import "time"

const (
	// leaveTimeout bounds the wait of a process that ends for the coordinator to have its jobs back.
	leaveTimeout = 200 * time.Millisecond
	// leavePollInterval is how often the wait looks while nothing arrives.
	leavePollInterval = 5 * time.Millisecond
)

// departure is the way out of the fleet. It belongs to the loop.
type departure struct {
	waiting []func() // to be called once this process has left; nil: it is not leaving
	left    bool
}

// Leave releases all jobs and the lead, and calls done on the loop once others have them or leaveTimeout has passed. Stop only stops this
// process's part.
func (a *Agent) Leave(done func()) {
	if a == nil || a.departure.left {
		done()
		return
	}
	// A process that has handed over is ended next, and must not cut off what it is about to say: all wait for the first.
	first := a.departure.waiting == nil
	a.departure.waiting = append(a.departure.waiting, done)
	if !first {
		return
	}
	a.loop.After(leaveTimeout, a.finishLeaving)
	a.worker.post(func() {
		a.core.Leave(a.now(), "its process ends in order")
		a.awaitRelease()
	})
}

func (a *Agent) finishLeaving() {
	if a.departure.left {
		return
	}
	a.departure.left = true
	a.Stop()
	for _, done := range a.departure.waiting {
		done()
	}
}

// awaitRelease works on until the coordinator has the jobs back, on the worker.
func (a *Agent) awaitRelease() {
	if a.core.HasLeft() {
		a.core.TransferLeadership(a.now())
		time.Sleep(leavePollInterval) // for the loop to send what has just been posted to it
		a.loop.Post(a.finishLeaving)
		return
	}
	if a.worker.stopping() {
		return
	}
	if !a.worker.runNext(leavePollInterval) {
		a.core.Tick(a.now())
	}
	a.worker.post(a.awaitRelease)
}

// Stop ends this process's part, and lets go of the store.
func (a *Agent) Stop() {
	if a == nil || a.worker.stopping() {
		return
	}
	a.members.Attach(carrierID, nil)
	if a.socket != nil {
		a.socket.close()
	}
	a.worker.stop()
}
