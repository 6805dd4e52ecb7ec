package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxKinds bounds the table of lines that may repeat; past it, kinds share one count.
const maxKinds = 256

// otherKinds is the key of the kinds that share one count; no event has this name.
const otherKinds = "\x00others"

// kindAttrs are the attributes that distinguish kinds of one event.
var kindAttrs = map[string]bool{"host": true, "reason": true, "where": true, "effect": true, "text": true, "why": true}

// repeatHandler leaves out lines that repeat.
type repeatHandler struct {
	next    slog.Handler
	limiter *repeatLimiter
}

// Enabled reports whether lines of a level are written.
func (h *repeatHandler) Enabled(c context.Context, level slog.Level) bool {
	return h.next.Enabled(c, level)
}

// Handle writes a record unless too many of its kind were written, and reports what was left out in windows that are over.
func (h *repeatHandler) Handle(c context.Context, r slog.Record) error {
	key := r.Message
	r.Attrs(func(a slog.Attr) bool {
		if kindAttrs[a.Key] {
			key += "\x00" + a.Value.String()
		}
		return true
	})
	write, ended := h.limiter.allow(key, r.Message, r.Time)
	for _, k := range ended {
		n := slog.NewRecord(r.Time, slog.LevelInfo, "repeated", 0)
		n.Add("of", k.event, "left_out", k.leftOut, "since", k.startedAt.UTC().Format("15:04:05"))
		h.next.Handle(c, n)
	}
	if !write {
		return nil
	}
	return h.next.Handle(c, r)
}

// WithAttrs gives a handler that writes these attributes with every line.
func (h *repeatHandler) WithAttrs(a []slog.Attr) slog.Handler {
	return &repeatHandler{h.next.WithAttrs(a), h.limiter}
}

// WithGroup gives a handler that writes attributes under a name.
func (h *repeatHandler) WithGroup(g string) slog.Handler {
	return &repeatHandler{h.next.WithGroup(g), h.limiter}
}

// repeatLimiter counts lines by kind within a window.
type repeatLimiter struct {
	mutex        sync.Mutex
	maxPerWindow int // lines of one kind within the window
	window       time.Duration
	kinds        map[string]*kindCount
	sweptAt      time.Time
}

func newRepeatLimiter(maxPerWindow int, window time.Duration) *repeatLimiter {
	return &repeatLimiter{maxPerWindow: maxPerWindow, window: window, kinds: map[string]*kindCount{}}
}

// kindCount is the lines of one kind in its window.
type kindCount struct {
	event     string
	startedAt time.Time
	written   int
	leftOut   int
}

// windowEnded reports whether the window has ended, also where the clock was set back.
func (k *kindCount) windowEnded(now time.Time, window time.Duration) bool {
	age := now.Sub(k.startedAt)
	return age >= window || age < 0
}

// allow reports whether a line is written, and of which kinds lines were left out in a window that is over.
func (l *repeatLimiter) allow(key, event string, now time.Time) (write bool, ended []kindCount) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ended = l.removeEnded(now)
	k := l.countOf(key, event, now)
	if k.windowEnded(now, l.window) {
		if k.leftOut > 0 {
			ended = append(ended, *k)
		}
		*k = kindCount{event: k.event, startedAt: now}
	}
	if k.written < l.maxPerWindow {
		k.written++
		return true, ended
	}
	k.leftOut++
	return false, ended
}

// removeEnded drops the kinds whose window is over, once a window, and gives those of which lines were left out.
func (l *repeatLimiter) removeEnded(now time.Time) (ended []kindCount) {
	if since := now.Sub(l.sweptAt); since < l.window && since >= 0 {
		return nil
	}
	l.sweptAt = now
	for key, k := range l.kinds {
		if !k.windowEnded(now, l.window) {
			continue
		}
		if k.leftOut > 0 {
			ended = append(ended, *k)
		}
		delete(l.kinds, key)
	}
	return ended
}

func (l *repeatLimiter) countOf(key, event string, now time.Time) *kindCount {
	k := l.kinds[key]
	if k == nil && len(l.kinds) >= maxKinds {
		key, event = otherKinds, "others"
		k = l.kinds[key]
	}
	if k == nil {
		k = &kindCount{event: event, startedAt: now}
		l.kinds[key] = k
	}
	return k
}
