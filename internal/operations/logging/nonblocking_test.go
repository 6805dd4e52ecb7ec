package logging

import (
	"bufio"
	"os"
	"strings"
	"testing"
)

// A reader of the log that stops reading does not stop the proxy: lines are dropped, and counted.
func TestUnreadLogDoesNotBlockWrites(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	writer := NewNonBlockingWriter(w)
	line := []byte("event=x " + strings.Repeat("y", 1000) + "\n")
	const lines = 500 // far more than a pipe holds
	for range lines {
		if n, err := writer.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	dropped := writer.dropped
	if dropped == 0 || dropped > lines-16 {
		t.Fatalf("%d of %d lines were left out", dropped, lines)
	}
	in := bufio.NewReader(r)
	for range lines - dropped {
		if got, err := in.ReadString('\n'); err != nil || got != string(line) {
			t.Fatalf("%q, %v", got, err)
		}
	}
	writer.Write([]byte("event=next\n"))
	w.Close()
	for _, want := range []string{"event=log_dropped lines=", "event=next\n"} {
		if got, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(got, want) {
			t.Errorf("%q, %v; want %q", got, err, want)
		}
	}
}
