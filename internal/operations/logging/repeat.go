package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxKinds bounds the table of kinds of lines. Lines are of one kind if they have the same event and
// the same values of kindAttrs. Kinds beyond maxKinds share one count.
const maxKinds = 256

// otherKinds is the key of the count that the kinds beyond maxKinds share. No event has this name.
const otherKinds = "\x00others"

// kindAttrs lists the attributes whose values distinguish the kinds of lines of one event.
var kindAttrs = map[string]bool{"host": true, "reason": true, "where": true, "effect": true, "text": true, "why": true}

// repeatHandler passes records to another handler, next, and leaves out those beyond the limiter's
// limit.
type repeatHandler struct {
	next    slog.Handler
	limiter *repeatLimiter
}

// Enabled reports whether lines of the level are written.
func (h *repeatHandler) Enabled(c context.Context, level slog.Level) bool {
	return h.next.Enabled(c, level)
}

// Handle writes a record unless the limit of its kind is reached. Before that it writes a line for each
// kind whose window has ended, with the number of lines that were left out in that window.
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

// WithAttrs returns a handler that adds the attributes to every line. It shares the counts.
func (h *repeatHandler) WithAttrs(a []slog.Attr) slog.Handler {
	return &repeatHandler{h.next.WithAttrs(a), h.limiter}
}

// WithGroup returns a handler that writes attributes with the group's name. It shares the counts.
func (h *repeatHandler) WithGroup(g string) slog.Handler {
	return &repeatHandler{h.next.WithGroup(g), h.limiter}
}

// repeatLimiter counts the lines of each kind. A kind's window starts with its first line; after the
// window has ended, the next line starts another. A repeatLimiter is safe for concurrent use.
type repeatLimiter struct {
	mutex        sync.Mutex
	maxPerWindow int                   // most lines of one kind within a window
	window       time.Duration         // length of a window
	kinds        map[string]*kindCount // by event and the values of kindAttrs, or otherKinds
	sweptAt      time.Time             // when removeEnded last looked through kinds
}

// newRepeatLimiter returns a limiter with no counts.
func newRepeatLimiter(maxPerWindow int, window time.Duration) *repeatLimiter {
	return &repeatLimiter{maxPerWindow: maxPerWindow, window: window, kinds: map[string]*kindCount{}}
}

// kindCount counts the lines of one kind in its current window.
type kindCount struct {
	event     string    // "others" for the count that the kinds beyond maxKinds share
	startedAt time.Time // of the window
	written   int       // lines written in the window
	leftOut   int       // lines left out in the window
}

// windowEnded reports whether the kind's window, which lasts window, has ended. A clock that was set
// back before the window's start ends it too.
func (k *kindCount) windowEnded(now time.Time, window time.Duration) bool {
	age := now.Sub(k.startedAt)
	return age >= window || age < 0
}

// allow reports whether a line of the kind key may be written, and counts it as written or left out.
// ended lists the counts of kinds whose window has ended and of which lines were left out.
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

// removeEnded removes the kinds whose window has ended, at most once per window, and returns those
// of which lines were left out.
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

// countOf returns the count of a kind, which it creates if necessary, or the count that further
// kinds share once the table is full.
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
