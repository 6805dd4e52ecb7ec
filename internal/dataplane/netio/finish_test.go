package netio

import (
	"bytes"
	"io"
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// FinishWith completes a partly written line to a slow peer before it sends the last line. Otherwise a
// client would be cut off without the line that tells it to move to another host.
func TestFinishWithCompletesThePartlyWrittenLine(t *testing.T) {
	line := append(bytes.Repeat([]byte("x"), 4094), "\r\n"...)
	finished := make(chan struct{})
	_, addr, _ := serve(t, func(c *Conn) {
		for !c.Blocked() {
			c.Write(line)
		}
		c.FinishWith([]byte("MOVE\r\n"))
		close(finished)
	})
	c := dial(t, addr)
	c.Write([]byte("."))
	<-finished
	got, err := io.ReadAll(c)
	if err != nil || !bytes.HasSuffix(got, append(line[len(line)-8:], "MOVE\r\n"...)) || (len(got)-6)%len(line) != 0 {
		t.Errorf("the peer read %d bytes that end in %q, and the error %v; want complete lines of %d bytes and then \"MOVE\\r\\n\"", len(got), got[max(0, len(got)-14):], err, len(line))
	}
}

// Discard with a last line completes the partly written line and then sends the last line. Discard with
// an empty last line sends nothing, since another process resumes the connection.
func TestDiscardCompletesTheLineOnlyBeforeALastLine(t *testing.T) {
	for _, c := range []struct{ last, want string }{{"MOVE\r\n", "of a line\r\nMOVE\r\n"}, {"", ""}} {
		pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		peer := os.NewFile(uintptr(pair[1]), "peer")
		ReleasedConn{FD: pair[0], Unsent: []byte("of a line\r\n")}.Discard([]byte(c.last))
		got, err := io.ReadAll(peer)
		if err != nil || string(got) != c.want {
			t.Errorf("Discard(%q): the peer read %q and the error %v, want %q", c.last, got, err, c.want)
		}
		peer.Close()
	}
}
