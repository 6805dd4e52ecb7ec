// Package lineproto speaks the platform's protocol: lines of text that end with CRLF. It parses and writes them and
// holds the connections on both sides that carry them. It decides nothing.
package lineproto

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"croftlock/internal/dataplane/proxy"
)

// MaxLineBytes is the longest line there is, its CRLF included.
const MaxLineBytes = 4096

// What can be wrong with a client's lines.
var (
	ErrTooLong          error = &proxy.InvalidRequestError{Reason: proxy.LineTooLong}
	ErrMalformed        error = &proxy.InvalidRequestError{Reason: proxy.MalformedLine}
	errFirstLineLate    error = &proxy.InvalidRequestError{Reason: proxy.FirstLineLate}
	errSentBeforeAnswer error = &proxy.InvalidRequestError{Reason: proxy.SentBeforeAnswer}
)

// CutLine finds the first line in b. It gives the line with its CRLF, or nil while its end has not come yet.
func CutLine(b []byte) ([]byte, error) {
	i := bytes.IndexByte(b[:min(len(b), MaxLineBytes)], '\n')
	switch {
	case i >= 1 && b[i-1] == '\r':
		return b[:i+1], nil
	case i >= 0:
		return nil, ErrMalformed // a lone line feed ends no line of this protocol
	case len(b) >= MaxLineBytes:
		return nil, ErrTooLong
	}
	return nil, nil
}

// trimLineEnd is a line without its CRLF.
func trimLineEnd(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r\n")) }

// cutField splits off the first field of a line.
func cutField(line []byte) (string, string) {
	first, rest, _ := strings.Cut(string(trimLineEnd(line)), " ")
	return first, rest
}

// OpenLine is a client's first line.
type OpenLine struct {
	proxy.Opening
	line               []byte // as it came, CRLF included
	waitStart, waitEnd int    // where the value of d is in it; waitEnd is 0 where there is none
}

// ParseOpenLine reads a client's first line. It copies what it keeps. The form has to be the protocol's to the letter: the line goes on to a host,
// and one that a host cannot read is this proxy's fault.
func ParseOpenLine(line []byte) (*OpenLine, error) {
	o := &OpenLine{line: bytes.Clone(line)}
	s := string(trimLineEnd(line))
	fields := strings.Split(s, " ")
	if len(fields) != 4 || fields[0] != "OPEN" || !isID(fields[1]) || !isID(fields[2]) {
		return nil, ErrMalformed
	}
	o.ID, o.Key = fields[1], fields[2]
	offset := len(s) - len(fields[3])
	seen := map[string]bool{}
	for _, pair := range strings.Split(fields[3], ",") {
		name, value, found := strings.Cut(pair, "=")
		if !found || !isName(name) || seen[name] {
			return nil, ErrMalformed
		}
		seen[name] = true
		if err := o.setField(name, value, offset+len(name)+1); err != nil {
			return nil, err
		}
		offset += len(pair) + 1
	}
	return o, nil
}

// isID reports whether s is an id, a key or a client: 16 hexadecimal digits in lower case.
func isID(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == 16
}

// isName reports whether s can name a value, or be the name of a class, a tenant or a host.
func isName(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && !strings.ContainsRune("-_.:", rune(c)) {
			return false
		}
	}
	return s != ""
}

// parseNumber reads a decimal number. ParseFloat alone accepts names and other bases as well.
func parseNumber(s string) (float64, error) {
	if s == "" || strings.Trim(s, "0123456789.+-eE") != "" {
		return 0, ErrMalformed
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, ErrMalformed
	}
	return x, nil
}

// setField reads one named value; at is where it is in the line. Names that are unknown here are ignored where their value is a number: the
// protocol allows more of these, and the upstream host gets the line as it is.
func (o *OpenLine) setField(name, value string, offset int) error {
	ok := true
	switch name {
	case "c":
		o.Class, ok = value, isName(value)
	case "t":
		o.Tenant, ok = value, isName(value)
	case "g":
		o.Group, ok = value, isID(value)
	case "at":
		o.StickyHost, ok = value, isName(value)
	case "r":
		o.Retry, ok = true, value == "1"
	case "again":
		o.Returned, ok = true, value == "1"
	case "h":
		load, err := parseNumber(value)
		o.ExpectedLoad, ok = load, err == nil && load >= 0 && load < 1e18
	case "d":
		ms, err := strconv.ParseUint(value, 10, 31)
		o.Wait, o.HasWait, ok = time.Duration(ms)*time.Millisecond, true, err == nil
		o.waitStart, o.waitEnd = offset, offset+len(value)
	default:
		_, err := parseNumber(value)
		ok = err == nil
	}
	if !ok {
		return ErrMalformed
	}
	return nil
}

// WithWait is the line for an upstream host: as the client sent it, with how long this proxy waits as d.
func (o *OpenLine) WithWait(wait time.Duration) []byte {
	ms := strconv.AppendInt(nil, max(1, wait.Milliseconds()), 10)
	line := make([]byte, 0, len(o.line)+len(ms)+3)
	if o.waitEnd > 0 {
		line = append(line, o.line[:o.waitStart]...)
		line = append(line, ms...)
		return append(line, o.line[o.waitEnd:]...)
	}
	line = append(append(line, trimLineEnd(o.line)...), ',')
	line = append(line, "d="...)
	line = append(line, ms...)
	return append(line, "\r\n"...)
}

// ParseHostLine reads a line of an upstream host.
func ParseHostLine(line []byte) proxy.Message {
	m := proxy.Message{Text: line}
	first, rest := cutField(line)
	switch first {
	case "UP":
		m.Kind = proxy.Accepted
	case "BUSY":
		m.Kind = proxy.OverCapacity
	case "ERR":
		m.Kind = proxy.Failed
	case "BYE":
		m.Kind = proxy.Finished
	case "MOVE":
		m.Kind = proxy.MigrateClient
	case "LOAD":
		if x, err := strconv.ParseFloat(strings.TrimSpace(rest), 64); err == nil && x >= 0 && x < 1e15 {
			m.Kind, m.Load = proxy.LoadReported, x
		}
	}
	return m
}

// The lines of local replies.
var (
	pongLine    = []byte("PONG\r\n")
	errLine     = []byte("ERR\r\n")
	migrateLine = []byte("MOVE\r\n")
)

// busyLine is a rejection, with the Retry-After rounded up to milliseconds.
func busyLine(after time.Duration) []byte {
	if after <= 0 {
		return []byte("BUSY\r\n")
	}
	ms := (after + time.Millisecond - 1).Milliseconds()
	return append(strconv.AppendInt([]byte("BUSY "), ms, 10), "\r\n"...)
}
