package lineproto

import (
	"bytes"
	"math/rand"
	"strings"
	"testing"
	"time"
)

// FuzzCut feeds lines in random cuts: what comes out must not depend on them, and no input may panic or be buffered past
// the longest line.
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
			t.Fatalf("in pieces %q %v, unsplit %q %v", got, err, unsplit, unsplitErr)
		}
		if buffered >= MaxLineBytes {
			t.Fatalf("%d bytes buffered without an error", buffered)
		}
	})
}

// cutAll cuts the pieces into lines; buffered is the most that was left for more to come.
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

const head = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 "

var readable = []string{head + "c=catalogue-session,t=y,d=2000,g=5c0f6e1a2b3d4c59,r=1,again=1,h=3.5,at=s-1,new=-2e3", head + "c=x"}

var unreadable = []string{head, head[:len(head)-1], "OPEN  7f3a9c21e0b4d655 c=x", "OPEN 9b1f03aa5c7e2d41 c=x", "OPEN x y c=x",
	"OPEN 9B1F03AA5C7E2D41 7f3a9c21e0b4d655 c=x", "open" + head[4:] + "c=x", head + " c=x", head + "c=x ", head + "c=x,", head + "=",
	head + "c=", head + "c=x\x01", head + "c=é", head + "d=1,d=2", head + "d=", head + "d=soon", head + "d=-5", head + "d=+5",
	head + "d=1.5", head + "d=99999999999", head + "r=2", head + "r=", head + "again=yes", head + "g=q", head + "h=NaN",
	head + "h=-1", head + "h=0x1p4", head + "new=z", head + "new=Inf", head + "c=x,c=x", "HELLO", ""}

// A host that can't read a line says SYNTAX, which is the proxy's fault: what is not the protocol's form is rejected here.
func TestOpenForm(t *testing.T) {
	for _, s := range readable {
		if _, err := ParseOpenLine([]byte(s + "\r\n")); err != nil {
			t.Errorf("%q: %v", s, err)
		}
	}
	for _, s := range unreadable {
		if _, err := ParseOpenLine([]byte(s + "\r\n")); err == nil {
			t.Errorf("%q is accepted", s)
		}
	}
}

// FuzzOpen: garbage gives an error, never a panic, and what parses goes on unchanged but for d.
func FuzzOpen(f *testing.F) {
	for _, s := range append(unreadable, readable...) {
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
			t.Fatalf("%q became %q: %v", l, out, err)
		}
		again.Wait, again.HasWait = o.Wait, o.HasWait
		if again.Opening != o.Opening {
			t.Fatalf("%q became %q", l, out)
		}
		ParseHostLine(l)
	})
}

func TestWithWait(t *testing.T) {
	for in, want := range map[string]string{"c=x,d=2000,new=1": "c=x,d=7,new=1", "c=x": "c=x,d=7"} {
		o, err := ParseOpenLine([]byte(head + in + "\r\n"))
		if err != nil || string(o.WithWait(7*time.Millisecond)) != head+want+"\r\n" {
			t.Errorf("%s: %v", in, err)
		}
	}
	if got := string(busyLine(1500 * time.Microsecond)); got != "BUSY 2\r\n" {
		t.Error(got)
	}
}
