// Package netiotest provides helpers for tests of packages that use netio.
package netiotest

import (
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
)

// endTimeout bounds the wait for a loop to stop at the end of a test.
const endTimeout = 20 * time.Second

// Run makes l the loop of the process's poller and runs it until the test ends.
func Run(t testing.TB, l *netio.Loop) {
	t.Helper()
	if err := netio.Attach(l); err != nil {
		t.Fatal(err)
	}
	Start(t, l)
}

// Start runs l until the test ends, and then waits until it has stopped: netpoll has one poller for the
// process, which two loops must not use.
func Start(t testing.TB, l *netio.Loop) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run()
	}()
	t.Cleanup(func() {
		l.Stop()
		select {
		case <-ended:
		case <-time.After(endTimeout):
			t.Errorf("the loop has not stopped within %v", endTimeout)
		}
	})
}
