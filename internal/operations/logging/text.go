package logging

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"unicode"
)

const lineCapacity = 256 // bytes allocated for a line at first; most lines fit

// textHandler writes records as lines of key=value.
type textHandler struct {
	writer io.Writer
	level  slog.Level
	mutex  *sync.Mutex // protects writer
	attrs  string      // attributes added by WithAttrs, as written
	group  string      // names added by WithGroup, each followed by a dot
}

// Enabled reports whether lines of the level are written.
func (t *textHandler) Enabled(_ context.Context, l slog.Level) bool { return l >= t.level }

// Handle writes a record as one line: the time in UTC, the event, the attributes, and the level unless
// it is info.
func (t *textHandler) Handle(_ context.Context, r slog.Record) error {
	b := make([]byte, 0, lineCapacity)
	if !r.Time.IsZero() {
		b = r.Time.UTC().AppendFormat(b, "2006/01/02 15:04:05.000000 ")
	}
	b = append(b, "event="...)
	b = appendText(b, r.Message)
	b = append(b, t.attrs...)
	r.Attrs(func(a slog.Attr) bool {
		b = appendAttr(b, t.group, a)
		return true
	})
	if r.Level != slog.LevelInfo {
		b = append(b, " level="...)
		b = append(b, strings.ToLower(r.Level.String())...)
	}
	b = append(b, '\n')
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_, err := t.writer.Write(b)
	return err
}

// WithAttrs returns a handler that adds the attributes to every line.
func (t *textHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := *t
	b := []byte(t.attrs)
	for _, a := range attrs {
		b = appendAttr(b, t.group, a)
	}
	next.attrs = string(b)
	return &next
}

// WithGroup returns a handler that writes attributes with the group's name and a dot before their
// keys.
func (t *textHandler) WithGroup(name string) slog.Handler {
	next := *t
	if name != "" {
		next.group += name + "."
	}
	return &next
}

// appendAttr appends an attribute as " key=value", with group before the key. It appends a group as
// its members, and nothing for an attribute without a key.
func appendAttr(b []byte, group string, a slog.Attr) []byte {
	v := a.Value.Resolve()
	if v.Kind() == slog.KindGroup {
		if a.Key != "" {
			group += a.Key + "."
		}
		for _, member := range v.Group() {
			b = appendAttr(b, group, member)
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

// appendText appends s, in quotes if it would not read as one value otherwise.
func appendText(b []byte, s string) []byte {
	if s != "" && strings.IndexFunc(s, needsQuotes) < 0 {
		return append(b, s...)
	}
	return strconv.AppendQuote(b, s)
}

// needsQuotes reports whether a value that contains c must be quoted.
func needsQuotes(c rune) bool {
	return c == '"' || c == '=' || unicode.IsSpace(c) || !unicode.IsPrint(c)
}
