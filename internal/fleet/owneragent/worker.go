package owneragent

import (
	"sync"
	"time"
)

const (
	tickInterval = 100 * time.Millisecond
	inboxSize    = 256
	// stopTimeout bounds the wait for a worker whose disk hangs: it must not hold the process.
	stopTimeout = 300 * time.Millisecond
)

// worker is a goroutine with an inbox. Agent starts it, and stop ends it; its work may wait for a disk, which the event loop must not.
type worker struct {
	inbox    chan func()
	quit     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

func newWorker() *worker {
	return &worker{inbox: make(chan func(), inboxSize), quit: make(chan struct{}), done: make(chan struct{})}
}

// run opens, and then ticks and empties the inbox until stop.
func (w *worker) run(open, tick, closeAll func()) {
	defer close(w.done)
	open()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.quit:
			closeAll()
			return
		case f := <-w.inbox:
			f()
		case <-ticker.C:
			tick()
		}
	}
}

// post has f run on the worker. Where the inbox is full it is dropped, as a datagram may be.
func (w *worker) post(f func()) {
	select {
	case w.inbox <- f:
	default:
	}
}

// call has f run on the worker and waits for its end; false: it took too long, and f may still run, or the worker has stopped.
func (w *worker) call(f func(), timeout time.Duration) bool {
	finished := make(chan struct{})
	select {
	case w.inbox <- func() { f(); close(finished) }:
	case <-time.After(timeout):
		return false
	case <-w.quit:
		return false
	}
	select {
	case <-finished:
		return true
	case <-time.After(timeout):
		return false
	case <-w.quit:
		return false
	}
}

// runNext runs one function of the inbox, from within another; false: none came in time. It must be called on the worker.
func (w *worker) runNext(timeout time.Duration) bool {
	select {
	case <-w.quit:
		return true
	case f := <-w.inbox:
		f()
		return true
	case <-time.After(timeout):
		return false
	}
}

func (w *worker) stopping() bool {
	select {
	case <-w.quit:
		return true
	default:
		return false
	}
}

// stop ends the worker, once, and waits for it for a short time.
func (w *worker) stop() {
	w.stopOnce.Do(func() {
		close(w.quit)
		select {
		case <-w.done:
		case <-time.After(stopTimeout):
		}
	})
}
