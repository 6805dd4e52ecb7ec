package fleetlog

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"sort"
	"testing"
	"time"

	"croftlock/internal/operations/logging"
)

// writeLog writes a log with croftlock's own log handler and appends tail.
func writeLog(t *testing.T, dir, name string, events func(logEvent func(event string, kv ...any)), tail string) {
	t.Helper()
	var b bytes.Buffer
	o := logging.Defaults()
	o.Level, o.MaxPerWindow = "debug", 0
	log := slog.New(logging.New(&b, o))
	events(func(event string, kv ...any) { log.Debug(event, kv...) })
	b.WriteString(tail)
	if err := os.WriteFile(filepath.Join(dir, name), b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestCountsOverProxies(t *testing.T) {
	dir := t.TempDir()
	since := time.Now().UnixMilli()
	for _, p := range []string{"n0.log", "n1.log"} {
		writeLog(t, dir, p, func(logEvent func(string, ...any)) {
			logEvent("ready", "name", p)
			logEvent("host", "host", "s1", "zone", "zone a", "state", 0, "weight", 1.5, "since_ms", since)
			logEvent("asked", "request", "q"+p, "group", "g", "returned", p == "n1.log", "repeat", false)
			logEvent("attempt", "request", "adopted", "number", 0, "host", "s0")
			logEvent("attempt", "request", "q"+p, "number", 0, "host", "s0")
			logEvent("outcome", "request", "q"+p, "host", "s0", "status", "connect_failed", "up", false)
			logEvent("attempt", "request", "q"+p, "number", 1, "host", "s1")
			logEvent("stands", "request", "q"+p, "host", "s1")
			logEvent("told", "request", "q"+p, "host", "s1", "delay", true, "value", 250.5)
			logEvent("told", "request", "q"+p, "host", "s1", "delay", false, "value", 99999.0)
			logEvent("refused", "request", "other")
		}, "0.1 2026/12/01 10:00:00.000000 event=attempt_started request=torn host=s")
	}
	// Lines of another program, malformed lines and a line that is too long are skipped. A line with text
	// before the date is read.
	otherLines := "another program's line\n2026/12/01 10:00 event=request_received\nx event=y\n" +
		time.Now().UTC().Format("12.5 2006/01/02 15:04:05.000000") + " event=request_rejected request=\"a b\" after_ms=3\n" +
		time.Now().UTC().Format("2006/01/02 15:04:05.000000") + " event=attempt_started host=\"torn\n" +
		string(bytes.Repeat([]byte("z"), 3*maxLineBytes)) + "\n"
	if err := os.WriteFile(filepath.Join(dir, "n2.log"), []byte(otherLines), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	if l.Proxies != 3 || l.Skipped != 2+5 {
		t.Errorf("%d proxies, %d lines skipped; want 3 and 7", l.Proxies, l.Skipped)
	}
	f := Count(l, time.Hour, 23*time.Second, 2*time.Second)
	if len(f.Windows) != 1 {
		t.Fatalf("%d windows, want 1", len(f.Windows))
	}
	w := f.Windows[0]
	if w.Requests != 2 || w.Returned != 1 || w.Attempts != 4 || w.Established != 2 || w.Rejected != 3 || w.Failed["connect_failed"] != 2 ||
		w.Open != 2 || w.Placements != 1 || w.ProcessStarts != 2 || w.HostUpdates != 2 {
		t.Errorf("window of both proxies = %+v, want 2 requests (1 returned), 4 attempts (2 connect_failed), 2 established, 3 rejected, 2 open, 1 placement, 2 process starts and 2 host updates", w)
	}
	if len(f.Hosts) != 2 {
		t.Fatalf("%d hosts, want 2", len(f.Hosts))
	}
	if h := f.Hosts[1]; h.Name != "s1" || h.Zone != "zone a" || h.Attempts != 2 || h.WarmUpAttempts != 2 || h.WarmUpPeak != 2 || h.Open != 2 ||
		h.MaxDelayMS != 250.5 || h.Weight != 1.5 {
		t.Errorf("host s1 = %+v, want zone a, weight 1.5, 2 attempts, all in the warm-up, a warm-up peak of 2, 2 open connections and a delay of 250.5 ms", h)
	}
	if h := f.Hosts[0]; h.WarmUpAttempts != 0 || h.Attempts != 2 {
		t.Errorf("host s0 = %+v, want 2 attempts, none in the warm-up", h)
	}
}

// TestRestartedProxyHasNoConnections guards against counting the connections of an earlier process of a
// proxy as open after the next process is ready.
func TestRestartedProxyHasNoConnections(t *testing.T) {
	dir := t.TempDir()
	writeLog(t, dir, "n0.log", func(logEvent func(string, ...any)) {
		logEvent("ready")
		logEvent("stands", "request", "a", "host", "s1")
		logEvent("ready")
		logEvent("stands", "request", "b", "host", "s1")
		logEvent("outcome", "request", "b", "host", "s1", "status", "reset", "up", true)
	}, "")
	l, err := ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	if w := Count(l, time.Hour, time.Second, time.Second).Windows[0]; w.Open != 0 || w.Broken != 1 {
		t.Errorf("window = %+v, want no open connection and 1 broken", w)
	}
}

func TestFoldersThatCannotBeRead(t *testing.T) {
	empty, foreign := t.TempDir(), t.TempDir()
	os.WriteFile(filepath.Join(foreign, "x.log"), []byte("not of croftlock\n"), 0o600)
	for _, dir := range []string{empty, foreign, filepath.Join(empty, "missing")} {
		if _, err := ReadDir(dir); err == nil {
			t.Errorf("ReadDir(%s) succeeded, want an error", dir)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`2026/12/01 10:00:00.000000 event=request_received request=q group=g text="a \"b\" c" level=debug`)
	f.Add(`1.5 2026/12/01 10:00:00.000000 event=x`)
	f.Add(" event=")
	f.Fuzz(func(t *testing.T, line string) {
		if e, ok := parse(line); ok && (e.Name == "" || e.Time.IsZero()) {
			t.Errorf("parse(%q) = %+v, true; want a name and a time", line, e)
		}
	})
}

// TestCountLoss checks that each second of a client counts once, as good or under the cause of its loss.
func TestCountLoss(t *testing.T) {
	at := time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)
	var l Log
	addEvent := func(seconds float64, event string, kv ...string) {
		e := Event{Time: at.Add(time.Duration(seconds * float64(time.Second))), Proxy: "n0", Name: event, Fields: map[string]string{}}
		for i := 0; i < len(kv); i += 2 {
			e.Fields[kv[i]] = kv[i+1]
		}
		l.Events = append(l.Events, e)
	}
	for _, h := range []string{"a", "b", "c"} {
		addEvent(0, "host_updated", "host", h, "weight", "1", "state", "ready")
	}
	for _, r := range []string{"1", "2", "3", "4"} {
		addEvent(0.1, "request_received", "request", r)
		addEvent(1.1, "request_established", "request", r, "host", map[bool]string{true: "a", false: "b"}[r != "4"])
	}
	addEvent(5.1, "load_reported", "request", "1", "host", "a", "delay", "true", "value", "400")
	addEvent(5.1, "load_reported", "request", "4", "host", "b", "delay", "true", "value", "400")
	addEvent(5.2, "load_reported", "request", "4", "host", "c", "delay", "true", "value", "100")
	addEvent(8.1, "attempt_ended", "request", "1", "host", "a", "status", "reset", "established", "true")
	addEvent(8.1, "attempt_ended", "request", "2", "host", "a", "status", "cancelled", "established", "true")
	addEvent(8.1, "attempt_ended", "request", "3", "host", "a", "status", "ok", "established", "true")
	addEvent(10.1, "request_received", "request", "1")
	addEvent(10.1, "request_rejected", "request", "1")
	addEvent(60.1, "attempt_ended", "request", "4", "host", "b", "status", "ok", "established", "true")
	sort.SliceStable(l.Events, func(i, j int) bool { return l.Events[i].Time.Before(l.Events[j].Time) })
	got := CountLoss(&l, 250*time.Millisecond)
	for _, c := range []struct {
		what      string
		got, want float64
	}{{"waiting", got.Waiting, 4}, {"overloaded", got.Overloaded, 4.5}, {"slow", got.Slow, 1.5}, {"broken", got.Broken, 2}, {"migrated", got.Migrated, 10}, {"rejected", got.Rejected, 10},
		{"good", got.Good, 3*5.5 + 57.5}} {
		if c.got < c.want-0.8 || c.got > c.want+0.8 {
			t.Errorf("%s: %.2f s, want %.2f", c.what, c.got, c.want)
		}
	}
	if got.MaxSpread != 0 || len(got.Hosts) != 3 || got.Hosts[0].Name != "a" || got.Hosts[0].Broken != 1 {
		t.Errorf("loss = %+v, want no spread, 3 hosts and host a first with 1 broken connection", got)
	}
}

// TestEarlierEventNames checks that events of earlier versions are read under their current names.
func TestEarlierEventNames(t *testing.T) {
	for line, want := range map[string]string{
		"2026/01/02 03:04:05.000006 event=asked request=q":            "request_received",
		"2026/01/02 03:04:05.000006 event=request_received request=q": "request_received",
		"2026/01/02 03:04:05.000006 event=counts open=1":              "counts",
	} {
		if e, ok := parse(line); !ok || e.Name != want {
			t.Errorf("parse(%q) = event %q, %t; want %q, true", line, e.Name, ok, want)
		}
	}
}
