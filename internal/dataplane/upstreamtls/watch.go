package upstreamtls

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// lookEvery is how often the files are looked at: a replacement is to be in use within 2 s.
	lookEvery = 500 * time.Millisecond
	// settling is how long after a change the files are read again whether or not they seem to have changed: two writes
	// in one tick of the file system's clock look like one.
	settling = 3 * time.Second
)

// reload asks the watcher to look now, with other options if there are any.
type reload struct{ options *Options }

// Reload has the files read again at once, by the options given or, for nil, by those in use. Whether hosts are reached
// by TLS, and the workers and the budget, stay as they are until the next start. It may be called from any goroutine.
func (k *Link) Reload(o *Options) {
	for {
		select {
		case k.files <- reload{o}:
			return
		default:
		}
		select {
		case <-k.files: // it was not looked at yet; the newer one counts
		default:
		}
	}
}

// watch looks at the files for as long as the program runs. It is the only one to read them after the start, beside the
// loop.
func (k *Link) watch(m *Material) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	w := watcher{current: m, opt: m.opt, seen: signature(m.opt.Files()), changed: time.Now()}
	for {
		force := false
		select {
		case <-tick.C:
		case r := <-k.files:
			force = true
			if r.options != nil {
				w.opt = *r.options
				w.opt.On, w.opt.Handshakes, w.opt.Sessions = m.opt.On, m.opt.Handshakes, m.opt.Sessions
			}
		}
		if next := w.look(force, k.wall()); next != nil {
			k.loop.Post(func() { k.Use(next) })
		}
	}
}

// watcher knows the files as they were last seen.
type watcher struct {
	current *Material
	opt     Options
	seen    string
	changed time.Time
	told    string // the fault that was last told
}

// look gives new material where the files hold some; nil: what is in use stays.
func (w *watcher) look(force bool, wall time.Time) *Material {
	now := time.Now()
	if s := signature(w.opt.Files()); s != w.seen {
		w.seen, w.changed = s, now
	} else if !force && now.Sub(w.changed) > settling {
		return nil
	}
	m, err := Load(w.opt, w.current.Epoch+1)
	if err != nil {
		if text := err.Error(); text != w.told {
			w.told = text
			slog.Warn("tls_files_kept", "reason", strings.ReplaceAll(text, "\n", "; "), "epoch", w.current.Epoch,
				"in_use_until", until(w.current.Ends, wall))
		}
		return nil
	}
	w.told = ""
	if m.sum == w.current.sum && sameOptions(m.opt, w.current.opt) {
		return nil
	}
	w.current = m
	slog.Info("tls_files_taken", "epoch", m.Epoch, "authorities", m.count, "lists", len(m.lists), "until", until(m.Ends, wall))
	return m
}

// until tells a moment with what is left to it.
func until(t, now time.Time) string {
	if t.IsZero() {
		return "no_end"
	}
	return fmt.Sprintf("%s,%s_left", t.UTC().Format(time.RFC3339), t.Sub(now).Round(time.Second))
}

// sameOptions tells whether two sets of options treat the same files alike.
func sameOptions(a, b Options) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// signature tells the files' versions apart without reading them.
func signature(files []string) string {
	var b strings.Builder
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			fmt.Fprintf(&b, "%s gone;", f)
			continue
		}
		fmt.Fprintf(&b, "%s %d %d %o", f, info.Size(), info.ModTime().UnixNano(), info.Mode())
		if s, ok := info.Sys().(*syscall.Stat_t); ok {
			fmt.Fprintf(&b, " %d %d.%d", s.Ino, s.Ctim.Sec, s.Ctim.Nsec)
		}
		b.WriteByte(';')
	}
	return b.String()
}
