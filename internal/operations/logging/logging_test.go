package logging

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// TestText tests the text format: time, quoting, groups and the level.
func TestText(t *testing.T) {
	var b bytes.Buffer
	h := New(&b, Options{Format: "text", Level: "info"})
	r := slog.NewRecord(time.Unix(1e9, 5000).UTC(), slog.LevelWarn, "unexpected_answer", 0)
	r.Add("host", "s-1", "reason", errors.New("a \"b\"\n"), "n", 3, "empty", "", slog.Group("in", "x", 1))
	h.WithAttrs([]slog.Attr{slog.String("name", "n0")}).Handle(context.Background(), r)
	want := `2001/09/09 01:46:40.000005 event=unexpected_answer name=n0 host=s-1 reason="a \"b\"\n" n=3 empty="" in.x=1 level=warn` + "\n"
	if b.String() != want {
		t.Errorf("the line is %q, want %q", b.String(), want)
	}
	if h.Enabled(context.Background(), slog.LevelDebug) {
		t.Error("a handler of level info writes debug lines")
	}
}

// TestJSON tests the JSON format: the key of the event, and the text of a value that has a String
// method.
func TestJSON(t *testing.T) {
	var b bytes.Buffer
	slog.New(New(&b, Options{Format: "json"})).Info("ready", "hosts", 3, "day", time.Monday)
	var got struct {
		Event string
		Hosts int
		Day   string
	}
	if err := json.Unmarshal(b.Bytes(), &got); err != nil || got.Event != "ready" || got.Hosts != 3 || got.Day != "Monday" {
		t.Errorf("the line %s decodes to %+v, error %v, want event ready, 3 hosts, day Monday", b.String(), got, err)
	}
}

// TestRepeats tests that a fault that is logged a thousand times per second neither fills the disk
// nor hides other lines, and that the lines left out are counted.
func TestRepeats(t *testing.T) {
	var b bytes.Buffer
	h := New(&b, Options{Format: "text", Level: "info", MaxPerWindow: 2, Window: time.Second})
	// handle logs an event with a reason at the time at after a fixed start.
	handle := func(at time.Duration, event, reason string) {
		r := slog.NewRecord(time.Unix(1e9, 0).Add(at), slog.LevelInfo, event, 0)
		r.Add("reason", reason)
		h.Handle(context.Background(), r)
	}
	for i := range 100 {
		handle(time.Duration(i), "a", "x")
	}
	handle(200, "a", "y")
	handle(2*time.Second, "b", "")
	if got := b.String(); strings.Count(got, "event=a reason=x") != 2 || strings.Count(got, "event=a reason=y") != 1 ||
		!strings.Contains(got, "event=repeated of=a left_out=98 since=01:46:40\n") || !strings.Contains(got, "event=b") {
		t.Errorf("want 2 lines of a with reason x, 1 with reason y, 98 left out, and b; got:\n%s", got)
	}
	for i := range 10 * maxKinds {
		handle(5*time.Second, "c", strings.Repeat("z", i))
	}
	if n := len(h.(*repeatHandler).limiter.kinds); n > maxKinds+1 {
		t.Errorf("the table has %d kinds, want at most %d", n, maxKinds+1)
	}
}
