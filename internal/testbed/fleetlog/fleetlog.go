// Package fleetlog counts over the logs of many proxies on one time axis: what is harmless in one proxy and harmful when all do it shows in no
// single log. It owns the reading of croftlock's log lines, also of earlier versions, and the counts. Most events are at level debug.
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

// Event is one line of one proxy's log.
type Event struct {
	Time   time.Time
	Proxy  string
	Name   string
	Fields map[string]string
}

// maxLineBytes is the longest line that is read, in bytes; a longer one is not of croftlock's log.
const maxLineBytes = 64 << 10

// Log is what was read of a folder.
type Log struct {
	Events  []Event // in order of time
	Proxies int
	Skipped int // lines that are torn, or not of our log
}

// ReadDir reads each *.log of a folder as one proxy's log.
func ReadDir(dir string) (*Log, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		if _, err := os.Stat(dir); err != nil {
			return nil, err
		}
		return nil, fmt.Errorf("%s: no *.log in it", dir)
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
		return nil, fmt.Errorf("%s: none of %d lines is of croftlock's log", dir, l.Skipped)
	}
	sort.SliceStable(l.Events, func(i, j int) bool { return l.Events[i].Time.Before(l.Events[j].Time) })
	return l, nil
}

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
		// A last line without its end was cut off with its proxy, and a number in it may be incomplete.
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

// parse reads a line: date, time, event=NAME, key=value... Another program may have written something before the date.
func parse(line string) (Event, bool) {
	at := strings.Index(line, " event=")
	const timeFormat = "2006/01/02 15:04:05.000000"
	if at < len(timeFormat) {
		return Event{}, false
	}
	timestamp, err := time.Parse(timeFormat, line[at-len(timeFormat):at])
	if err != nil {
		return Event{}, false
	}
	e := Event{Time: timestamp, Fields: map[string]string{}}
	for rest := strings.TrimSpace(line[at+1:]); rest != ""; {
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
