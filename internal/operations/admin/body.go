package admin

import (
	"bytes"
	"strconv"
	"strings"
)

// bodyComplete reports whether body, the input after the request's head, contains the whole body of
// the request. A request without a length has an empty body.
func (h *headers) bodyComplete(body []byte) (bool, fault) {
	switch {
	case h.chunked:
		return chunksComplete(body)
	case h.contentLength > maxBodyBytes:
		return false, bodyTooLarge
	}
	return len(body) >= h.contentLength, noFault
}

// chunksComplete reports whether in starts with a complete chunked body, including its trailer. Chunks
// of more than maxBodyBytes in total are a fault.
func chunksComplete(in []byte) (bool, fault) {
	for total := 0; ; {
		size, header, f := parseChunkSize(in)
		if f != noFault || header == 0 {
			return false, f
		}
		in = in[header:]
		if size == 0 {
			return trailerComplete(in)
		}
		if total += size; total > maxBodyBytes {
			return false, bodyTooLarge
		}
		if len(in) < size+2 {
			return false, noFault
		}
		if in[size] != '\r' || in[size+1] != '\n' {
			return false, badRequest
		}
		in = in[size+2:]
	}
}

// parseChunkSize parses the line before a chunk, at the start of in. size is the chunk's length in
// bytes; an extension after it is ignored. header is the line's length in bytes including its line
// break, and zero if the line is incomplete.
func parseChunkSize(in []byte) (size, header int, f fault) {
	end := bytes.Index(in, []byte("\r\n"))
	if end < 0 {
		if len(in) > maxTargetBytes {
			return 0, 0, badRequest
		}
		return 0, 0, noFault
	}
	text, _, _ := strings.Cut(string(in[:end]), ";")
	n, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
	if err != nil || end > maxTargetBytes {
		return 0, 0, badRequest
	}
	return int(n), end + 2, noFault
}

// trailerComplete reports whether the empty line that ends the trailer has arrived. The trailer's
// fields are ignored.
func trailerComplete(in []byte) (bool, fault) {
	if bytes.HasPrefix(in, []byte("\r\n")) || bytes.Contains(in, []byte("\r\n\r\n")) {
		return true, noFault
	}
	if len(in) > maxHeadBytes {
		return false, headTooLarge
	}
	return false, noFault
}
