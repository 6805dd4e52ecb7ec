package maintenance

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Whatever the order of calls and lists: a suspension holds from its first call to one that resumes.
func TestSuspensions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry, suspended, listed := New(), map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				registry.HostListed(id)
				listed[id] = true
			case 1:
				if listed[id] && registry.SetSuspended(id, true, 5) == suspended[id] {
					t.Fatal("a first suspension changes something, a second nothing")
				}
				suspended[id] = suspended[id] || listed[id]
			case 2:
				if registry.SetSuspended(id, false, 5) != suspended[id] {
					t.Fatal("one call to resume ends any number of suspensions")
				}
				suspended[id] = false
			}
			if registry.Suspended(id) != suspended[id] || registry.Known(id) != listed[id] {
				t.Fatalf("%s: suspended %t known %t, want %t %t", id, registry.Suspended(id), registry.Known(id), suspended[id], listed[id])
			}
		}
	})
}

// Hosts that come and go for months do not fill the memory, and a suspension among them is still found.
func TestKnownIsBounded(t *testing.T) {
	registry := New()
	registry.HostListed("first")
	registry.SetSuspended("first", true, 7)
	for i := range 2 * maxKnownHosts {
		registry.HostListed(fmt.Sprint(i))
	}
	if len(registry.known) > maxKnownHosts || !registry.Known("first") || registry.Known("0") || !registry.Known(fmt.Sprint(2*maxKnownHosts-1)) {
		t.Errorf("%d known, first %t", len(registry.known), registry.Known("first"))
	}
	if !slices.Equal(registry.LocalSuspensions(), []Suspension{{"first", 7}}) {
		t.Errorf("suspensions %v", registry.LocalSuspensions())
	}
}

// A host that comes back with no start listed since its suspension counts as just started.
func TestStartAfterSuspension(t *testing.T) {
	for _, x := range []struct {
		listed, start int64
		guess         bool
	}{{0, 90, true}, {49, 90, true}, {50, 50, false}, {80, 80, false}} {
		if start, guess := (Suspension{"a", 50}).StartOnResume(x.listed, 90); start != x.start || guess != x.guess {
			t.Errorf("listed %d: start %d, guessed %t", x.listed, start, guess)
		}
	}
}
