// Package encoding writes and reads the short records that processes of a fleet send to one another
// and store on disk. Numbers are unsigned varints, and byte strings are preceded by their length. A
// Reader never reads past its data: it returns zero values for fields that are truncated or too
// long, and Err reports the error.
package encoding

import (
	"encoding/binary"
	"errors"
)

// ErrMalformed reports a record that is truncated or contains a length over the limit of its field.
var ErrMalformed = errors.New("encoding: the record is truncated or a length exceeds its limit")

// Writer appends fields to Data. Its methods return the Writer, so that calls can be chained.
type Writer struct{ Data []byte }

// Uint appends a number as a varint.
func (w *Writer) Uint(v uint64) *Writer {
	w.Data = binary.AppendUvarint(w.Data, v)
	return w
}

// Bool appends 1 for true and 0 for false.
func (w *Writer) Bool(v bool) *Writer {
	if v {
		return w.Uint(1)
	}
	return w.Uint(0)
}

// Bytes appends a byte string, preceded by its length.
func (w *Writer) Bytes(b []byte) *Writer {
	w.Uint(uint64(len(b)))
	w.Data = append(w.Data, b...)
	return w
}

// Text appends a string, preceded by its length.
func (w *Writer) Text(s string) *Writer {
	w.Uint(uint64(len(s)))
	w.Data = append(w.Data, s...)
	return w
}

// Reader reads fields from the front of Data. After the first error it returns only zero values, so
// that a caller need check Err only once, at the end.
type Reader struct {
	Data      []byte // the bytes that are not read yet
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

// Bool reads a flag. It returns false for any number other than 1.
func (r *Reader) Bool() bool { return r.Uint() == 1 }

// Bytes reads a byte string of at most maxBytes bytes. The result is a slice of Data, not a copy.
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

// Text reads a string of at most maxBytes bytes.
func (r *Reader) Text(maxBytes int) string { return string(r.Bytes(maxBytes)) }

// Count reads the number of records that follow, at most maxCount. Since each record has at least
// one byte, a count over the length of the remaining data is malformed. So no datagram makes a
// caller allocate more records than the datagram has bytes.
func (r *Reader) Count(maxCount int) int {
	n := r.Uint()
	if n > uint64(maxCount) || n > uint64(len(r.Data)) {
		r.fail()
		return 0
	}
	return int(n)
}

// Err returns ErrMalformed if a field could not be read, and nil otherwise.
func (r *Reader) Err() error {
	if r.malformed {
		return ErrMalformed
	}
	return nil
}

// fail makes all later reads fail.
func (r *Reader) fail() { r.malformed, r.Data = true, nil }
