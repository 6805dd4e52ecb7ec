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
	// filePollInterval is the interval between polls of the certificate, key and trust files. Replaced files
	// must be in use within 2 s.
	filePollInterval = 500 * time.Millisecond
	// rereadAfterChange is how long after a change each poll reads the files, even if they seem
	// unchanged: two writes in one tick of the file system's clock look like one.
	rereadAfterChange = 3 * time.Second
)

// reload is a request to read the files at once. The options replace those in use, unless they are nil.
type reload struct{ options *Options }

// Reload reads the files again at once, with the options o or, if o is nil, with those in use. It does
// not wait for the result. Enabled, Handshakes and MaxSessions keep their values until the next start.
// Reload may be called from any goroutine.
func (d *Dialer) Reload(o *Options) {
	for {
		select {
		case d.reloads <- reload{o}:
			return
		default:
		}
		select {
		case <-d.reloads: // replaced by the newer request
		default:
		}
	}
}

// watch polls the files until the process exits, in its own goroutine.
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

// watcher detects changes of the files. Only the goroutine of watch uses it.
type watcher struct {
	current     *Material // the last returned by poll, or the initial one
	options     Options   // for the next Load
	fingerprint string    // of the files at the last poll
	changedAt   time.Time // when the fingerprint last changed
	lastFault   string    // the text of the last logged fault; "" if the files could be used at the last attempt
}

// poll returns new material if the files or the options have changed and can be used, and nil otherwise.
// It reads the files if they seem changed, soon after a change, or if force is true. It logs a fault
// only if the fault's text differs from the last one. wallTime is the wall-clock time, for the log.
func (w *watcher) poll(force bool, wallTime time.Time) *Material {
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
				"in_use_until", describeTime(w.current.NotAfter, wallTime))
		}
		return nil
	}
	w.lastFault = ""
	if m.digest == w.current.digest && sameOptions(m.options, w.current.options) {
		return nil
	}
	w.current = m
	slog.Info("tls_files_taken", "epoch", m.Epoch, "authorities", m.authorities, "lists", len(m.revocations), "until", describeTime(m.NotAfter, wallTime))
	return m
}

// describeTime returns a time and how long it is from now, or "no_end" if it is zero.
func describeTime(t, now time.Time) string {
	if t.IsZero() {
		return "no_end"
	}
	return fmt.Sprintf("%s,%s_left", t.UTC().Format(time.RFC3339), t.Sub(now).Round(time.Second))
}

// sameOptions reports whether two sets of options are equal.
func sameOptions(a, b Options) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// fileFingerprint returns a text that differs between versions of the files, without reading them.
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
