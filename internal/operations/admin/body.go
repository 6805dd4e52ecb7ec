package admin

import (
	"bytes"
	"strconv"
	"strings"
)

// bodyComplete reports whether a request's body has arrived.
func (h *headers) bodyComplete(body []byte) (bool, fault) {
	switch {
	case h.chunked:
		return chunksComplete(body)
	case h.contentLength > maxBodyBytes:
		return false, bodyTooLarge
	}
	return len(body) >= h.contentLength, noFault
}

// chunksComplete reports whether a chunked body has arrived with its trailer.
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

// parseChunkSize parses the line before a chunk. header is the line's length in bytes with its line
// break, and zero while the line is incomplete.
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
