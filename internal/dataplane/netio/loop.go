// Package netio puts netpoll's connections behind one owner: a loop that runs every callback, every timer and every posted task one after the
// other. What runs on it needs no locks, and a slow or silent peer costs a table entry and no goroutine.
package netio

import (
	"container/heap"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"
)

// Loop is the one owner. All its methods but Post, Now and Run belong to the goroutine that runs it.
type Loop struct {
	mu      sync.Mutex
	queue   []func()
	spare   []func()
	wake    chan struct{}
	stopped bool
	ended   chan struct{} // closed once Run has returned

	timers    timerHeap
	lastOrder uint64

	clock   func() int64
	sendmsg func(fd int, p []byte) (int, error) // the system call; tests replace it
}

// WallClock is the system's clock, which may be set at any time. Tests of several processes replace it.
var WallClock = time.Now

// NewLoop makes a loop. Its clock is Unix time as it is now plus what passes on the monotonic clock, so that a step of
// the system's clock moves no deadline and boot times given in Unix time compare directly.
func NewLoop() *Loop {
	startedAt := time.Now()
	base := WallClock().UnixNano()
	return NewLoopAt(func() int64 { return base + int64(time.Since(startedAt)) })
}

// NewLoopAt makes a loop on the given clock.
func NewLoopAt(clock func() int64) *Loop {
	return &Loop{wake: make(chan struct{}, 1), ended: make(chan struct{}), clock: clock, sendmsg: sendmsg}
}

// SetSend replaces the system call that writes to sockets, for tests of its failures. It is called before Run.
func (l *Loop) SetSend(send func(fd int, p []byte) (int, error)) { l.sendmsg = send }

// Now is the loop's time in nanoseconds since 1970.
func (l *Loop) Now() int64 { return l.clock() }

// Post has the loop run f after what is already queued. It may be called from any goroutine and never blocks.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Stop ends Run once the task under way returns.
func (l *Loop) Stop() {
	l.Post(func() { l.stopped = true })
}

// Run serves tasks and timers until Stop.
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

// RunPending serves what is queued or due, and what that queues, without waiting. It gives how long until the next timer is due.
func (l *Loop) RunPending() time.Duration {
	for !l.stopped {
		l.mu.Lock()
		tasks := l.queue
		l.queue, l.spare = l.spare[:0], nil
		l.mu.Unlock()
		for i, f := range tasks {
			tasks[i] = nil
			l.guard(f)
			l.runDueTimers() // a long queue must not delay what is due
		}
		l.spare = tasks[:0]
		if wait := l.runDueTimers(); len(tasks) == 0 {
			return wait
		}
	}
	return 0
}

// guard keeps a panic from ending the process. Connections guard their own callbacks, so what reaches this point belongs to none.
func (l *Loop) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "loop", "reason", p, "stack", string(debug.Stack()))
		}
	}()
	f()
}

// runDueTimers runs the timers that are due, and gives how long until the next one is.
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

// Timer is one pending call. A nil Timer is one that never was; stopping it is harmless.
type Timer struct {
	due       int64
	order     uint64 // timers of the same moment fire in the order they were set
	heapIndex int    // in the heap; -1 once fired or stopped
	call      func()
	loop      *Loop
}

// After calls f on the loop once d has passed.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	l.lastOrder++
	t := &Timer{due: l.Now() + int64(max(d, 0)), order: l.lastOrder, call: f, loop: l}
	heap.Push(&l.timers, t)
	return t
}

// Stop forgets the call if it has not begun.
func (t *Timer) Stop() {
	if t != nil && t.heapIndex >= 0 {
		heap.Remove(&t.loop.timers, t.heapIndex)
	}
}

type timerHeap []*Timer

// Len, Less, Swap, Push and Pop are container/heap's.
func (h timerHeap) Len() int { return len(h) }

// Less puts the timer that is due first first.
func (h timerHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].order < h[j].order
}

// Swap keeps the timers' indexes.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push adds a timer.
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop takes the last timer off.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.heapIndex = -1
	return t
}
