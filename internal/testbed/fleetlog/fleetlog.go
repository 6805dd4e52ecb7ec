// Package fleetlog reads the logs of many proxies, of this and earlier versions, and counts their events
// on one time axis. The counts show behavior that is harmless in one proxy but harmful if all proxies
// do it, which no single log shows. Most of the events are logged at level debug.
package fleetlog

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Event is one line of a proxy's log, with its current event and field names.
type Event struct {
	Time   time.Time
	Proxy  string // name of the log file without .log
	Name   string
	Fields map[string]string
}

// maxLineBytes is the length of the longest line that is parsed. A longer line is not a croftlock log
// line.
const maxLineBytes = 64 << 10

// Log holds the events of all logs in a directory.
type Log struct {
	Events  []Event // sorted by time
	Proxies int     // number of logs
	Skipped int     // number of lines that are incomplete or not croftlock log lines
}

// ReadDir reads each *.log file in a directory as the log of one proxy. It returns an error if there is
// no such file or none of them has an event.
func ReadDir(dir string) (*Log, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		if _, err := os.Stat(dir); err != nil {
			return nil, err
		}
		return nil, fmt.Errorf("%s: directory contains no *.log file", dir)
	}
	sort.Strings(names)
	l := &Log{Proxies: len(names)}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = l.readProxy(f, strings.TrimSuffix(filepath.Base(name), ".log"))
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if len(l.Events) == 0 {
		return nil, fmt.Errorf("%s: none of %d lines is a croftlock log line", dir, l.Skipped)
	}
	sort.SliceStable(l.Events, func(i, j int) bool { return l.Events[i].Time.Before(l.Events[j].Time) })
	return l, nil
}

// readProxy adds the events of one proxy's log, and counts the lines that it skips.
func (l *Log) readProxy(from io.Reader, proxy string) error {
	r := bufio.NewReaderSize(from, maxLineBytes)
	for {
		line, err := r.ReadSlice('\n')
		complete := err == nil
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = r.ReadSlice('\n')
		}
		if err != nil && err != io.EOF {
			return err
		}
		// A last line without a newline was cut off when its proxy ended, so a number in it may be incomplete.
		if !complete {
			if len(line) > 0 {
				l.Skipped++
			}
		} else if e, ok := parse(string(line)); ok {
			e.Proxy = proxy
			l.Events = append(l.Events, e)
		} else {
			l.Skipped++
		}
		if err == io.EOF {
			return nil
		}
	}
}

// parse parses a line: date, time, event=NAME, key=value... It ignores text before the date, which
// another program may have written. It reports whether the line is a croftlock log line.
func parse(line string) (Event, bool) {
	eventStart := strings.Index(line, " event=")
	const timeFormat = "2006/01/02 15:04:05.000000"
	if eventStart < len(timeFormat) {
		return Event{}, false
	}
	timestamp, err := time.Parse(timeFormat, line[eventStart-len(timeFormat):eventStart])
	if err != nil {
		return Event{}, false
	}
	e := Event{Time: timestamp, Fields: map[string]string{}}
	for rest := strings.TrimSpace(line[eventStart+1:]); rest != ""; {
		key, value, found := strings.Cut(rest, "=")
		if !found || key == "" || strings.ContainsAny(key, " \"") {
			return Event{}, false
		}
		if strings.HasPrefix(value, `"`) {
			quoted, err := strconv.QuotedPrefix(value)
			if err != nil {
				return Event{}, false
			}
			rest = strings.TrimPrefix(value[len(quoted):], " ")
			value, _ = strconv.Unquote(quoted)
		} else {
			value, rest, _ = strings.Cut(value, " ")
		}
		if key == "event" {
			e.Name = currentEventName(value)
		} else {
			e.Fields[key] = value
		}
	}
	e.Fields = currentFields(e.Name, e.Fields)
	return e, e.Name != ""
}
