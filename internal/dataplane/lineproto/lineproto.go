// Package lineproto implements the platform's line protocol: lines of text that end with CRLF. It parses
// and writes lines and handles the connections to clients and upstream hosts. Package proxy decides what
// to do with a request.
package lineproto

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"croftlock/internal/dataplane/proxy"
)

// MaxLineBytes is the maximum length of a line, including its CRLF.
const MaxLineBytes = 4096

// maxWaitFieldBytes is the maximum length of the field that WithWait adds: its comma, name and sign, and a
// wait of up to ten digits.
const maxWaitFieldBytes = len(",d=") + 10

// Errors in a client's lines.
var (
	ErrTooLong          error = &proxy.InvalidRequestError{Reason: proxy.LineTooLong}
	ErrMalformed        error = &proxy.InvalidRequestError{Reason: proxy.MalformedLine}
	errFirstLineLate    error = &proxy.InvalidRequestError{Reason: proxy.FirstLineLate}
	errSentBeforeAnswer error = &proxy.InvalidRequestError{Reason: proxy.SentBeforeAnswer}
)

// CutLine returns the first line in b, with its CRLF. It returns nil and no error if the line is not
// complete. The result shares memory with b.
func CutLine(b []byte) ([]byte, error) {
	i := bytes.IndexByte(b[:min(len(b), MaxLineBytes)], '\n')
	switch {
	case i >= 1 && b[i-1] == '\r':
		return b[:i+1], nil
	case i >= 0:
		return nil, ErrMalformed // a line feed must follow a carriage return
	case len(b) >= MaxLineBytes:
		return nil, ErrTooLong
	}
	return nil, nil
}

// trimLineEnd returns a line without its CRLF.
func trimLineEnd(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r\n")) }

// cutField splits a line, without its CRLF, at the first blank. The second part is empty if there is none.
func cutField(line []byte) (string, string) {
	first, rest, _ := strings.Cut(string(trimLineEnd(line)), " ")
	return first, rest
}

// OpenLine is a client's first line.
type OpenLine struct {
	proxy.Opening
	line               []byte // as received, CRLF included
	waitStart, waitEnd int    // offsets in line of the value of the field d, the wait in milliseconds; waitEnd is 0 if there is no d
}

// ParseOpenLine parses a client's first line. It does not retain line. It is strict about the form of the
// protocol, because the line is sent to a host, and a line that a host cannot parse counts as a fault of
// this proxy.
func ParseOpenLine(line []byte) (*OpenLine, error) {
	o := &OpenLine{line: bytes.Clone(line)}
	s := string(trimLineEnd(line))
	fields := strings.Split(s, " ")
	if len(fields) != 4 || fields[0] != "OPEN" || !isID(fields[1]) || !isID(fields[2]) {
		return nil, ErrMalformed
	}
	o.ID, o.Key = fields[1], fields[2]
	offset := len(s) - len(fields[3])
	seen := make(map[string]struct{}, 1+strings.Count(fields[3], ","))
	for pair := range strings.SplitSeq(fields[3], ",") {
		name, value, found := strings.Cut(pair, "=")
		if _, twice := seen[name]; !found || twice || !isName(name) {
			return nil, ErrMalformed
		}
		seen[name] = struct{}{}
		if err := o.setField(name, value, offset+len(name)+1); err != nil {
			return nil, err
		}
		offset += len(pair) + 1
	}
	if o.waitEnd == 0 && len(line)+maxWaitFieldBytes > MaxLineBytes {
		return nil, ErrTooLong // with the field d, which WithWait adds
	}
	return o, nil
}

// isID reports whether s has the form of an id, a key or a group: 16 lower-case hexadecimal digits.
func isID(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == 16
}

// isName reports whether s is a valid name of a value, a class, a tenant or a host.
func isName(s string) bool {
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		case c == '-', c == '_', c == '.', c == ':':
		default:
			return false
		}
	}
	return s != ""
}

// parseNumber parses a decimal number. strconv.ParseFloat alone also accepts names, such as Inf, and
// other bases.
func parseNumber(s string) (float64, error) {
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c >= '0' && c <= '9':
		case c == '.', c == '+', c == '-', c == 'e', c == 'E':
		default:
			return 0, ErrMalformed
		}
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, ErrMalformed
	}
	return x, nil
}

// setField parses one named value; offset is its position in the line. It ignores unknown names whose
// value is a number: the protocol allows other ones, and the upstream host gets the line unchanged.
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

// WithWait returns the line for an upstream host: the client's line with d set to wait, which is how long
// this proxy waits for the host's answer, in whole milliseconds and at least 1.
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

// ParseHostLine parses a line of an upstream host. The Text of the result shares memory with line. A line
// without a meaning to the proxy gets the kind PlainMessage.
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

// The local replies that have no values.
var (
	pongLine    = []byte("PONG\r\n")
	errLine     = []byte("ERR\r\n")
	migrateLine = []byte("MOVE\r\n")
)

// busyLine returns a rejection with the Retry-After rounded up to milliseconds. It omits the Retry-After
// if after is not positive.
func busyLine(after time.Duration) []byte {
	if after <= 0 {
		return []byte("BUSY\r\n")
	}
	ms := (after + time.Millisecond - 1).Milliseconds()
	return append(strconv.AppendInt([]byte("BUSY "), ms, 10), "\r\n"...)
}
