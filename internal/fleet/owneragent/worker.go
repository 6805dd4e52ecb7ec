package owneragent

import (
	"sync"
	"time"
)

const (
	tickInterval = 100 * time.Millisecond
	inboxSize    = 256 // functions that wait in worker.inbox
	// stopTimeout is how long stop waits for a worker. A disk that hangs must not keep the process
	// from ending.
	stopTimeout = 300 * time.Millisecond
)

// worker runs the functions of its inbox on a separate goroutine, since they may wait for a disk,
// which the event loop must not do. Start starts the goroutine, and stop ends it.
type worker struct {
	inbox    chan func()
	quit     chan struct{} // closed by stop
	done     chan struct{} // closed when run returns
	stopOnce sync.Once
}

func newWorker() *worker {
	return &worker{inbox: make(chan func(), inboxSize), quit: make(chan struct{}), done: make(chan struct{})}
}

// run calls open, then calls tick each tickInterval and runs the functions of the inbox until stop
// is called, and finally calls closeAll.
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

// post queues f for the worker. If the inbox is full, as while a disk hangs, f is dropped. Most
// callers repeat the call or limit their wait: datagrams, the view, queries about quota and by
// operators, migrations, and Leave. OnRulesChanged does not: it then does not register f.
func (w *worker) post(f func()) {
	select {
	case w.inbox <- f:
	default:
	}
}

// call runs f on the worker and reports whether f has returned. It waits up to timeout for room in
// the inbox, and then up to timeout for f to return. If it returns false, because of a timeout or
// because the worker is stopped, f may still run later.
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

// runNext waits for the next function of the inbox and runs it. It reports false if none arrives
// within timeout. It returns true without running one if the worker is stopped. It must be called
// on the worker.
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

// stopping reports whether stop was called.
func (w *worker) stopping() bool {
	select {
	case <-w.quit:
		return true
	default:
		return false
	}
}

// stopped reports whether the worker's goroutine has ended.
func (w *worker) stopped() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// stop stops the worker and waits for its goroutine to end, at most for stopTimeout. Later calls do
// nothing.
func (w *worker) stop() {
	w.stopOnce.Do(func() {
		close(w.quit)
		select {
		case <-w.done:
		case <-time.After(stopTimeout):
		}
	})
}
