package owneragent

import (
	"testing"
	"time"
)

func TestWorker(t *testing.T) {
	w := newWorker()
	opened, closed, ticked := false, false, make(chan struct{}, inboxSize)
	go w.run(func() { opened = true }, func() { ticked <- struct{}{} }, func() { closed = true })
	ran := false
	if !w.call(func() { ran = true }, 10*time.Second) || !ran || !opened {
		t.Error("a call does not run")
	}
	<-ticked
	w.stop()
	w.stop()
	if !closed || !w.stopping() || w.call(func() {}, 10*time.Second) {
		t.Error("a stopped worker works on")
	}
}

// TestBusyWorker: calls end in time, what does not fit the inbox is dropped, and stop does not wait for ever.
func TestBusyWorker(t *testing.T) {
	w := newWorker()
	hangs, release := make(chan struct{}), make(chan struct{})
	go w.run(func() {}, func() {}, func() {})
	w.post(func() { close(hangs); <-release })
	<-hangs
	if w.call(func() {}, 10*time.Millisecond) {
		t.Error("a call behind one that hangs ends")
	}
	for range 2 * inboxSize {
		w.post(func() {})
	}
	if len(w.inbox) != inboxSize {
		t.Errorf("%d in the inbox, its size is %d", len(w.inbox), inboxSize)
	}
	w.stop()
	close(release)
	<-w.done
}
