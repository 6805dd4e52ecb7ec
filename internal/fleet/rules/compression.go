package rules

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// The formats of a transferred version or text, by its first byte. Uncompressed data has no format
// byte: a version starts with a CBOR map, whose first byte is never one of these, and a text with a
// printable character.
const (
	formatCompressed = 1
	formatDelta      = 2
)

const (
	maxUncompressedBytes = 4 << 10             // data up to this length is not compressed, so that earlier builds can decode it
	deltaThresholdBytes  = 1 << 10             // a version whose encoding (compressed if long) has up to this length is sent complete, since a delta would save little
	maxReplyBytes        = 8 * maxEncodedBytes // longest decompressed reply to an administrator
)

var errMalformedVersion = errors.New("rules: a version in a form that can't be read")

// compress compresses an encoded version or text that is longer than maxUncompressedBytes.
func compress(data []byte) []byte {
	if len(data) <= maxUncompressedBytes {
		return data
	}
	return deflate(formatCompressed, data)
}

// decompress reverses compress. It returns data that does not start with formatCompressed unchanged,
// and an error if the decompressed data is longer than maxEncodedBytes.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != formatCompressed {
		return data, nil
	}
	return inflate(data[1:], maxEncodedBytes)
}

// deflate returns the compressed data after a byte that specifies the format.
func deflate(format byte, data []byte) []byte {
	var b bytes.Buffer
	b.WriteByte(format)
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err == nil {
		if _, err = w.Write(data); err == nil {
			err = w.Close()
		}
	}
	if err != nil {
		panic(err) // writes to a bytes.Buffer don't fail, and the level is valid
	}
	return b.Bytes()
}

// inflate decompresses data. It returns an error if the output exceeds limit bytes, since a few
// bytes can expand to very many.
func inflate(data []byte, limit int64) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), limit+1))
	switch {
	case err != nil:
		return nil, errMalformedVersion
	case int64(len(out)) > limit:
		return nil, fmt.Errorf("rules: over %d bytes", limit)
	}
	return out, nil
}
