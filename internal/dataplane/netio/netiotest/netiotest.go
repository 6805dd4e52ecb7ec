// Package netiotest has what tests of the packages above netio share.
package netiotest

import (
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
)

// endTimeout bounds the wait for a loop at a test's end.
const endTimeout = 20 * time.Second

// Run attaches a loop to its sockets and runs it until the test ends.
func Run(t testing.TB, l *netio.Loop) {
	t.Helper()
	if err := netio.Attach(l); err != nil {
		t.Fatal(err)
	}
	Start(t, l)
}

// Start runs a loop until the test ends, and waits for its end then: netpoll has one poller for the process, which two loops must not use.
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
			t.Error("the loop has not ended")
		}
	})
}
