package admin

import (
	"bytes"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// Bounds of a request, in bytes. A target is the second word of a request line: a path or URL.
const (
	maxTargetBytes       = 2 << 10
	maxHeadBytes         = 8 << 10
	maxBodyBytes         = 16 << 10
	maxMethodBytes       = 16
	versionBytes         = len("HTTP/1.1")
	requestLineAllowance = 32 // bounds the method, version and blanks of a request line together
)

// fault is the HTTP status of a request that can't be served, or noFault.
type fault int

// The faults that parse returns.
const (
	noFault             fault = 0
	badRequest          fault = http.StatusBadRequest
	bodyTooLarge        fault = http.StatusRequestEntityTooLarge
	targetTooLong       fault = http.StatusRequestURITooLong
	headTooLarge        fault = http.StatusRequestHeaderFieldsTooLarge
	notImplemented      fault = http.StatusNotImplemented
	versionNotSupported fault = http.StatusHTTPVersionNotSupported
)

// request is a parsed request.
type request struct {
	method          string
	path            []string // the target's path segments, percent-decoded; nil if the target is not a path or URL
	expectsContinue bool     // the caller waits for 100 Continue before it sends its body
}

// parse returns the request at the start of in, or nil if it is incomplete or invalid. If it is
// incomplete, expectsContinue reports whether the caller waits for 100 Continue before it sends the
// body. If it is invalid, f is the fault. Each call parses from the start of the input, so that the
// result does not depend on how the input was split into reads; the input is bounded.
func parse(in []byte) (r *request, expectsContinue bool, f fault) {
	for bytes.HasPrefix(in, []byte("\r\n")) {
		in = in[2:] // empty lines before the request are ignored
	}
	end := bytes.Index(in[:min(len(in), maxHeadBytes)], []byte("\r\n\r\n"))
	if end < 0 {
		return nil, false, checkIncompleteHead(in)
	}
	lines := strings.Split(string(in[:end]), "\r\n")
	r, f = parseRequestLine(lines[0])
	if f != noFault {
		return nil, false, f
	}
	h, f := parseHeaders(lines[1:], strings.HasSuffix(lines[0], "1"))
	if f != noFault {
		return nil, false, f
	}
	r.expectsContinue = h.expectsContinue
	body := in[end+len("\r\n\r\n"):]
	complete, f := h.bodyComplete(body)
	if f != noFault || !complete {
		return nil, r.expectsContinue && len(body) == 0 && f == noFault, f
	}
	return r, false, noFault
}

// checkIncompleteHead returns the fault of an incomplete head (request line and header fields) that
// cannot become a valid one, so that the caller is answered at once and not after a timeout.
func checkIncompleteHead(in []byte) fault {
	lineEnd := bytes.IndexByte(in, '\n')
	switch {
	case lineEnd < 0 && len(in) > maxTargetBytes+requestLineAllowance:
		return targetTooLong
	case lineEnd < 0:
		return checkMethodStart(in)
	case lineEnd == 0 || in[lineEnd-1] != '\r':
		return badRequest
	case len(in) >= maxHeadBytes:
		return headTooLarge
	}
	_, f := parseRequestLine(string(in[:lineEnd-1]))
	return f
}

// checkMethodStart returns badRequest if in, which has no line break, cannot be the start of a request
// line because its first word is not a method.
func checkMethodStart(in []byte) fault {
	method, _, _ := bytes.Cut(in, []byte(" "))
	if len(method) > maxMethodBytes || !isToken(string(method)) && len(method) > 0 && string(method) != "\r" {
		return badRequest
	}
	return noFault
}

// parseRequestLine parses a request line without its line break.
func parseRequestLine(line string) (*request, fault) {
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	switch {
	case !hasTarget || !hasVersion || !isToken(method) || len(method) > maxMethodBytes || target == "":
		return nil, badRequest
	case len(target) > maxTargetBytes:
		return nil, targetTooLong
	case !isVersion(version):
		return nil, badRequest
	case version[len("HTTP/")] != '1':
		return nil, versionNotSupported
	}
	path, f := parseTarget(target)
	if f != noFault {
		return nil, f
	}
	return &request{method: method, path: path}, noFault
}

// isVersion reports whether s has the form of an HTTP version, such as HTTP/1.1.
func isVersion(s string) bool {
	isDigit := func(c byte) bool { return c >= '0' && c <= '9' }
	return len(s) == versionBytes && strings.HasPrefix(s, "HTTP/") && isDigit(s[5]) && s[6] == '.' && isDigit(s[7])
}

// parseTarget returns the segments of a target's path. The target may be an absolute URL. It
// returns no segments for other targets, such as "*", which no route serves.
func parseTarget(target string) (path []string, f fault) {
	for _, scheme := range []string{"http://", "https://"} {
		if len(target) > len(scheme) && strings.EqualFold(target[:len(scheme)], scheme) {
			_, rest, _ := strings.Cut(target[len(scheme):], "/")
			target = "/" + rest
		}
	}
	target, _, _ = strings.Cut(target, "?")
	if !strings.HasPrefix(target, "/") {
		return nil, noFault
	}
	for _, escaped := range strings.Split(target[1:], "/") {
		segment, err := url.PathUnescape(escaped)
		if err != nil {
			return nil, badRequest
		}
		path = append(path, segment)
	}
	return path, noFault
}

// headers holds the header fields that determine where a request ends and what the caller waits
// for.
type headers struct {
	contentLength   int  // bytes; -1 if there is no Content-Length
	chunked         bool // whether the body is sent in chunks, each with its length
	expectsContinue bool // whether the caller waits for 100 Continue before it sends its body
	hosts           int  // number of Host headers
}

// parseHeaders parses the lines of a request's header fields. A request without a Host header is
// invalid if hostRequired is true.
func parseHeaders(lines []string, hostRequired bool) (h headers, f fault) {
	h.contentLength = -1
	for _, line := range lines {
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) || strings.ContainsAny(value, "\r\n\x00") {
			return h, badRequest
		}
		if f := h.add(strings.ToLower(name), strings.Trim(value, " \t")); f != noFault {
			return h, f
		}
	}
	// A request with both Content-Length and chunks may end elsewhere for another parser, which
	// permits request smuggling.
	if h.hosts > 1 || h.hosts == 0 && hostRequired || h.chunked && h.contentLength >= 0 {
		return h, badRequest
	}
	return h, noFault
}

// add records a header field. name is in lower case. Fields that headers does not hold are ignored.
func (h *headers) add(name, value string) fault {
	switch name {
	case "host":
		h.hosts++
	case "expect":
		h.expectsContinue = strings.EqualFold(value, "100-continue")
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || h.contentLength >= 0 && h.contentLength != int(n) {
			return badRequest
		}
		h.contentLength = int(n)
	case "transfer-encoding":
		if h.chunked {
			return badRequest
		}
		if !strings.EqualFold(value, "chunked") {
			return notImplemented
		}
		h.chunked = true
	}
	return noFault
}

// isToken reports whether s is a token as HTTP defines it.
func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}
