package cluster

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// The limits, in bytes, for a response of the discovery service. maxHeadBytes also bounds the line with the
// size of a chunk and the trailer.
const (
	maxHeadBytes = 16 << 10
	maxBodyBytes = 1 << 20
)

// Errors in a response.
var (
	errMalformed = errors.New("malformed response")
	errTooLarge  = fmt.Errorf("response too large: at most %d bytes of head and %d of body are accepted", maxHeadBytes, maxBodyBytes)
)

// response is an HTTP response at the start of a connection's input.
type response struct {
	status int
	body   []byte
	length int  // bytes of input that the response takes up, the head included
	closes bool // the connection carries no further response
}

// parseResponse parses one HTTP/1.1 response. It returns nil and no error while the response is incomplete.
// ended reports whether the connection has ended, which completes a response without a stated length. It
// parses from the start of the input each time, so that the result cannot depend on how the input was
// split. The limits on the head and the body bound the cost of that.
func parseResponse(in []byte, ended bool) (*response, error) {
	end := bytes.Index(in[:min(len(in), maxHeadBytes)], []byte("\r\n\r\n"))
	if end < 0 {
		switch {
		case len(in) >= maxHeadBytes:
			return nil, errTooLarge
		case ended || !startsLikeStatus(in):
			return nil, errMalformed
		}
		return nil, nil
	}
	head, err := parseHead(string(in[:end]))
	if err != nil {
		return nil, err
	}
	bodyStart := end + len("\r\n\r\n")
	if head.status >= 100 && head.status < 200 {
		// An interim response (1xx) precedes the final one.
		final, err := parseResponse(in[bodyStart:], ended)
		if final != nil {
			final.length += bodyStart
		}
		return final, err
	}
	r, err := head.readBody(in[bodyStart:], ended)
	if r != nil {
		r.length += bodyStart
	}
	if r == nil && err == nil && ended {
		err = errMalformed
	}
	return r, err
}

// responseHead is a parsed response head.
type responseHead struct {
	status  int
	closes  bool // the connection carries no further response
	size    int  // bytes of the body; negative if not stated
	chunked bool
}

// parseHead parses the lines before the body.
func parseHead(text string) (responseHead, error) {
	lines := strings.Split(text, "\r\n")
	h := responseHead{size: -1}
	var err error
	if h.status, h.closes, err = parseStatusLine(lines[0]); err != nil {
		return h, err
	}
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		if !found || name == "" || strings.ContainsAny(name, " \t") {
			return h, errMalformed
		}
		if err := h.setField(strings.ToLower(name), strings.Trim(value, " \t")); err != nil {
			return h, err
		}
	}
	return h, nil
}

// setField applies one header field. name must be in lower case. It ignores all fields but
// Content-Length, Transfer-Encoding and Connection.
func (h *responseHead) setField(name, value string) error {
	switch name {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || h.size >= 0 && h.size != int(n) {
			return errMalformed
		}
		h.size = int(n)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return errMalformed
		}
		h.chunked = true
	case "connection":
		for _, token := range strings.Split(strings.ToLower(value), ",") {
			switch strings.TrimSpace(token) {
			case "close":
				h.closes = true
			case "keep-alive":
				h.closes = false
			}
		}
	}
	return nil
}

// readBody reads the body from in, the input after the head. It returns nil and no error if the body is
// not complete. ended reports whether the connection has ended. The length of the result excludes the head.
func (h *responseHead) readBody(in []byte, ended bool) (*response, error) {
	r := &response{status: h.status, closes: h.closes}
	switch {
	case h.status == 204 || h.status == 304:
		return r, nil // these never have a body
	case h.chunked:
		body, length, err := readChunks(in)
		if err != nil || length == 0 {
			return nil, err
		}
		r.body, r.length = body, length
		return r, nil
	case h.size > maxBodyBytes:
		return nil, errTooLarge
	case h.size >= 0:
		if len(in) < h.size {
			return nil, nil
		}
		r.body, r.length = in[:h.size], h.size
		return r, nil
	case len(in) > maxBodyBytes:
		return nil, errTooLarge
	case ended:
		r.body, r.length, r.closes = in, len(in), true
		return r, nil
	}
	return nil, nil
}

// startsLikeStatus reports whether the input may be the start of a response.
func startsLikeStatus(in []byte) bool {
	const want = "HTTP/1."
	n := min(len(in), len(want))
	return string(in[:n]) == want[:n]
}

// parseStatusLine parses the first line. closes reports whether the connection carries no further response,
// which is the default of HTTP/1.0.
func parseStatusLine(line string) (status int, closes bool, err error) {
	if len(line) < 12 || !strings.HasPrefix(line, "HTTP/1.") || line[7] != '0' && line[7] != '1' || line[8] != ' ' ||
		len(line) > 12 && line[12] != ' ' {
		return 0, false, errMalformed
	}
	status, err = strconv.Atoi(line[9:12])
	if err != nil || status < 100 {
		return 0, false, errMalformed
	}
	return status, line[7] == '0', nil
}

// readChunks joins the chunks of a body. length is the number of bytes of input that they take up; it is 0
// while the last chunk or the trailer is not complete.
func readChunks(in []byte) (body []byte, length int, err error) {
	offset := 0
	for {
		i := bytes.Index(in[offset:min(len(in), offset+maxHeadBytes)], []byte("\r\n"))
		if i < 0 {
			if len(in)-offset >= maxHeadBytes {
				return nil, 0, errTooLarge
			}
			return nil, 0, nil
		}
		size, _, _ := strings.Cut(string(in[offset:offset+i]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return nil, 0, errMalformed
		}
		offset += i + 2
		if n == 0 {
			return skipTrailer(in, offset, body)
		}
		if len(body)+int(n) > maxBodyBytes {
			return nil, 0, errTooLarge
		}
		if len(in) < offset+int(n)+2 {
			return nil, 0, nil
		}
		body = append(body, in[offset:offset+int(n)]...)
		offset += int(n)
		if in[offset] != '\r' || in[offset+1] != '\n' {
			return nil, 0, errMalformed
		}
		offset += 2
	}
}

// skipTrailer skips the trailer, which starts at offset. It returns body, and the offset after the trailer
// or 0 if the trailer is not complete.
func skipTrailer(in []byte, offset int, body []byte) ([]byte, int, error) {
	start := offset
	for {
		i := bytes.Index(in[offset:min(len(in), start+maxHeadBytes)], []byte("\r\n"))
		switch {
		case i < 0 && len(in)-start >= maxHeadBytes:
			return nil, 0, errTooLarge
		case i < 0:
			return nil, 0, nil
		case i == 0:
			return body, offset + 2, nil
		}
		offset += i + 2
	}
}
