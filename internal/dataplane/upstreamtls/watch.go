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
	// filePollInterval is how often the files are polled: a replacement has to be in use within 2 s.
	filePollInterval = 500 * time.Millisecond
	// rereadAfterChange is how long after a change the files are read again whether or not they seem to have changed: two writes
	// in one tick of the file system's clock look like one.
	rereadAfterChange = 3 * time.Second
)

// reload has the watcher poll now, with other options if there are any.
type reload struct{ options *Options }

// Reload has the files read again at once, by the options given or, for nil, by those in use. Whether hosts are reached
// by TLS, and the workers and the budget, stay as they are until the next start. It may be called from any goroutine.
func (d *Dialer) Reload(o *Options) {
	for {
		select {
		case d.reloads <- reload{o}:
			return
		default:
		}
		select {
		case <-d.reloads: // the newer one replaces it
		default:
		}
	}
}

// watch polls the files for as long as the program runs, beside the loop.
func (d *Dialer) watch(m *Material) {
	tick := time.NewTicker(filePollInterval)
	defer tick.Stop()
	w := watcher{current: m, options: m.options, fingerprint: fileFingerprint(m.options.Files()), changedAt: time.Now()}
	for {
		force := false
		select {
		case <-tick.C:
		case r := <-d.reloads:
			force = true
			if r.options != nil {
				w.options = *r.options
				w.options.Enabled, w.options.Handshakes, w.options.MaxSessions = m.options.Enabled, m.options.Handshakes, m.options.MaxSessions
			}
		}
		if next := w.poll(force, d.wallClock()); next != nil {
			d.loop.Post(func() { d.SetMaterial(next) })
		}
	}
}

// watcher knows the files as they were last seen.
type watcher struct {
	current     *Material
	options     Options
	fingerprint string
	changedAt   time.Time
	lastFault   string // the fault that was last logged; "": there is none
}

// poll gives new material where the files have changed and can be used; nil: what is in use stays.
func (w *watcher) poll(force bool, wall time.Time) *Material {
	now := time.Now()
	if s := fileFingerprint(w.options.Files()); s != w.fingerprint {
		w.fingerprint, w.changedAt = s, now
	} else if !force && now.Sub(w.changedAt) > rereadAfterChange {
		return nil
	}
	m, err := Load(w.options, w.current.Epoch+1)
	if err != nil {
		if text := err.Error(); text != w.lastFault {
			w.lastFault = text
			slog.Warn("tls_files_kept", "reason", strings.ReplaceAll(text, "\n", "; "), "epoch", w.current.Epoch,
				"in_use_until", describeTime(w.current.NotAfter, wall))
		}
		return nil
	}
	w.lastFault = ""
	if m.digest == w.current.digest && sameOptions(m.options, w.current.options) {
		return nil
	}
	w.current = m
	slog.Info("tls_files_taken", "epoch", m.Epoch, "authorities", m.authorities, "lists", len(m.revocations), "until", describeTime(m.NotAfter, wall))
	return m
}

// describeTime is a moment with the time left until it.
func describeTime(t, now time.Time) string {
	if t.IsZero() {
		return "no_end"
	}
	return fmt.Sprintf("%s,%s_left", t.UTC().Format(time.RFC3339), t.Sub(now).Round(time.Second))
}

// sameOptions reports whether two sets of options are equal.
func sameOptions(a, b Options) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// fileFingerprint differs between versions of the files; it does not read them.
func fileFingerprint(files []string) string {
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
