package command

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"croftlock/internal/testbed/fake"
)

// openWithID sends a request with the ID id on conn and returns the answer line, or "" if none came
// within 5 s.
func openWithID(t *testing.T, conn net.Conn, id string) string {
	t.Helper()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "OPEN %s %s c=lab,d=4000\r\n", id, fake.NewID()); err != nil {
		t.Fatal(err)
	}
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

// dial connects to the proxy. The connection is closed at the test's end.
func (h *hotRestartTest) dial() net.Conn {
	h.Helper()
	conn, err := net.DialTimeout("tcp", h.setup.Listen, 5*time.Second)
	if err != nil {
		h.Fatal(err)
	}
	h.Cleanup(func() { conn.Close() })
	return conn
}

// expectUsed checks that a request with the ID of another open request gets an answer other than UP.
func (h *hotRestartTest) expectUsed(conn net.Conn, id, where string) {
	h.Helper()
	if answer := openWithID(h.T, conn, id); !strings.HasPrefix(answer, "ERR") && !strings.HasPrefix(answer, "BUSY") {
		h.Errorf("%s: a request with the ID of an open one is answered with %q, want ERR or BUSY", where, answer)
	}
}

// TestHotRestartKeepsIDs guards against a second attempt of an open request during a hot restart: each
// process rejects the IDs of the other one's open requests, and admits them again once these have ended.
func TestHotRestartKeepsIDs(t *testing.T) {
	h := newHotRestartTest(t)
	old, _ := h.startReady()
	openAtOld, leaving := h.open(), h.open()
	acceptedByOld := h.dial()
	time.Sleep(200 * time.Millisecond) // until the old process has accepted it
	h.startReady()
	h.expectUsed(h.dial(), openAtOld.ID, "at the new process")
	openAtNew := fake.NewID()
	if answer := openWithID(t, h.dial(), openAtNew); !strings.HasPrefix(answer, "UP") {
		t.Fatalf("a request with a new ID is answered with %q, want UP", answer)
	}
	h.expectUsed(h.dial(), openAtNew, "at the new process, opened there")
	h.expectUsed(acceptedByOld, openAtNew, "at the old process")
	h.checkConnection(openAtOld, "one")

	leaving.Close()
	if answer := openWithID(t, h.dial(), leaving.ID); !strings.HasPrefix(answer, "UP") {
		t.Errorf("a client that returns with its ID is answered with %q, want UP", answer)
	}
	if err := old.Stop(); err != nil {
		t.Errorf("the old process ended with error %v, want none", err)
	}
	h.checkConnection(openAtOld, "two")
	h.expectUsed(h.dial(), openAtOld.ID, "after the old process has ended")
}
