package owneragent

import "time"

const (
	// leaveTimeout is how long a process that shuts down waits for the coordinator to take back its
	// jobs.
	leaveTimeout = 200 * time.Millisecond
	// leavePollInterval is the time between two checks of Core.HasLeft while no message arrives.
	leavePollInterval = 5 * time.Millisecond
)

// leaveState is the progress of Leave. It is used on the loop only.
type leaveState struct {
	waiting []func() // called once this process has left; nil before the first call of Leave
	left    bool     // whether this process has left
}

// Leave releases all jobs. Once the coordinator, the leader of the group, has taken them back, Leave
// also transfers the leadership if this process has it, stops the agent and calls done on the loop.
// After leaveTimeout it stops the agent and calls done in any case. If a is nil or has left already,
// it calls done at once. Stop, in contrast, releases nothing.
func (a *Agent) Leave(done func()) {
	if a == nil || a.leaveState.left {
		done()
		return
	}
	// A process that hands over in a hot restart calls Leave, and calls it again when it shuts down.
	// The second call must not cut the release short, so both wait for its end.
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

// finishLeaving stops the agent and calls the functions passed to Leave. It runs on the loop.
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

// awaitRelease runs the functions of the worker's inbox until the coordinator has taken back the
// jobs. It runs on the worker.
func (a *Agent) awaitRelease() {
	if a.core.HasLeft() {
		a.core.TransferLeadership(a.now())
		time.Sleep(leavePollInterval) // gives the loop time to send the messages that were just posted to it
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

// Stop stops the agent and closes the store without releasing the jobs. It does nothing if a is nil
// or stopped already.
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
