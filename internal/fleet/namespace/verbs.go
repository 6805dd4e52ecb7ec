package namespace

import (
	"slices"
	"strings"
)

// Verbs is the set of actions that a grant allows.
type Verbs uint8

// The verbs of a grant.
const (
	MayRoute    Verbs = 1 << iota // change namespaces
	MayLimit                      // change the limits of accounts below
	MayDelegate                   // create and remove accounts below, and their grants
)

// verbNames lists the names in the order of the bits.
var verbNames = []string{"route", "limit", "delegate"}

// ParseVerbs parses verbs separated by spaces. ok reports whether there is at least one verb and
// all are known.
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

// String returns the verbs in the form that ParseVerbs accepts.
func (v Verbs) String() string {
	var names []string
	for i, name := range verbNames {
		if v>>i&1 != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, " ")
}
