package owneragent

import (
	"testing"
	"time"
)

// TestWorker checks that a worker opens, runs calls, ticks, and closes when it is stopped, and that
// a second stop does nothing.
func TestWorker(t *testing.T) {
	w := newWorker()
	opened, closed, ticked := false, false, make(chan struct{}, inboxSize)
	go w.run(func() { opened = true }, func() { ticked <- struct{}{} }, func() { closed = true })
	ran := false
	if !w.call(func() { ran = true }, 10*time.Second) || !ran || !opened {
		t.Errorf("the first call failed, did not run, or ran before open: ran %t, opened %t, want true for both", ran, opened)
	}
	<-ticked
	w.stop()
	w.stop()
	if !closed || !w.stopping() || w.call(func() {}, 10*time.Second) {
		t.Errorf("after stop: closed %t, stopping() = %t, want true for both; or a call returned true, want false", closed, w.stopping())
	}
}

// TestBusyWorker checks a worker whose current function hangs: calls time out, functions beyond the
// size of the inbox are dropped, and stop does not wait for the function.
func TestBusyWorker(t *testing.T) {
	w := newWorker()
	hanging, release := make(chan struct{}), make(chan struct{})
	go w.run(func() {}, func() {}, func() {})
	w.post(func() { close(hanging); <-release })
	<-hanging
	if w.call(func() {}, 10*time.Millisecond) {
		t.Error("a call returned true while another function hangs")
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
