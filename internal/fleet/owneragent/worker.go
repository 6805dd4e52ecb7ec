package owneragent

import (
	"sync"
	"time"
)

const (
	tickInterval = 100 * time.Millisecond
	inboxSize    = 256
	// stopTimeout bounds the wait for a worker whose disk hangs, which must not keep the process from ending.
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

// run calls open, and then tick each tickInterval and the functions of the inbox, until stop; closeAll comes last.
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

// post queues f for the worker. With a full inbox, as while a disk hangs, f is dropped. Most senders repeat, or bound their wait: datagrams, the view,
// queries about quota and by operators, Leave. Two do not: RequestMigrations, whose then is never called, and OnRulesChanged, whose f stays unset.
func (w *worker) post(f func()) {
	select {
	case w.inbox <- f:
	default:
	}
}

// call runs f on the worker and waits for it; false: it took too long, and f may run later, or the worker has stopped.
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

// runNext runs one function of the inbox from within another one, on the worker; false: none came in time.
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

// stop stops the worker and waits for it, but no longer than stopTimeout.
func (w *worker) stop() {
	w.stopOnce.Do(func() {
		close(w.quit)
		select {
		case <-w.done:
		case <-time.After(stopTimeout):
		}
	})
}
