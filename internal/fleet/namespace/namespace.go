// Package namespace owns where customers' requests may go: accounts, the pools that the hosts are split into, and each account's
// namespace of routes. A request's account is found first, by its tenant, and only that account's chain is looked at, so that no
// customer's rules reach another's requests. It does no I/O and reads no clock; a compiled directory is one immutable value.
package namespace

import (
	"fmt"
	"strings"
)

// Main is the pool of all hosts that no pool takes, and where requests go that no route sends elsewhere.
const Main = "main"

// Bounds of a directory.
const (
	MaxDepth         = 5  // accounts under one another
	MaxPrefixBytes   = 16 // of a key that a route may look at
	MaxConditionSets = 16 // sets of conditions in one list of routes: they bound what a decision costs
	maxFallbacks     = 3  // pools of a route
	maxNameBytes     = 64 // of an account's name for each part
	maxAdviceMillis  = 60_000
)

// WholeShare is the share that is all traffic, in hundredths of a per cent.
const WholeShare = 10_000

const minutesPerDay = 24 * 60

// Directory is what a version says of pools, accounts and namespaces.
type Directory struct {
	Pools      []Pool      `cbor:"1,keyasint,omitempty"` // by name
	Accounts   []Account   `cbor:"2,keyasint,omitempty"` // by name: a parent stands before its children
	Namespaces []Namespace `cbor:"3,keyasint,omitempty"` // by account; "" is the operators' own
	// Previous is the assignment before, while something is reassigned: a host or a tenant that is given to another gets nothing until nobody acts
	// by the version before.
	Previous *Assignment `cbor:"4,keyasint,omitempty"`
}

// Assignment is the part of a directory that says whose each host and tenant is.
type Assignment struct {
	Pools    []Pool    `cbor:"1,keyasint,omitempty"`
	Accounts []Account `cbor:"2,keyasint,omitempty"`
}

// Pool is hosts, chosen by what discovery says of them. A host's own name goes before the longest prefix of it, that before its kind, that before
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
	Name        string   `cbor:"1,keyasint"`
	Tenants     []string `cbor:"2,keyasint,omitempty"`  // a request belongs to the deepest account that names its tenant
	Pools       []string `cbor:"3,keyasint,omitempty"`  // it may use; the first takes what no route sends elsewhere
	Classes     []string `cbor:"4,keyasint,omitempty"`  // it may use
	Rate        Limit    `cbor:"5,keyasint,omitempty"`  // new connections a second, over the whole fleet
	Connections Limit    `cbor:"6,keyasint,omitempty"`  // open connections, over the whole fleet
	Routes      uint32   `cbor:"7,keyasint,omitempty"`  // of its namespace; 0: as the parent has it
	Changes     uint32   `cbor:"8,keyasint,omitempty"`  // of its namespace a minute; 0: as the parent has it
	Grants      []Grant  `cbor:"9,keyasint,omitempty"`  // by label
	Number      uint64   `cbor:"10,keyasint,omitempty"` // of the version that changed it last
}

// Limit is a bound of an account and a part of it that is reserved. What is reserved for children is never more than what is for their parent, and none may have more than it.
type Limit struct {
	Max      uint32 `cbor:"1,keyasint,omitempty"` // 0: as the parent has it
	Reserved uint32 `cbor:"2,keyasint,omitempty"`
}

// Grant gives a key verbs on an account and all below it, until its end.
type Grant struct {
	Label string `cbor:"1,keyasint"`
	Key   []byte `cbor:"2,keyasint"` // Ed25519, public
	Verbs Verbs  `cbor:"3,keyasint"`
	Until int64  `cbor:"4,keyasint,omitempty"` // Unix seconds; 0: without an end
}

// Namespace is an account's namespace. Guards hold for the account and all below it and come first; routes are the account's own; defaults hold
// like guards and come last.
type Namespace struct {
	Account  string  `cbor:"1,keyasint"`
	Number   uint64  `cbor:"2,keyasint"` // of the version that changed it last
	Guards   []Route `cbor:"3,keyasint,omitempty"`
	Routes   []Route `cbor:"4,keyasint,omitempty"`
	Defaults []Route `cbor:"5,keyasint,omitempty"`
}

// Fault is what is wrong with a directory, and where.
type Fault struct {
	Account string // "": the operators'
	Route   string // "": it is the account's or a pool's
	Text    string
}

// Error names the place and what is wrong.
func (f *Fault) Error() string {
	switch {
	case f.Route != "":
		return fmt.Sprintf("namespace: %s: %s", QualifiedName(f.Account, f.Route), f.Text)
	case f.Account != "":
		return fmt.Sprintf("namespace: account %s: %s", f.Account, f.Text)
	}
	return "namespace: " + f.Text
}

// QualifiedName is a route's name with its account's.
func QualifiedName(account, route string) string {
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

// IsWithin reports whether an account is the other one or below it.
func IsWithin(account, top string) bool {
	return top == "" || account == top || strings.HasPrefix(account, top+"/")
}

// validName reports whether a name can be written in a file, a log and a path.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}
