// Package golden compares a test's output with a file under testdata. For a change that is meant to alter
// the output, run the test with -update to write its files again.
package golden

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"croftlock/internal/testbed/parallel"
)

var update = flag.Bool("update", false, "write the golden files from the current output")

// Check fails the test if got differs from testdata/name, and reports the first line that differs. With
// -update it writes the file instead.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := Read(t, name)
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if g, w := lineOrEnd(gotLines, i), lineOrEnd(wantLines, i); g != w {
			t.Fatalf("%s:%d differs\n got %q\nwant %q", path, i+1, g, w)
		}
	}
}

// Read returns the contents of testdata/name. It fails the test if the file cannot be read.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Updating reports whether the test run writes its golden files.
func Updating() bool { return *update }

// lineOrEnd returns line i, or "end of file" if there are fewer lines.
func lineOrEnd(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "end of file"
}

// Digest is a SHA-256 hash over a sequence of records, for sequences too long for a golden file.
type Digest struct {
	hash    hash.Hash
	records int
}

// NewDigest returns the digest of an empty sequence.
func NewDigest() *Digest { return &Digest{hash: sha256.New()} }

// Add appends one record, formatted as by fmt.Sprintf.
func (d *Digest) Add(format string, args ...any) {
	fmt.Fprintf(d.hash, format, args...)
	d.hash.Write([]byte{'\n'})
	d.records++
}

// String returns the number of records and the hash over all of them.
func (d *Digest) String() string {
	return fmt.Sprintf("records=%d sha256=%s", d.records, hex.EncodeToString(d.hash.Sum(nil)))
}

// Samples collects the first few different messages of each kind, byte for byte.
type Samples struct {
	perKind int                 // most messages of a kind
	kinds   map[string][]string // messages in hexadecimal, by kind
	order   []string            // kinds, in the order in which they were first added
}

// NewSamples returns Samples that keep up to perKind messages of each kind.
func NewSamples(perKind int) *Samples {
	return &Samples{perKind: perKind, kinds: map[string][]string{}}
}

// Add adds a message, unless its kind has perKind messages already or contains the same message.
func (s *Samples) Add(kind string, message []byte) {
	seen, known := s.kinds[kind]
	if !known {
		s.order = append(s.order, kind)
	}
	text := hex.EncodeToString(message)
	if len(seen) < s.perKind && !slices.Contains(seen, text) {
		s.kinds[kind] = append(seen, text)
	}
}

// Bytes returns one line for each message: its kind, and its bytes in hexadecimal. Kinds are in the order
// in which they were first added.
func (s *Samples) Bytes() []byte {
	var out bytes.Buffer
	for _, kind := range s.order {
		for _, text := range s.kinds[kind] {
			fmt.Fprintf(&out, "%s %s\n", kind, text)
		}
	}
	return out.Bytes()
}

// InParallel calls run for each number from first to end-1, in parallel on all cores, and returns when
// all calls have returned. Tests run their recorded sequences with it.
func InParallel(first, end int, run func(i int)) { parallel.ForEach(first, end, run) }
