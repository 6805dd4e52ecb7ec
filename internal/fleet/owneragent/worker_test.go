package owneragent

import (
	"testing"
	"time"
)

// TestWorker: the worker opens, serves calls, ticks, and closes once it is stopped.
func TestWorker(t *testing.T) {
	w := newWorker()
	opened, closed, ticked := false, false, make(chan struct{}, inboxSize)
	go w.run(func() { opened = true }, func() { ticked <- struct{}{} }, func() { closed = true })
	ran := false
	if !w.call(func() { ran = true }, 10*time.Second) || !ran || !opened {
		t.Error("a call did not run, or before the worker was opened")
	}
	<-ticked
	w.stop()
	w.stop()
	if !closed || !w.stopping() || w.call(func() {}, 10*time.Second) {
		t.Error("a stopped worker was not closed, or runs a call")
	}
}

// TestBusyWorker: behind a function that hangs calls time out, functions beyond the inbox are dropped, and stop does not wait for it.
func TestBusyWorker(t *testing.T) {
	w := newWorker()
	hanging, release := make(chan struct{}), make(chan struct{})
	go w.run(func() {}, func() {}, func() {})
	w.post(func() { close(hanging); <-release })
	<-hanging
	if w.call(func() {}, 10*time.Millisecond) {
		t.Error("a call behind a function that hangs is reported as done")
	}
	for range 2 * inboxSize {
		w.post(func() {})
	}
	if len(w.inbox) != inboxSize {
		t.Errorf("%d functions in the inbox, want %d", len(w.inbox), inboxSize)
	}
	w.stop()
	close(release)
	<-w.done
}
