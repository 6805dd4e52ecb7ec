// Package netio runs netpoll's connections on an event loop, which runs all callbacks, timers and
// posted tasks one after the other. Code on the loop needs no locks, and a slow or silent peer costs a
// table entry and no goroutine.
package netio

import (
	"container/heap"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"
)

// Loop is an event loop. Post, Stop and Now may be called from any goroutine. All other methods must be
// called by the goroutine that calls Run, or before it does.
type Loop struct {
	mu      sync.Mutex
	queue   []func()
	spare   []func() // the emptied previous queue, for reuse
	wake    chan struct{}
	stopped bool
	ended   chan struct{} // closed once Run has returned

	timers    timerHeap
	lastOrder uint64 // order of the timer that was set last

	clock   func() int64
	sendmsg func(fd int, p []byte) (int, error) // the system call; tests replace it
}

// WallClock returns the system's time, which may be set at any time. Tests of several processes replace
// WallClock.
var WallClock = time.Now

// NewLoop returns a loop. Its clock is the current Unix time plus the time that has passed since on the
// monotonic clock. A step of the system's clock therefore moves no deadline, and start times given in
// Unix time can be compared with it.
func NewLoop() *Loop {
	startedAt := time.Now()
	base := WallClock().UnixNano()
	return NewLoopAt(func() int64 { return base + int64(time.Since(startedAt)) })
}

// NewLoopAt returns a loop with the given clock, which returns Unix time in nanoseconds.
func NewLoopAt(clock func() int64) *Loop {
	return &Loop{wake: make(chan struct{}, 1), ended: make(chan struct{}), clock: clock, sendmsg: sendmsg}
}

// SetSend replaces the system call that writes to sockets, for tests of its failures. It must be called
// before Run.
func (l *Loop) SetSend(send func(fd int, p []byte) (int, error)) { l.sendmsg = send }

// Now returns the loop's time as Unix time in nanoseconds.
func (l *Loop) Now() int64 { return l.clock() }

// Post queues f to run on the loop, after the tasks that are already queued. It may be called from any
// goroutine and never blocks.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Stop makes Run return once the tasks queued so far have run.
func (l *Loop) Stop() {
	l.Post(func() { l.stopped = true })
}

// Run runs tasks and timers until Stop is called.
func (l *Loop) Run() {
	defer close(l.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := l.RunPending()
		if l.stopped {
			return
		}
		timer.Reset(wait)
		select {
		case <-l.wake:
		case <-timer.C:
		}
	}
}

// RunPending runs the queued tasks and the due timers, and the tasks that those queue, without waiting.
// It returns the time until the next timer is due, an hour if there is none, and 0 once Stop takes effect.
func (l *Loop) RunPending() time.Duration {
	for !l.stopped {
		l.mu.Lock()
		tasks := l.queue
		l.queue, l.spare = l.spare[:0], nil
		l.mu.Unlock()
		for i, f := range tasks {
			tasks[i] = nil
			l.guard(f)
			l.runDueTimers() // a long queue must not delay the timers
		}
		l.spare = tasks[:0]
		if wait := l.runDueTimers(); len(tasks) == 0 {
			return wait
		}
	}
	return 0
}

// guard calls f and logs a panic of f instead of letting it end the process. Callbacks of a connection
// are guarded by Conn.guard; this covers the remaining tasks and timers.
func (l *Loop) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "loop", "reason", p, "stack", string(debug.Stack()))
		}
	}()
	f()
}

// runDueTimers runs the timers that are due and returns the time until the next one, or an hour if there
// is none.
func (l *Loop) runDueTimers() time.Duration {
	for len(l.timers) > 0 {
		t := l.timers[0]
		if wait := t.due - l.Now(); wait > 0 {
			return time.Duration(wait)
		}
		heap.Pop(&l.timers)
		l.guard(t.call)
	}
	return time.Hour
}

// Timer is a pending call of a function by the loop. Stop does nothing on a nil Timer.
type Timer struct {
	due       int64  // Unix time in nanoseconds
	order     uint64 // timers due at the same time fire in the order in which they were set
	heapIndex int    // -1 once fired or stopped
	call      func()
	loop      *Loop
}

// After calls f on the loop once d has passed. The returned Timer can stop that.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	l.lastOrder++
	t := &Timer{due: l.Now() + int64(max(d, 0)), order: l.lastOrder, call: f, loop: l}
	heap.Push(&l.timers, t)
	return t
}

// Stop cancels the call unless it has started.
func (t *Timer) Stop() {
	if t != nil && t.heapIndex >= 0 {
		heap.Remove(&t.loop.timers, t.heapIndex)
	}
}

// timerHeap implements heap.Interface. The timer that is due first is on top.
type timerHeap []*Timer

// Len returns the number of timers.
func (h timerHeap) Len() int { return len(h) }

// Less reports whether timer i is due before timer j, or at the same time and was set before it.
func (h timerHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].order < h[j].order
}

// Swap exchanges two timers and updates their heapIndex.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends a timer.
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop removes and returns the last timer.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.heapIndex = -1
	return t
}
