package netio

import (
	"sync"
	"sync/atomic"
)

// gate keeps netpoll's poller in step with the loop: the poller hands over what it has read or accepted and goes on
// once the loop has looked at it.
//
// It exists because netpoll reads and accepts as fast as peers send, whatever the loop does meanwhile. Some clients
// that send without end then fill the memory before the loop has seen their first line, and hundreds that connect at
// once use up the descriptors before the loop can turn one away. Held back, the bytes stay in the kernel, whose
// buffers are small, and the connections in the listener's backlog.
type gate struct {
	own atomic.Bool // the poller is parked, so it is the loop that calls: it must not wait for itself

	mu      sync.Mutex
	waiting chan struct{} // of the poller, for the task that the loop is at
	open    chan struct{} // closed while the loop waits for the poller
}

func newGate() *gate { return &gate{open: make(chan struct{})} }

// pass has l run f and returns once that has called free or returned.
func (g *gate) pass(l *Loop, f func()) {
	done := make(chan struct{})
	l.Post(func() {
		g.mu.Lock()
		g.waiting = done
		g.mu.Unlock()
		defer g.free()
		f()
	})
	if g.own.Load() {
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

// free lets the poller go on. netpoll spins until its poller is done with a connection before it lets go of it, so
// this must come before the loop gives a connection back; once more than needed is harmless.
func (g *gate) free() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting != nil {
		close(g.waiting)
		g.waiting = nil
	}
}

// raise opens the gate while the loop waits for the poller: each would wait for the other. lower shuts it.
func (g *gate) raise() {
	g.mu.Lock()
	close(g.open)
	g.mu.Unlock()
}

func (g *gate) lower() {
	g.mu.Lock()
	g.open = make(chan struct{})
	g.mu.Unlock()
}
