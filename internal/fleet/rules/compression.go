package rules

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// The first byte of a compressed version and of a delta. An uncompressed one begins with a CBOR map, whose first byte is never one of these.
const (
	formatCompressed = 1
	formatDelta      = 2
)

const (
	maxUncompressedBytes = 4 << 10 // bytes that are sent uncompressed, which earlier builds can decode
	deltaThresholdBytes  = 1 << 10 // bytes that are sent complete: a delta would save little
	maxReplyBytes        = 8 * maxEncodedBytes
)

var errMalformedVersion = errors.New("rules: a version in a form that can't be read")

// compress shortens an encoded version or text where it is long.
func compress(data []byte) []byte {
	if len(data) <= maxUncompressedBytes {
		return data
	}
	return deflate(formatCompressed, data)
}

// decompress reverses compress; data in another form comes back unchanged.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != formatCompressed {
		return data, nil
	}
	return inflate(data[1:], maxEncodedBytes)
}

func deflate(form byte, data []byte) []byte {
	var b bytes.Buffer
	b.WriteByte(form)
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err == nil {
		if _, err = w.Write(data); err == nil {
			err = w.Close()
		}
	}
	if err != nil {
		panic(err) // a buffer takes every write, and the level exists
	}
	return b.Bytes()
}

// inflate bounds the output, since a few bytes can expand to very many.
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
