// Package netiotest has what tests of the packages above netio share.
package netiotest

import (
	"testing"

	"croftlock/internal/dataplane/netio"
)

// Run runs a loop with its sockets until the test ends.
func Run(t testing.TB, l *netio.Loop) {
	t.Helper()
	if err := netio.Attach(l); err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(l.Stop)
}
