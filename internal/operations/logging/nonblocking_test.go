package logging

import (
	"bufio"
	"os"
	"strings"
	"testing"
)

// TestUnreadLogDoesNotBlockWrites tests that lines are dropped and counted while nobody reads the
// log.
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
			t.Fatalf("Write() = %d, %v, want %d, nil", n, err, len(line))
		}
	}
	dropped := writer.dropped
	// A pipe has 16 pages, so that it holds at least 16 lines.
	if dropped == 0 || dropped > lines-16 {
		t.Fatalf("%d of %d lines were dropped, want 1 to %d", dropped, lines, lines-16)
	}
	in := bufio.NewReader(r)
	for range lines - dropped {
		if got, err := in.ReadString('\n'); err != nil || got != string(line) {
			t.Fatalf("read %q, error %v, want %q", got, err, line)
		}
	}
	writer.Write([]byte("event=next\n"))
	w.Close()
	for _, want := range []string{"event=log_dropped lines=", "event=next\n"} {
		if got, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(got, want) {
			t.Errorf("read %q, error %v, want a line that begins with %q", got, err, want)
		}
	}
}
