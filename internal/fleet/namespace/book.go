// Package namespace owns where customers' requests may go: accounts, the pools that the hosts are split into, and each account's
// namespace of routes. A request's account is found first, by its tenant, and only that account's chain is looked at, so that no
// customer's rules reach another's requests. It does no I/O and reads no clock; a compiled book is one immutable value.
package namespace

import (
	"fmt"
	"strings"
)

// Main is the pool of all hosts that no pool takes, and where requests go that no route sends elsewhere.
const Main = "main"

// Bounds of a book.
const (
	MostDepth   = 5  // accounts under one another
	mostName    = 64 // bytes of a name, of an account's for each part
	mostFall    = 3  // pools that a route falls to
	MostPrefix  = 16 // bytes of a key that a route may look at
	MostShapes  = 16 // kinds of condition in one list: they bound what a decision costs
	mostAdvice  = 60_000
	Whole       = 10_000 // a share of all traffic, in hundredths of a percent
	minutesADay = 24 * 60
)

// Book is what a version says of pools, accounts and namespaces.
type Book struct {
	Pools    []Pool    `cbor:"1,keyasint,omitempty"` // by name
	Accounts []Account `cbor:"2,keyasint,omitempty"` // by name: a parent stands before its children
	Spaces   []Space   `cbor:"3,keyasint,omitempty"` // by account; "" is the operators' own
	// Was is what held before, while something changes hands: a host or a tenant that is given to another gets nothing until nobody acts
	// by the version before.
	Was *Frame `cbor:"4,keyasint,omitempty"`
}

// Frame is the part of a book that says whose something is.
type Frame struct {
	Pools    []Pool    `cbor:"1,keyasint,omitempty"`
	Accounts []Account `cbor:"2,keyasint,omitempty"`
}

// Pool takes hosts by what discovery says of them. A host's own name goes before the longest prefix of it, that before its kind, that before
// its zone. Two pools never name the same, so each host is in exactly one.
type Pool struct {
	Name     string   `cbor:"1,keyasint"`
	Hosts    []string `cbor:"2,keyasint,omitempty"`
	Prefixes []string `cbor:"3,keyasint,omitempty"`
	Kinds    []string `cbor:"4,keyasint,omitempty"`
	Zones    []string `cbor:"5,keyasint,omitempty"`
}

// Account is a customer or one of its teams: "acme", "acme/web". What a list leaves empty is as the parent has it.
type Account struct {
	Name     string   `cbor:"1,keyasint"`
	Tenants  []string `cbor:"2,keyasint,omitempty"`  // a request belongs to the deepest account that names its tenant
	Pools    []string `cbor:"3,keyasint,omitempty"`  // it may use; the first takes what no route sends elsewhere
	Classes  []string `cbor:"4,keyasint,omitempty"`  // it may use
	Rate     Limit    `cbor:"5,keyasint,omitempty"`  // new connections a second, over the whole fleet
	Standing Limit    `cbor:"6,keyasint,omitempty"`  // open connections, over the whole fleet
	Routes   uint32   `cbor:"7,keyasint,omitempty"`  // of its namespace; 0: as the parent has it
	Changes  uint32   `cbor:"8,keyasint,omitempty"`  // of its namespace a minute; 0: as the parent has it
	Grants   []Grant  `cbor:"9,keyasint,omitempty"`  // by label
	Number   uint64   `cbor:"10,keyasint,omitempty"` // of the version that changed it last
}

// Limit is what an account may have. What is reserved for children is never more than what is for their parent, and none may have more than it.
type Limit struct {
	AtMost   uint32 `cbor:"1,keyasint,omitempty"` // 0: as the parent has it
	Reserved uint32 `cbor:"2,keyasint,omitempty"`
}

// Verbs of a grant.
const (
	MayRoute    = 1 << iota // change namespaces
	MayLimit                // change the limits of accounts below
	MayDelegate             // make and remove accounts below, and their grants
)

// Grant gives a key verbs on an account and all below it, until its end.
type Grant struct {
	Label string `cbor:"1,keyasint"`
	Key   []byte `cbor:"2,keyasint"` // Ed25519, public
	Verbs uint8  `cbor:"3,keyasint"`
	Until int64  `cbor:"4,keyasint,omitempty"` // Unix seconds; 0: without an end
}

// Space is an account's namespace. Guards hold for the account and all below it and come first; routes are the account's own; defaults hold
// like guards and come last.
type Space struct {
	Account  string  `cbor:"1,keyasint"`
	Number   uint64  `cbor:"2,keyasint"` // of the version that changed it last
	Guards   []Route `cbor:"3,keyasint,omitempty"`
	Routes   []Route `cbor:"4,keyasint,omitempty"`
	Defaults []Route `cbor:"5,keyasint,omitempty"`
}

// Route says what becomes of the requests that fit all its conditions; an empty one fits all. Of several that fit the most specific counts:
// a group before a key's prefix, the longer prefix first, then class, zone, window, share.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Group  string `cbor:"2,keyasint,omitempty"`
	Prefix string `cbor:"3,keyasint,omitempty"` // of the flow's key
	Class  string `cbor:"4,keyasint,omitempty"`
	Zone   string `cbor:"5,keyasint,omitempty"` // of the proxy
	// From and To bound a share of the flows, by a hash of the key that is the same at every proxy and in every version; both 0: all.
	From uint16 `cbor:"6,keyasint,omitempty"`
	To   uint16 `cbor:"7,keyasint,omitempty"`
	// Begin and End bound a time of day, in minutes, UTC; a window may run over midnight; both 0: all day.
	Begin uint16 `cbor:"8,keyasint,omitempty"`
	End   uint16 `cbor:"9,keyasint,omitempty"`

	Pool   string   `cbor:"10,keyasint,omitempty"`
	Else   []string `cbor:"11,keyasint,omitempty"` // pools to fall to, in order, where the one before has no host that may be used
	Refuse bool     `cbor:"12,keyasint,omitempty"`
	Advice uint32   `cbor:"13,keyasint,omitempty"` // milliseconds after which a refused client may come again
}

// Fault is what is wrong with a book, and where.
type Fault struct {
	Account, Route string
	Text           string
}

func (f *Fault) Error() string {
	switch {
	case f.Route != "":
		return fmt.Sprintf("namespace: %s: %s", Scoped(f.Account, f.Route), f.Text)
	case f.Account != "":
		return fmt.Sprintf("namespace: account %s: %s", f.Account, f.Text)
	}
	return "namespace: " + f.Text
}

// Scoped is a route's name with its account's.
func Scoped(account, route string) string {
	if account == "" {
		return "operators/" + route
	}
	return account + "/" + route
}

// Parent is the account above; "" above the customers' own: the operators.
func Parent(account string) string {
	i := strings.LastIndexByte(account, '/')
	return account[:max(0, i)]
}

// Under tells whether an account is the other one or below it.
func Under(account, top string) bool {
	return top == "" || account == top || strings.HasPrefix(account, top+"/")
}

// good tells whether a name can be written in a file, a log and a path.
func good(name string) bool {
	if name == "" || len(name) > mostName {
		return false
	}
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}
