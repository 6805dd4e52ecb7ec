package netio

import (
	"container/list"
	"slices"
	"testing"
)

// TestBoundedConns checks that adding to a full set evicts the connection that was added or touched longest ago.
func TestBoundedConns(t *testing.T) {
	elements := map[string]*list.Element{}
	var evicted []string
	var conns *BoundedConns[string]
	conns = NewBoundedConns(2, func(c string) {
		evicted = append(evicted, c)
		conns.Remove(elements[c])
	})
	for _, c := range []string{"a", "b"} {
		elements[c] = conns.Add(c)
	}
	conns.Touch(elements["a"])
	elements["c"] = conns.Add("c")
	if got := slices.Collect(conns.All()); !slices.Equal(evicted, []string{"b"}) || !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("evicted %v, kept %v; want [b] evicted and [a c] kept", evicted, got)
	}
	for c := range conns.All() {
		conns.Remove(elements[c])
	}
	if conns.Len() != 0 {
		t.Errorf("Len() = %d after all connections were removed, want 0", conns.Len())
	}
}
