// Package logging owns the form of the log: log/slog records as lines of key=value text that begin with event=, or as
// JSON. The message of a record is the name of its event. Lines that repeat are limited, and what was left out is counted
// and reported. Nothing here waits for anything but the write itself.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"croftlock/internal/operations/settings"
)

// Options say how to log.
type Options struct {
	Format       string        // text or json
	Level        string        // debug, info, warn or error; default info
	MaxPerWindow int           // how many lines of one kind are written within Window; 0: all
	Window       time.Duration // over which lines are counted
}

// Formats are the forms that a log can take.
var Formats = []string{"text", "json"}

// Defaults are the options without a file.
func Defaults() Options {
	return Options{Format: "text", Level: "info", MaxPerWindow: 20, Window: 10 * time.Second}
}

// Section is what operators write.
func Section() settings.Section {
	return settings.Section{Name: "log", Doc: "what the log looks like", Bind: func(f *settings.FieldSet) any {
		o := Defaults()
		f.Enum("format", "form of a line", &o.Format, Formats...)
		f.Enum("level", "least level that is written", &o.Level, "debug", "info", "warn", "error")
		f.Int("repeat", "lines of one kind that are written within the window; 0: all", &o.MaxPerWindow, 0, 100000)
		f.Duration("window", "time over which they are counted", &o.Window, 100*time.Millisecond, time.Hour)
		return o
	}}
}

// DebugEnabled reports whether the log takes lines of the debug level. It is called before a line is put together, which would cost CPU on every
// request.
func DebugEnabled() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// New makes a handler that writes to w.
func New(w io.Writer, o Options) slog.Handler {
	var level slog.Level
	level.UnmarshalText([]byte(o.Level)) // an unknown one stays info
	var h slog.Handler = &textHandler{writer: w, level: level, mutex: &sync.Mutex{}}
	if o.Format == "json" {
		h = slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: replaceAttr})
	}
	if o.MaxPerWindow <= 0 {
		return h
	}
	return &repeatHandler{next: h, limiter: newRepeatLimiter(o.MaxPerWindow, o.Window)}
}

// replaceAttr gives a record's message the key event, and values that have a name that name, as in text: JSON alone would write the
// number behind it.
func replaceAttr(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.MessageKey {
		a.Key = "event"
	}
	if a.Value.Kind() == slog.KindAny {
		if named, ok := a.Value.Any().(fmt.Stringer); ok {
			a.Value = slog.StringValue(fmt.Sprint(named)) // which a nil pointer with a String method survives
		}
	}
	return a
}
