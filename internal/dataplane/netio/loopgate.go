package netio

import (
	"sync"
	"sync/atomic"
)

// loopGate keeps netpoll's poller in step with the loop: the poller hands over what it has read or accepted and goes on
// once the loop has looked at it.
//
// It exists because netpoll reads and accepts as fast as peers send, whatever the loop does meanwhile. Some clients
// that send without end then fill the memory before the loop has seen their first line, and hundreds that connect at
// once use up the descriptors before the loop can turn one away. Held back, the bytes stay in the kernel, whose
// buffers are small, and the connections in the listener's backlog.
type loopGate struct {
	pollerParked atomic.Bool // the poller is parked, so it is the loop that calls: it must not wait for itself

	mu      sync.Mutex
	waiting chan struct{} // of the poller, for the task that the loop is at
	open    chan struct{} // closed while the loop waits for the poller
}

func newLoopGate() *loopGate { return &loopGate{open: make(chan struct{})} }

// runOnLoop has l run f and returns once that has called releasePoller or returned.
func (g *loopGate) runOnLoop(l *Loop, f func()) {
	done := make(chan struct{})
	l.Post(func() {
		g.mu.Lock()
		g.waiting = done
		g.mu.Unlock()
		defer g.releasePoller()
		f()
	})
	if g.pollerParked.Load() {
		return
	}
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-done:
	case <-open:
	case <-l.ended:
	}
}

// releasePoller lets the poller go on. netpoll spins until its poller is done with a connection before it lets go of it, so
// this must come before the loop gives a connection back; once more than needed is harmless.
func (g *loopGate) releasePoller() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting != nil {
		close(g.waiting)
		g.waiting = nil
	}
}

// openForBarrier opens the gate while the loop waits for the poller: each would wait for the other.
func (g *loopGate) openForBarrier() {
	g.mu.Lock()
	close(g.open)
	g.mu.Unlock()
}

// shut holds the poller back again.
func (g *loopGate) shut() {
	g.mu.Lock()
	g.open = make(chan struct{})
	g.mu.Unlock()
}
