package netio

// minBufferSize is the size, in bytes, that a buffer begins with; most connections never need more.
const minBufferSize = 1024

// Buffer holds what a connection has received and nobody has consumed yet. It grows up to a limit, moves its content to the front where that
// is enough, and frees its memory once it is empty and has grown: thousands of idle connections must not each keep the size of their busiest
// moment.
type Buffer struct {
	data  []byte
	start int
	limit int
}

// NewBuffer makes a buffer that holds up to limit bytes.
func NewBuffer(limit int) Buffer { return Buffer{limit: limit} }

// Bytes is what the buffer holds. It is valid until the next call of Reserve or Consume.
func (b *Buffer) Bytes() []byte { return b.data[b.start:] }

// Len is how many bytes the buffer holds.
func (b *Buffer) Len() int { return len(b.data) - b.start }

// Available is how many bytes it can still take before its limit.
func (b *Buffer) Available() int { return max(0, b.limit-b.Len()) }

// Reserve gives n bytes of space behind the content, or fewer where the limit is near. Extend makes what is written there content.
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

// Append copies p behind the content, and gives how much of it fitted in.
func (b *Buffer) Append(p []byte) int {
	n := copy(b.Reserve(len(p)), p)
	if n > 0 {
		b.Extend(n)
	}
	return n
}

// Consume drops the first n bytes.
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
