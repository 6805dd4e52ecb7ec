package admin

import (
	"bytes"
	"net/url"
	"strconv"
	"strings"
)

// What a caller may send at most.
const (
	maxTarget = 2 << 10
	maxHead   = 8 << 10
	maxBody   = 16 << 10
)

// fault is a request that can't be served, by the status that says why.
type fault int

// The faults that the parser finds.
const (
	badRequest   fault = 400
	tooMuchBody  fault = 413
	tooLongPath  fault = 414
	tooMuchHead  fault = 431
	notHere      fault = 501
	otherVersion fault = 505
)

// request is one call.
type request struct {
	method string
	path   []string // the segments, percent-decoded
	expect bool     // the caller waits for 100 before it sends its body
}

// parse looks for a whole request at the start of in. It gives nil while more is to come; expecting then tells that the
// caller waits for leave to send its body. It looks at the whole input each time, so that the outcome can't depend on how
// the input was cut; the input is bounded.
func parse(in []byte) (r *request, expecting bool, f fault) {
	for len(in) >= 2 && in[0] == '\r' && in[1] == '\n' {
		in = in[2:] // an empty line before the request is passed over
	}
	end := bytes.Index(in[:min(len(in), maxHead)], []byte("\r\n\r\n"))
	first := bytes.IndexByte(in, '\n')
	if end < 0 {
		// What can't become a request is told at once, not after a time.
		switch {
		case first < 0 && len(in) > maxTarget+32:
			return nil, false, tooLongPath
		case first < 0:
			return nil, false, begins(in)
		case first == 0 || in[first-1] != '\r':
			return nil, false, badRequest
		case len(in) >= maxHead:
			return nil, false, tooMuchHead
		}
		if _, f := requestLine(string(in[:first-1])); f != 0 {
			return nil, false, f
		}
		return nil, false, 0
	}
	lines := strings.Split(string(in[:end]), "\r\n")
	r, f = requestLine(lines[0])
	if f != 0 {
		return nil, false, f
	}
	size, chunked, f := r.headers(lines[1:], strings.HasSuffix(lines[0], "1"))
	if f != 0 {
		return nil, false, f
	}
	body := in[end+4:]
	switch {
	case chunked:
		whole, f := unchunked(body)
		if f != 0 || !whole {
			return nil, r.expect && len(body) == 0 && f == 0, f
		}
	case size > maxBody:
		return nil, false, tooMuchBody
	case len(body) < size:
		return nil, r.expect && len(body) == 0, 0
	}
	return r, false, 0
}

// begins tells whether in can become a request line.
func begins(in []byte) fault {
	method, _, _ := bytes.Cut(in, []byte(" "))
	if len(method) > 16 || !token(string(method)) && len(method) > 0 && string(method) != "\r" {
		return badRequest
	}
	return 0
}

func requestLine(l string) (*request, fault) {
	method, rest, ok := strings.Cut(l, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !token(method) || len(method) > 16 || target == "" {
		return nil, badRequest
	}
	if len(target) > maxTarget {
		return nil, tooLongPath
	}
	switch {
	case len(version) != 8 || !strings.HasPrefix(version, "HTTP/") || version[6] != '.' || version[5] < '0' || version[5] > '9' ||
		version[7] < '0' || version[7] > '9':
		return nil, badRequest
	case version[5] != '1':
		return nil, otherVersion
	}
	for _, scheme := range []string{"http://", "https://"} {
		if len(target) > len(scheme) && strings.EqualFold(target[:len(scheme)], scheme) {
			_, path, _ := strings.Cut(target[len(scheme):], "/")
			target = "/" + path
		}
	}
	target, _, _ = strings.Cut(target, "?")
	r := &request{method: method}
	if !strings.HasPrefix(target, "/") {
		return r, 0 // "*" and the like name nothing here
	}
	for _, part := range strings.Split(target[1:], "/") {
		s, err := url.PathUnescape(part)
		if err != nil {
			return nil, badRequest
		}
		r.path = append(r.path, s)
	}
	return r, 0
}

// headers reads what says where the request ends. size is that of the body, where it is not chunked.
func (r *request) headers(lines []string, one bool) (size int, chunked bool, f fault) {
	size, host := -1, 0
	for _, l := range lines {
		name, value, found := strings.Cut(l, ":")
		if !found || !token(name) || strings.ContainsAny(value, "\r\n\x00") {
			return 0, false, badRequest
		}
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "host":
			host++
		case "expect":
			r.expect = strings.EqualFold(value, "100-continue")
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || size >= 0 && size != int(n) {
				return 0, false, badRequest
			}
			size = int(n)
		case "transfer-encoding":
			if chunked {
				return 0, false, badRequest
			}
			if !strings.EqualFold(value, "chunked") {
				return 0, false, notHere
			}
			chunked = true
		}
	}
	if host > 1 || host == 0 && one || chunked && size >= 0 {
		return 0, false, badRequest // both lengths at once is how a request is smuggled past another's reading
	}
	return size, chunked, 0
}

// unchunked tells whether a body in chunks is whole.
func unchunked(in []byte) (bool, fault) {
	for at, total := 0, 0; ; {
		i := bytes.Index(in[at:], []byte("\r\n"))
		if i < 0 {
			if len(in)-at > maxTarget {
				return false, badRequest
			}
			return false, 0
		}
		text, _, _ := strings.Cut(string(in[at:at+i]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if err != nil || i > maxTarget {
			return false, badRequest
		}
		at += i + 2
		if n == 0 {
			// Lines that follow the last chunk mean nothing here; an empty one ends them.
			rest := in[at:]
			if bytes.HasPrefix(rest, []byte("\r\n")) || bytes.Contains(rest, []byte("\r\n\r\n")) {
				return true, 0
			}
			if len(rest) > maxHead {
				return false, tooMuchHead
			}
			return false, 0
		}
		if total += int(n); total > maxBody {
			return false, tooMuchBody
		}
		if len(in) < at+int(n)+2 {
			return false, 0
		}
		if at += int(n); in[at] != '\r' || in[at+1] != '\n' {
			return false, badRequest
		}
		at += 2
	}
}

// token tells whether s is a word as HTTP defines it.
func token(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}
