package encoding

import (
	"bytes"
	"testing"
)

// FuzzReader checks that a Reader never reads past its data and accepts no length over its limit,
// and that what it read completely can be written and read again.
func FuzzReader(f *testing.F) {
	w := Writer{}
	f.Add(w.Uint(300).Text("name").Bool(true).Bytes([]byte{1, 2}).Data)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{5, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := Reader{Data: data}
		number, text, flag, content := r.Uint(), r.Text(16), r.Bool(), r.Bytes(8)
		count := r.Count(4)
		if len(text) > 16 || len(content) > 8 || count > 4 || len(r.Data) > len(data) {
			t.Fatalf("read text %q, bytes %x, count %d with %d of %d bytes left of %x; want at most 16, 8, 4 and no more bytes left than given", text, content, count, len(r.Data), len(data), data)
		}
		if r.Err() != nil {
			return
		}
		w := Writer{}
		again := Reader{Data: w.Uint(number).Text(text).Bool(flag).Bytes(content).Uint(uint64(count)).Data}
		if again.Uint() != number || again.Text(16) != text || again.Bool() != flag || !bytes.Equal(again.Bytes(8), content) {
			t.Fatalf("the fields of %x, number %d, text %q, flag %t, bytes %x, are not the same after they are written and read", data, number, text, flag, content)
		}
	})
}

// TestMalformedRecords checks that Err reports a truncated record and a field over its limit.
func TestMalformedRecords(t *testing.T) {
	w := Writer{}
	complete := w.Uint(1 << 40).Text("abc").Data
	for n := range complete {
		r := Reader{Data: complete[:n]}
		r.Uint()
		r.Text(3)
		if r.Err() == nil {
			t.Errorf("Err() = nil after reading %d of %d bytes, want %v", n, len(complete), ErrMalformed)
		}
	}
	r := Reader{Data: complete}
	if r.Uint() != 1<<40 || r.Text(2) != "" || r.Err() == nil {
		t.Errorf("reading a text of 3 bytes with a limit of 2: Err() = %v, want %v and an empty text", r.Err(), ErrMalformed)
	}
}
