package netio

import (
	"sync"
	"sync/atomic"
)

// loopGate makes netpoll's poller wait until the loop has handled what the poller has read or accepted.
//
// Without it netpoll reads and accepts as fast as peers send. A few clients that send without end would
// fill the memory before the loop has read their first line, and hundreds that connect at once would use
// up the descriptors before the loop can evict one. With the gate the bytes stay in the kernel, whose
// buffers are small, and the connections in the listener's queue.
type loopGate struct {
	pollerParked atomic.Bool // runOnLoop is then called by the loop, which must not wait for itself

	mu       sync.Mutex
	taskDone chan struct{} // closed when the poller may continue; nil if the loop runs no task for the poller
	opened   chan struct{} // closed while the gate is open, because the loop waits for the poller
}

// newLoopGate returns a closed gate.
func newLoopGate() *loopGate { return &loopGate{opened: make(chan struct{})} }

// runOnLoop runs f on l. It returns once f has called releasePoller or has returned, at once if the
// poller is parked, and early if the gate opens or l stops.
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

// releasePoller lets the poller continue. The loop must call it before it gives a connection back to
// netpoll, which releases a connection only once its poller is done with it. Further calls do nothing.
func (g *loopGate) releasePoller() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.taskDone != nil {
		close(g.taskDone)
		g.taskDone = nil
	}
}

// openForBarrier opens the gate before the loop waits for the poller. Otherwise each would wait for the
// other.
func (g *loopGate) openForBarrier() {
	g.mu.Lock()
	close(g.opened)
	g.mu.Unlock()
}

// closeAfterBarrier closes the gate, so that the poller waits for the loop again.
func (g *loopGate) closeAfterBarrier() {
	g.mu.Lock()
	g.opened = make(chan struct{})
	g.mu.Unlock()
}
