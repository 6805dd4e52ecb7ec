package netio

import (
	"sync"
	"sync/atomic"
)

// loopGate makes netpoll's poller wait for the loop: the poller passes on what it has read or accepted, and goes on once the loop has handled it.
//
// netpoll alone reads and accepts as fast as peers send. A few clients that send without end would fill the memory before the loop has read
// their first line, and hundreds that connect at once would use up the descriptors before the loop can evict one. With the gate the bytes stay
// in the kernel, whose buffers are small, and the connections in the listener's queue.
type loopGate struct {
	pollerParked atomic.Bool // the poller is parked, so it is the loop that calls: it must not wait for itself

	mu       sync.Mutex
	taskDone chan struct{} // of the poller, for the task that the loop is at
	opened   chan struct{} // closed while the loop waits for the poller
}

func newLoopGate() *loopGate { return &loopGate{opened: make(chan struct{})} }

// runOnLoop has l run f and returns once that has called releasePoller or returned.
func (g *loopGate) runOnLoop(l *Loop, f func()) {
	done := make(chan struct{})
	l.Post(func() {
		g.mu.Lock()
		g.taskDone = done
		g.mu.Unlock()
		defer g.releasePoller()
		f()
	})
	if g.pollerParked.Load() {
		return
	}
	g.mu.Lock()
	open := g.opened
	g.mu.Unlock()
	select {
	case <-done:
	case <-open:
	case <-l.ended:
	}
}

// releasePoller lets the poller go on. netpoll releases a connection only once its poller is done with it, so this must come before the loop
// gives a connection back; once more than needed is harmless.
func (g *loopGate) releasePoller() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.taskDone != nil {
		close(g.taskDone)
		g.taskDone = nil
	}
}

// openForBarrier opens the gate while the loop waits for the poller: each would wait for the other.
func (g *loopGate) openForBarrier() {
	g.mu.Lock()
	close(g.opened)
	g.mu.Unlock()
}

// closeAfterBarrier makes the poller wait again.
func (g *loopGate) closeAfterBarrier() {
	g.mu.Lock()
	g.opened = make(chan struct{})
	g.mu.Unlock()
}
