package encoding

import (
	"bytes"
	"testing"
)

// FuzzReader: nothing is read past the data, no length beyond its bound is accepted, and what is complete is written the same again.
func FuzzReader(f *testing.F) {
	w := Writer{}
	f.Add(w.Uint(300).Text("name").Bool(true).Bytes([]byte{1, 2}).Data)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{5, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := Reader{Data: data}
		n, s, b, c := r.Uint(), r.Text(16), r.Bool(), r.Bytes(8)
		k := r.Count(4)
		if len(s) > 16 || len(c) > 8 || k > 4 || len(r.Data) > len(data) {
			t.Fatalf("read %q, %x, %d of %x", s, c, k, data)
		}
		if r.Err() != nil {
			return
		}
		w := Writer{}
		again := Reader{Data: w.Uint(n).Text(s).Bool(b).Bytes(c).Uint(uint64(k)).Data}
		if again.Uint() != n || again.Text(16) != s || again.Bool() != b || !bytes.Equal(again.Bytes(8), c) {
			t.Fatalf("%x is not read as written", data)
		}
	})
}

// TestMalformedRecords: a truncated record, and a field beyond its bound, are errors.
func TestMalformedRecords(t *testing.T) {
	w := Writer{}
	complete := w.Uint(1 << 40).Text("abc").Data
	for n := range complete {
		r := Reader{Data: complete[:n]}
		r.Uint()
		r.Text(3)
		if r.Err() == nil {
			t.Errorf("%d of %d bytes are accepted as complete", n, len(complete))
		}
	}
	r := Reader{Data: complete}
	if r.Uint() != 1<<40 || r.Text(2) != "" || r.Err() == nil {
		t.Error("a text beyond its bound is accepted")
	}
}
