// Package encoding writes and reads the short records that processes of a fleet send to one another and store on disk: unsigned numbers as
// varints, and byte strings behind their length. A Reader never reads past its data: what is truncated or too long gives zero values, and
// Err reports it.
package encoding

import (
	"encoding/binary"
	"errors"
)

// ErrMalformed is of a record that ends early, or that holds a length beyond its field's bound.
var ErrMalformed = errors.New("encoding: the record is torn")

// Writer appends fields to Data; its methods return it, so that calls can be chained.
type Writer struct{ Data []byte }

// Uint appends a number.
func (w *Writer) Uint(v uint64) *Writer {
	w.Data = binary.AppendUvarint(w.Data, v)
	return w
}

// Bool appends a flag.
func (w *Writer) Bool(v bool) *Writer {
	if v {
		return w.Uint(1)
	}
	return w.Uint(0)
}

// Bytes appends a byte string with its length.
func (w *Writer) Bytes(b []byte) *Writer {
	w.Uint(uint64(len(b)))
	w.Data = append(w.Data, b...)
	return w
}

// Text appends a string with its length.
func (w *Writer) Text(s string) *Writer {
	w.Uint(uint64(len(s)))
	w.Data = append(w.Data, s...)
	return w
}

// Reader reads fields from the front of Data. After the first error all fields are zero, so that a caller need check Err only once, at the end.
type Reader struct {
	Data      []byte // what is not read yet
	malformed bool
}

// Uint reads a number.
func (r *Reader) Uint() uint64 {
	v, n := binary.Uvarint(r.Data)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.Data = r.Data[n:]
	return v
}

// Bool reads a flag.
func (r *Reader) Bool() bool { return r.Uint() == 1 }

// Bytes reads a byte string of at most maxBytes. It is a part of Data, not a copy.
func (r *Reader) Bytes(maxBytes int) []byte {
	n := r.Uint()
	if n > uint64(maxBytes) || n > uint64(len(r.Data)) {
		r.fail()
		return nil
	}
	b := r.Data[:n:n]
	r.Data = r.Data[n:]
	return b
}

// Text reads a string of at most maxBytes.
func (r *Reader) Text(maxBytes int) string { return string(r.Bytes(maxBytes)) }

// Count reads how many records follow, at most maxCount. Each has at least a byte: a count beyond the data's length is malformed, so that no
// datagram makes a caller allocate more than it has bytes.
func (r *Reader) Count(maxCount int) int {
	n := r.Uint()
	if n > uint64(maxCount) || n > uint64(len(r.Data)) {
		r.fail()
		return 0
	}
	return int(n)
}

// Err is ErrMalformed if a field could not be read; nil: all could.
func (r *Reader) Err() error {
	if r.malformed {
		return ErrMalformed
	}
	return nil
}

func (r *Reader) fail() { r.malformed, r.Data = true, nil }
