package lineproto

import (
	"bytes"
	"math/rand"
	"strings"
	"testing"
	"time"
)

// FuzzCut feeds the input in random pieces. The lines must not depend on the pieces, no input may cause a
// panic, and no more than the longest line may be buffered.
func FuzzCut(f *testing.F) {
	for i, s := range []string{"PING\r\n", "OPEN a b c=x,d=20\r\nM 1 x\r\nM 2 y\r\n", "\r\n\r\n", "x\ny\r\n", "\n", "a\rb\r\n",
		strings.Repeat("z", MaxLineBytes-2) + "\r\n", strings.Repeat("z", MaxLineBytes-1) + "\r\n", strings.Repeat("q", 3*MaxLineBytes)} {
		f.Add([]byte(s), int64(i))
	}
	f.Fuzz(func(t *testing.T, in []byte, seed int64) {
		in = in[:min(len(in), 4*MaxLineBytes)]
		unsplit, _, unsplitErr := cutAll([][]byte{in})
		rng := rand.New(rand.NewSource(seed))
		var pieces [][]byte
		for rest := in; len(rest) > 0; {
			n := 1 + rng.Intn(len(rest))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		got, buffered, err := cutAll(pieces)
		if err != unsplitErr || !bytes.Equal(bytes.Join(got, nil), bytes.Join(unsplit, nil)) || len(got) != len(unsplit) {
			t.Fatalf("in pieces %q: lines %q, %v; unsplit: lines %q, %v", pieces, got, err, unsplit, unsplitErr)
		}
		if buffered >= MaxLineBytes {
			t.Fatalf("%d bytes were buffered without an error, want fewer than %d", buffered, MaxLineBytes)
		}
	})
}

// cutAll cuts the pieces into lines. buffered is the largest number of bytes left over after a piece.
func cutAll(pieces [][]byte) (lines [][]byte, buffered int, err error) {
	var in []byte
	for _, p := range pieces {
		in = append(in, p...)
		for {
			l, err := CutLine(in)
			if err != nil {
				return lines, buffered, err
			}
			if l == nil {
				break
			}
			lines, in = append(lines, bytes.Clone(l)), in[len(l):]
		}
		buffered = max(buffered, len(in))
	}
	return lines, buffered, nil
}

// openLinePrefix is a request line without its named values.
const openLinePrefix = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 "

var validOpenLines = []string{openLinePrefix + "c=catalogue-session,t=y,d=2000,g=5c0f6e1a2b3d4c59,r=1,again=1,h=3.5,at=s-1,new=-2e3", openLinePrefix + "c=x"}

var invalidOpenLines = []string{openLinePrefix, openLinePrefix[:len(openLinePrefix)-1], "OPEN  7f3a9c21e0b4d655 c=x", "OPEN 9b1f03aa5c7e2d41 c=x", "OPEN x y c=x",
	"OPEN 9B1F03AA5C7E2D41 7f3a9c21e0b4d655 c=x", "open" + openLinePrefix[4:] + "c=x", openLinePrefix + " c=x", openLinePrefix + "c=x ", openLinePrefix + "c=x,", openLinePrefix + "=",
	openLinePrefix + "c=", openLinePrefix + "c=x\x01", openLinePrefix + "c=é", openLinePrefix + "d=1,d=2", openLinePrefix + "d=", openLinePrefix + "d=soon", openLinePrefix + "d=-5", openLinePrefix + "d=+5",
	openLinePrefix + "d=1.5", openLinePrefix + "d=99999999999", openLinePrefix + "r=2", openLinePrefix + "r=", openLinePrefix + "again=yes", openLinePrefix + "g=q", openLinePrefix + "h=NaN",
	openLinePrefix + "h=-1", openLinePrefix + "h=0x1p4", openLinePrefix + "new=z", openLinePrefix + "new=Inf", openLinePrefix + "c=x,c=x", "HELLO", ""}

// Lines that are not in the protocol's form must be rejected: a host would answer SYNTAX, which counts as
// a fault of the proxy.
func TestOpenForm(t *testing.T) {
	for _, s := range validOpenLines {
		if _, err := ParseOpenLine([]byte(s + "\r\n")); err != nil {
			t.Errorf("ParseOpenLine(%q) returned the error %v, want none", s, err)
		}
	}
	for _, s := range invalidOpenLines {
		if _, err := ParseOpenLine([]byte(s + "\r\n")); err == nil {
			t.Errorf("ParseOpenLine(%q) returned no error, want one", s)
		}
	}
}

// FuzzOpen checks that invalid lines cause an error and no panic, and that WithWait changes only the
// field d, the wait in milliseconds.
func FuzzOpen(f *testing.F) {
	for _, s := range append(invalidOpenLines, validOpenLines...) {
		f.Add([]byte(s + "\r\n"))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		l, err := CutLine(in)
		if l == nil || err != nil {
			return
		}
		o, err := ParseOpenLine(l)
		if err != nil {
			return
		}
		out := o.WithWait(1234 * time.Millisecond)
		again, err := ParseOpenLine(out)
		if err != nil || again.Wait != 1234*time.Millisecond || !again.HasWait {
			t.Fatalf("WithWait of %q = %q, which parses to %+v and the error %v; want Wait 1.234s", l, out, again, err)
		}
		again.Wait, again.HasWait = o.Wait, o.HasWait
		if again.Opening != o.Opening {
			t.Fatalf("WithWait of %q = %q, which parses to %+v, want %+v", l, out, again.Opening, o.Opening)
		}
		ParseHostLine(l)
	})
}

// WithWait replaces or adds the field d, the wait in milliseconds. A Retry-After is rounded up to
// milliseconds.
func TestWithWait(t *testing.T) {
	for in, want := range map[string]string{"c=x,d=2000,new=1": "c=x,d=7,new=1", "c=x": "c=x,d=7"} {
		o, err := ParseOpenLine([]byte(openLinePrefix + in + "\r\n"))
		if err != nil || string(o.WithWait(7*time.Millisecond)) != openLinePrefix+want+"\r\n" {
			t.Errorf("WithWait(7ms) of %q does not end in %q, or ParseOpenLine failed: %v", in, want, err)
		}
	}
	if got := string(busyLine(1500 * time.Microsecond)); got != "BUSY 2\r\n" {
		t.Errorf("busyLine(1.5ms) = %q, want \"BUSY 2\\r\\n\"", got)
	}
}

// TestLineTooLongWithWait guards against a request line over the protocol's limit at a host: WithWait adds
// the field d to a line without one, which must leave room for it.
func TestLineTooLongWithWait(t *testing.T) {
	for _, tc := range []struct {
		fields  string // before the padding
		bytes   int    // of the line
		wantErr error
	}{{"c=c,t=", MaxLineBytes, ErrTooLong}, {"c=c,t=", MaxLineBytes - maxWaitFieldBytes, nil}, {"c=c,d=2000,t=", MaxLineBytes, nil}} {
		line := openLinePrefix + tc.fields
		line += strings.Repeat("t", tc.bytes-len(line)-2) + "\r\n"
		o, err := ParseOpenLine([]byte(line))
		if err != tc.wantErr {
			t.Errorf("a line of %d bytes with %s: error %v, want %v", len(line), tc.fields, err, tc.wantErr)
			continue
		}
		if err == nil && len(o.WithWait(4800*time.Millisecond)) > MaxLineBytes {
			t.Errorf("a line of %d bytes with %s becomes %d bytes long, want at most %d", len(line), tc.fields, len(o.WithWait(4800*time.Millisecond)), MaxLineBytes)
		}
	}
}
