package settings

import (
	"maps"
	"slices"
	"strings"
)

// Pairs declares a map: (name (key value) ...). If the file has the field, *target is replaced by a new
// map of the valid pairs. expected describes a valid pair for faults. check reports whether a pair is
// valid; a nil check accepts every pair.
func (f *FieldSet) Pairs(name, doc, expected string, target *map[string]string, check func(key, value string) bool) {
	n, values := f.declare(name, doc, expected, func() string {
		var out []string
		for _, k := range slices.Sorted(maps.Keys(*target)) {
			out = append(out, "("+Quote(k)+" "+Quote((*target)[k])+")")
		}
		return strings.Join(out, " ")
	})
	if n == nil {
		return
	}
	out := map[string]string{}
	for _, v := range values {
		key, value, ok := v.pair()
		if !ok || check != nil && !check(key, value) {
			f.faults.Add(v.Pos, "%s has %s, expected %s", name, v.describe(), expected)
			continue
		}
		if _, duplicate := out[key]; duplicate {
			f.faults.Add(v.Pos, "%s names %q twice, expected once", name, truncate(key))
		}
		out[key] = value
	}
	*target = out
}

// pair returns the key and value of a list (key value). ok reports whether n is such a list.
func (n *Node) pair() (key, value string, ok bool) {
	items := n.Values()
	if n.Kind != List || len(items) != 2 || items[0].Kind == List || items[1].Kind == List {
		return "", "", false
	}
	return items[0].Text, items[1].Text, true
}
