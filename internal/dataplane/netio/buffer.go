package netio

// minBufferSize is the initial size of a buffer in bytes. Most connections never need more.
const minBufferSize = 1024

// Buffer holds input that has not been consumed. It grows up to a limit, and moves its content to the front
// instead if that makes enough room. An empty buffer that has grown frees its memory, so that thousands of
// idle connections do not each keep their largest size.
type Buffer struct {
	data  []byte
	start int // offset of the content in data; the bytes before it are consumed
	limit int // maximum size of the content in bytes
}

// NewBuffer returns a buffer that holds up to limit bytes.
func NewBuffer(limit int) Buffer { return Buffer{limit: limit} }

// Bytes returns the content. The slice is valid until the next call of Reserve, Append or Consume.
func (b *Buffer) Bytes() []byte { return b.data[b.start:] }

// Len returns the number of bytes in the buffer.
func (b *Buffer) Len() int { return len(b.data) - b.start }

// Available returns the number of bytes that fit before the limit.
func (b *Buffer) Available() int { return max(0, b.limit-b.Len()) }

// Reserve returns n bytes of space after the content, fewer if the limit is near, and nil at the limit.
// Extend adds what is written there to the content.
func (b *Buffer) Reserve(n int) []byte {
	n = min(n, b.Available())
	if n == 0 {
		return nil
	}
	if cap(b.data)-len(b.data) < n {
		length := b.Len()
		if cap(b.data)-length >= n {
			copy(b.data[:length], b.data[b.start:])
			b.data = b.data[:length]
		} else {
			size := max(minBufferSize, cap(b.data))
			for size < length+n {
				size *= 2
			}
			grown := make([]byte, length, min(size, max(b.limit, minBufferSize)))
			copy(grown, b.data[b.start:])
			b.data = grown
		}
		b.start = 0
	}
	return b.data[len(b.data) : len(b.data)+n]
}

// Extend adds the first n bytes of the last Reserve to the content.
func (b *Buffer) Extend(n int) { b.data = b.data[:len(b.data)+n] }

// Append copies p to the end of the content and returns the number of bytes that fitted.
func (b *Buffer) Append(p []byte) int {
	n := copy(b.Reserve(len(p)), p)
	if n > 0 {
		b.Extend(n)
	}
	return n
}

// Consume discards the first n bytes.
func (b *Buffer) Consume(n int) {
	b.start += n
	if b.start < len(b.data) {
		return
	}
	b.start = 0
	if cap(b.data) > minBufferSize {
		b.data = nil
		return
	}
	b.data = b.data[:0]
}
