package cluster

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// What discovery may send at most.
const (
	maxHead = 16 << 10
	maxBody = 1 << 20
)

// What can be wrong with a response.
var (
	errMalformed = errors.New("malformed response")
	errTooLarge  = errors.New("response too large")
)

// response is what parseResponse finds at the start of a connection's input.
type response struct {
	status int
	body   []byte
	length int  // bytes of input it takes up
	last   bool // the connection carries no further one
}

// parseResponse reads one HTTP/1.1 response. It gives nil while more is to come. ended says that nothing will, which
// completes a response without a stated length. It looks at the whole input each time, so that the outcome can't
// depend on how the input was cut; the input is bounded.
func parseResponse(in []byte, ended bool) (*response, error) {
	end := bytes.Index(in[:min(len(in), maxHead)], []byte("\r\n\r\n"))
	if end < 0 {
		switch {
		case len(in) >= maxHead:
			return nil, errTooLarge
		case ended || !startsLikeStatus(in):
			return nil, errMalformed
		}
		return nil, nil
	}
	lines := strings.Split(string(in[:end]), "\r\n")
	r := &response{}
	var err error
	if r.status, r.last, err = statusLine(lines[0]); err != nil {
		return nil, err
	}
	size, chunked := -1, false
	for _, l := range lines[1:] {
		name, value, found := strings.Cut(l, ":")
		if !found || name == "" || strings.ContainsAny(name, " \t") {
			return nil, errMalformed
		}
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || size >= 0 && size != int(n) {
				return nil, errMalformed
			}
			size = int(n)
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return nil, errMalformed
			}
			chunked = true
		case "connection":
			for _, token := range strings.Split(strings.ToLower(value), ",") {
				switch strings.TrimSpace(token) {
				case "close":
					r.last = true
				case "keep-alive":
					r.last = false
				}
			}
		}
	}
	if r.status >= 100 && r.status < 200 {
		// An interim response announces the real one.
		rest, err := parseResponse(in[end+4:], ended)
		if rest != nil {
			rest.length += end + 4
		}
		return rest, err
	}
	body := in[end+4:]
	switch {
	case r.status == 204 || r.status == 304:
		r.length = end + 4
		return r, nil
	case chunked:
		n := 0
		if r.body, n, err = unchunk(body); err != nil {
			return nil, err
		}
		if n > 0 {
			r.length = end + 4 + n
			return r, nil
		}
	case size > maxBody:
		return nil, errTooLarge
	case size >= 0:
		if len(body) >= size {
			r.body, r.length = body[:size], end+4+size
			return r, nil
		}
	case len(body) > maxBody:
		return nil, errTooLarge
	case ended:
		r.body, r.length, r.last = body, len(in), true
		return r, nil
	}
	if ended {
		return nil, errMalformed
	}
	return nil, nil
}

// startsLikeStatus lets nothing pile up that can't become a response.
func startsLikeStatus(in []byte) bool {
	const want = "HTTP/1."
	n := min(len(in), len(want))
	return string(in[:n]) == want[:n]
}

func statusLine(l string) (status int, last bool, err error) {
	if len(l) < 12 || !strings.HasPrefix(l, "HTTP/1.") || l[7] != '0' && l[7] != '1' || l[8] != ' ' ||
		len(l) > 12 && l[12] != ' ' {
		return 0, false, errMalformed
	}
	status, err = strconv.Atoi(l[9:12])
	if err != nil || status < 100 {
		return 0, false, errMalformed
	}
	return status, l[7] == '0', nil
}

// unchunk joins the chunks of a body. It gives 0 as their length while the last has not come.
func unchunk(in []byte) (body []byte, length int, err error) {
	at := 0
	for {
		i := bytes.Index(in[at:min(len(in), at+maxHead)], []byte("\r\n"))
		if i < 0 {
			if len(in)-at >= maxHead {
				return nil, 0, errTooLarge
			}
			return nil, 0, nil
		}
		size, _, _ := strings.Cut(string(in[at:at+i]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return nil, 0, errMalformed
		}
		at += i + 2
		if n == 0 {
			return trailer(in, at, body)
		}
		if len(body)+int(n) > maxBody {
			return nil, 0, errTooLarge
		}
		if len(in) < at+int(n)+2 {
			return nil, 0, nil
		}
		body = append(body, in[at:at+int(n)]...)
		at += int(n)
		if in[at] != '\r' || in[at+1] != '\n' {
			return nil, 0, errMalformed
		}
		at += 2
	}
}

// trailer passes over what may follow the last chunk.
func trailer(in []byte, at int, body []byte) ([]byte, int, error) {
	start := at
	for {
		i := bytes.Index(in[at:min(len(in), start+maxHead)], []byte("\r\n"))
		switch {
		case i < 0 && len(in)-start >= maxHead:
			return nil, 0, errTooLarge
		case i < 0:
			return nil, 0, nil
		case i == 0:
			return body, at + 2, nil
		}
		at += i + 2
	}
}
