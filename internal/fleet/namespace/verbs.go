package namespace

import (
	"slices"
	"strings"
)

// Verbs is a set of what a grant allows.
type Verbs uint8

// The verbs of a grant.
const (
	MayRoute    Verbs = 1 << iota // change namespaces
	MayLimit                      // change the limits of accounts below
	MayDelegate                   // make and remove accounts below, and their grants
)

// verbNames are in the order of the bits.
var verbNames = []string{"route", "limit", "delegate"}

// ParseVerbs reads verbs separated by spaces; ok: there is at least one, and each is known.
func ParseVerbs(s string) (v Verbs, ok bool) {
	for _, name := range strings.Fields(s) {
		i := slices.Index(verbNames, name)
		if i < 0 {
			return 0, false
		}
		v |= 1 << i
	}
	return v, v != 0
}

// String writes verbs as ParseVerbs reads them.
func (v Verbs) String() string {
	var names []string
	for i, name := range verbNames {
		if v>>i&1 != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, " ")
}
