package maintenance

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestSuspensions tests that a suspension lasts from the first call that suspends to the first that
// resumes, in any order of calls and lists.
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
					t.Fatalf("SetSuspended(%q, true, 5) = %t, want %t: only the first call changes something", id, suspended[id], !suspended[id])
				}
				suspended[id] = suspended[id] || listed[id]
			case 2:
				if registry.SetSuspended(id, false, 5) != suspended[id] {
					t.Fatalf("SetSuspended(%q, false, 5) = %t, want %t: one call ends any number of suspensions", id, !suspended[id], suspended[id])
				}
				suspended[id] = false
			}
			if registry.Suspended(id) != suspended[id] || registry.Known(id) != listed[id] {
				t.Fatalf("host %s: suspended %t, known %t, want %t, %t", id, registry.Suspended(id), registry.Known(id), suspended[id], listed[id])
			}
		}
	})
}

// TestKnownIsBounded tests that the known hosts do not fill the memory if hosts come and go for months,
// and that a suspended host among them stays known.
func TestKnownIsBounded(t *testing.T) {
	registry := New()
	registry.HostListed("first")
	registry.SetSuspended("first", true, 7)
	for i := range 2 * maxKnownHosts {
		registry.HostListed(fmt.Sprint(i))
	}
	if len(registry.known) > maxKnownHosts || !registry.Known("first") || registry.Known("0") || !registry.Known(fmt.Sprint(2*maxKnownHosts-1)) {
		t.Errorf("%d hosts known, want at most %d; known: first %t, 0 %t, the last %t, want true, false, true", len(registry.known), maxKnownHosts,
			registry.Known("first"), registry.Known("0"), registry.Known(fmt.Sprint(2*maxKnownHosts-1)))
	}
	if want := []Suspension{{"first", 7}}; !slices.Equal(registry.LocalSuspensions(), want) {
		t.Errorf("LocalSuspensions() = %v, want %v", registry.LocalSuspensions(), want)
	}
}

// TestStartAfterSuspension tests that a resumed host without a listed start since its suspension
// counts as just started.
func TestStartAfterSuspension(t *testing.T) {
	for _, tc := range []struct {
		listed, start int64
		guess         bool
	}{{0, 90, true}, {49, 90, true}, {50, 50, false}, {80, 80, false}} {
		if start, guess := (Suspension{"a", 50}).StartOnResume(tc.listed, 90); start != tc.start || guess != tc.guess {
			t.Errorf("StartOnResume(%d, 90) = %d, guess %t, want %d, %t", tc.listed, start, guess, tc.start, tc.guess)
		}
	}
}
