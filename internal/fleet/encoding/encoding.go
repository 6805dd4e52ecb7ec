// Package encoding writes and reads the short records that processes of a fleet send one another and keep on disk: unsigned numbers in as few
// bytes as they need, and byte strings after their length. It owns nothing but that form. A Reader never reads past its data: what is
// torn or too long gives zero values, and Err tells.
package encoding

import (
	"encoding/binary"
	"errors"
)

// ErrTorn says that a record ends before it should, or holds a length beyond what its field may have.
var ErrTorn = errors.New("encoding: the record is torn")

// Writer appends to Data.
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

// Reader takes records apart.
type Reader struct {
	Data []byte
	bad  bool
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

// Bytes reads a byte string of at most so many bytes. It is a part of Data, not a copy.
func (r *Reader) Bytes(most int) []byte {
	n := r.Uint()
	if n > uint64(most) || n > uint64(len(r.Data)) {
		r.fail()
		return nil
	}
	b := r.Data[:n:n]
	r.Data = r.Data[n:]
	return b
}

// Text reads a string of at most so many bytes.
func (r *Reader) Text(most int) string { return string(r.Bytes(most)) }

// Count reads how many records follow, each of at least a byte and at most so many.
func (r *Reader) Count(most int) int {
	n := r.Uint()
	if n > uint64(most) || n > uint64(len(r.Data)) {
		r.fail()
		return 0
	}
	return int(n)
}

// Err tells whether all that was read was there.
func (r *Reader) Err() error {
	if r.bad {
		return ErrTorn
	}
	return nil
}

func (r *Reader) fail() { r.bad, r.Data = true, nil }
