// Package logging formats the log: log/slog records as lines of key=value text that begin with
// event=, or as JSON. The message of a record is the name of its event. Lines that repeat are
// limited, and the lines left out are counted and reported. Nothing here blocks except the write
// itself.
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

// Options specifies the format and the limits of a log.
type Options struct {
	Format       string        // text or json; any other value means text
	Level        string        // least level written: debug, info, warn or error; others mean info
	MaxPerWindow int           // most lines of one kind that are written within Window; zero means no limit
	Window       time.Duration // time after which the lines of a kind are counted anew
}

// Formats lists the valid formats.
var Formats = []string{"text", "json"}

// Defaults returns the options that apply without a settings file.
func Defaults() Options {
	return Options{Format: "text", Level: "info", MaxPerWindow: 20, Window: 10 * time.Second}
}

// Section returns the section of the settings file for the log. Its value is of type Options.
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

// DebugEnabled reports whether the default logger writes lines of the debug level. Callers check it
// before they assemble a line, which would cost CPU time on every request.
func DebugEnabled() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// New returns a handler that writes each line to w by one call of Write.
func New(w io.Writer, o Options) slog.Handler {
	var level slog.Level
	level.UnmarshalText([]byte(o.Level)) // an unknown level leaves info
	var h slog.Handler = &textHandler{writer: w, level: level, mutex: &sync.Mutex{}}
	if o.Format == "json" {
		h = slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: replaceAttr})
	}
	if o.MaxPerWindow <= 0 {
		return h
	}
	return &repeatHandler{next: h, limiter: newRepeatLimiter(o.MaxPerWindow, o.Window)}
}

// replaceAttr renames the key of a record's message to event, and replaces a value that has a
// String method by its text, as in the text format: slog's JSON handler would write the underlying
// number.
func replaceAttr(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.MessageKey {
		a.Key = "event"
	}
	if a.Value.Kind() == slog.KindAny {
		if named, ok := a.Value.Any().(fmt.Stringer); ok {
			a.Value = slog.StringValue(fmt.Sprint(named)) // does not panic for a nil pointer
		}
	}
	return a
}
