// Package logging owns the form of the log: log/slog records as lines of key=value text that begin with event=, or as
// JSON. The message of a record is the name of its event. Lines that repeat are limited, and what was left out is counted
// and told. Nothing here waits for anything but the write itself.
package logging

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode"

	"croftlock/internal/operations/settings"
)

// Options say how to log.
type Options struct {
	Format string // text or json
	Level  string // debug, info, warn or error
	Repeat int    // how many lines of one kind are written within Window; 0: all
	Window time.Duration
}

// Formats are the forms that a log can take.
var Formats = []string{"text", "json"}

// Defaults are the options without a file.
func Defaults() Options {
	return Options{Format: "text", Level: "info", Repeat: 20, Window: 10 * time.Second}
}

// Section is the operators' say in them.
func Section() settings.Section {
	return settings.Section{Name: "log", Doc: "what the log looks like", Bind: func(f *settings.Form) any {
		o := Defaults()
		f.Enum("format", "form of a line", &o.Format, Formats...)
		f.Enum("level", "least level that is written", &o.Level, "debug", "info", "warn", "error")
		f.Int("repeat", "lines of one kind that are written within the window; 0: all", &o.Repeat, 0, 100000)
		f.Duration("window", "time over which they are counted", &o.Window, 100*time.Millisecond, time.Hour)
		return o
	}}
}

// Tracing tells whether the log takes lines of the debug level. Asked before a line is put together: with 80 proxies to
// a few machines, what each of them spends on lines that nobody reads is time that clients wait.
func Tracing() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// New makes a handler that writes to w.
func New(w io.Writer, o Options) slog.Handler {
	var level slog.Level
	level.UnmarshalText([]byte(o.Level)) // an unknown one stays info
	var to slog.Handler
	if o.Format == "json" {
		to = slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
			if len(groups) == 0 && a.Key == slog.MessageKey {
				a.Key = "event"
			}
			return a
		}})
	} else {
		to = &text{w: w, level: level, mu: &sync.Mutex{}}
	}
	if o.Repeat <= 0 {
		return to
	}
	return &limit{to: to, table: &table{most: o.Repeat, window: o.Window, kinds: map[string]*kind{}}}
}

// text writes lines of key=value.
type text struct {
	w     io.Writer
	level slog.Level
	mu    *sync.Mutex
	with  string // attributes of the logger, as they are written
	group string
}

func (t *text) Enabled(_ context.Context, l slog.Level) bool { return l >= t.level }

func (t *text) Handle(_ context.Context, r slog.Record) error {
	b := make([]byte, 0, 256)
	if !r.Time.IsZero() {
		b = r.Time.UTC().AppendFormat(b, "2006/01/02 15:04:05.000000 ")
	}
	b = append(b, "event="...)
	b = appendText(b, r.Message)
	b = append(b, t.with...)
	r.Attrs(func(a slog.Attr) bool {
		b = appendAttr(b, t.group, a)
		return true
	})
	if r.Level != slog.LevelInfo {
		b = append(b, " level="...)
		b = append(b, strings.ToLower(r.Level.String())...)
	}
	b = append(b, '\n')
	t.mu.Lock()
	defer t.mu.Unlock()
	_, err := t.w.Write(b)
	return err
}

func (t *text) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := *t
	b := []byte(t.with)
	for _, a := range attrs {
		b = appendAttr(b, t.group, a)
	}
	next.with = string(b)
	return &next
}

func (t *text) WithGroup(name string) slog.Handler {
	next := *t
	if name != "" {
		next.group += name + "."
	}
	return &next
}

func appendAttr(b []byte, group string, a slog.Attr) []byte {
	v := a.Value.Resolve()
	if v.Kind() == slog.KindGroup {
		if a.Key != "" {
			group += a.Key + "."
		}
		for _, x := range v.Group() {
			b = appendAttr(b, group, x)
		}
		return b
	}
	if a.Key == "" {
		return b
	}
	b = append(b, ' ')
	b = append(b, group...)
	b = append(b, a.Key...)
	b = append(b, '=')
	return appendText(b, v.String())
}

// appendText quotes what would not read as one value.
func appendText(b []byte, s string) []byte {
	plain := s != "" && strings.IndexFunc(s, func(c rune) bool {
		return c == '"' || c == '=' || unicode.IsSpace(c) || !unicode.IsPrint(c)
	}) < 0
	if plain {
		return append(b, s...)
	}
	return strconv.AppendQuote(b, s)
}

// maxKinds bounds the table of lines that may repeat; past it, kinds share one count.
const maxKinds = 256

// limit leaves out lines that repeat.
type limit struct {
	to    slog.Handler
	table *table
}

type table struct {
	mu     sync.Mutex
	most   int
	window time.Duration
	kinds  map[string]*kind
	swept  time.Time
}

type kind struct {
	event   string
	began   time.Time
	written int
	left    int // lines left out
}

// about are the attributes that tell kinds of one event apart.
var about = map[string]bool{"host": true, "reason": true, "where": true, "effect": true, "text": true, "why": true}

func (l *limit) Enabled(c context.Context, level slog.Level) bool { return l.to.Enabled(c, level) }

func (l *limit) Handle(c context.Context, r slog.Record) error {
	key := r.Message
	r.Attrs(func(a slog.Attr) bool {
		if about[a.Key] {
			key += "\x00" + a.Value.String()
		}
		return true
	})
	write, over := l.table.pass(key, r.Message, r.Time)
	for _, k := range over {
		n := slog.NewRecord(r.Time, slog.LevelInfo, "repeated", 0)
		n.Add("of", k.event, "left_out", k.left, "since", k.began.UTC().Format("15:04:05"))
		l.to.Handle(c, n)
	}
	if !write {
		return nil
	}
	return l.to.Handle(c, r)
}

// pass tells whether a line is written, and of which kinds lines were left out in a window that is over.
func (t *table) pass(key, event string, now time.Time) (write bool, over []kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if since := now.Sub(t.swept); since >= t.window || since < 0 {
		t.swept = now
		for name, k := range t.kinds {
			if age := now.Sub(k.began); age >= t.window || age < 0 {
				if k.left > 0 {
					over = append(over, *k)
				}
				delete(t.kinds, name)
			}
		}
	}
	k := t.kinds[key]
	if k == nil && len(t.kinds) >= maxKinds {
		key = "\x00others"
		k = t.kinds[key]
		event = "others"
	}
	if k == nil {
		k = &kind{event: event, began: now}
		t.kinds[key] = k
	}
	if age := now.Sub(k.began); age >= t.window || age < 0 {
		if k.left > 0 {
			over = append(over, *k)
		}
		*k = kind{event: k.event, began: now}
	}
	if k.written < t.most {
		k.written++
		return true, over
	}
	k.left++
	return false, over
}

func (l *limit) WithAttrs(a []slog.Attr) slog.Handler { return &limit{l.to.WithAttrs(a), l.table} }
func (l *limit) WithGroup(g string) slog.Handler      { return &limit{l.to.WithGroup(g), l.table} }
