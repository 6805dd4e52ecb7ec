package owneragent

import "time"

const (
	// leaveTimeout bounds how long a process that shuts down waits until the coordinator has taken its jobs back.
	leaveTimeout = 200 * time.Millisecond
	// leavePollInterval is the time between two checks while no message arrives.
	leavePollInterval = 5 * time.Millisecond
)

// leaveState is the state of leaving the fleet. It belongs to the loop.
type leaveState struct {
	waiting []func() // to be called once this process has left; nil: it is not leaving
	left    bool
}

// Leave releases all jobs and the lead, then stops the agent and calls done on the loop: once the coordinator has taken the jobs back, or after
// leaveTimeout. Stop stops without releasing anything.
func (a *Agent) Leave(done func()) {
	if a == nil || a.leaveState.left {
		done()
		return
	}
	// A process that hands over calls Leave, and again as it shuts down. The second call must not end the first one's release: both wait for it.
	first := a.leaveState.waiting == nil
	a.leaveState.waiting = append(a.leaveState.waiting, done)
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
	if a.leaveState.left {
		return
	}
	a.leaveState.left = true
	a.Stop()
	for _, done := range a.leaveState.waiting {
		done()
	}
}

// awaitRelease runs the worker's functions until the coordinator has taken the jobs back. It runs on the worker.
func (a *Agent) awaitRelease() {
	if a.core.HasLeft() {
		a.core.TransferLeadership(a.now())
		time.Sleep(leavePollInterval) // the loop has to send the messages that were just posted to it
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

// Stop stops the agent and closes the store.
func (a *Agent) Stop() {
	if a == nil || a.worker.stopping() {
		return
	}
	a.members.Attach(payloadChannel, nil)
	if a.socket != nil {
		a.socket.close()
	}
	a.worker.stop()
}
