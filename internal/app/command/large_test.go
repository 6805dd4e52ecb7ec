package command

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestALargeVersionAmongProcesses: rules of some hundred customers and a thousand routes reach all processes over their datagrams, a change of one route
// comes to all by its difference while one is cut off, and what is active can be read back at any.
func TestALargeVersionAmongProcesses(t *testing.T) {
	t.Parallel()
	r := ruled(t, "")
	stands(t, r, 0, 0, 5)
	text := func(n int) string {
		var b strings.Builder
		b.WriteString("(rules (pool a (prefixes a))\n")
		for i := range 250 {
			fmt.Fprintf(&b, "(account customer%03d (tenants tenant%03d))\n", i, i)
		}
		for i := range 1000 {
			fmt.Fprintf(&b, "(route r%04d (group g%04d) (pool main))\n", i, i)
		}
		for i := range n {
			fmt.Fprintf(&b, "(out host%04d-of-somewhere)\n", i)
		}
		return b.String() + ")"
	}
	if got := answered(t, r, 1, 0, text(400)); !strings.HasPrefix(got, "0 active: version 2 at") {
		t.Fatal(got)
	}
	stands(t, r, 2, 2, 5)
	r.Cut(4, true)
	began := time.Now()
	if got := answered(t, r, 3, 2, text(401)); !strings.HasPrefix(got, "0 active: version 3 at") {
		t.Fatal(got)
	}
	t.Logf("a change of 1,651 entries with one cut off: %v", time.Since(began).Round(time.Millisecond))
	r.Cut(4, false)
	stands(t, r, 4, 3, 5)
	out, code := command(t, "rules", "show", "0", "--socket", filepath.Join(r.Dir(4), "owners.sock"))
	if code != 0 || !strings.Contains(out, "host0400-of-somewhere") || !strings.Contains(out, "(route \"r0999\"") {
		t.Errorf("read back: %d bytes, status %d", len(out), code)
	}
	if got := answered(t, r, 1, 3, text(3000)); !strings.HasPrefix(got, "1 ") || !strings.Contains(got, "entries") {
		t.Errorf("too many entries: %.200s", got)
	}
}
