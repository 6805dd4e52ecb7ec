// Package namespace owns where customers' requests may go: accounts, the pools that the hosts are split into, and each account's
// namespace of routes. A request's account is found first, by its tenant, and only the routes of that account's chain are searched: its own and
// those of the accounts above it, up to the operators. So no customer's routes reach another's requests. The package does no I/O and reads no
// clock; a compiled directory is one immutable value.
package namespace

import (
	"fmt"
	"strings"
)

// MainPool is the pool of all hosts that no other pool has, and the one that accounts use which name no pools.
const MainPool = "main"

// Bounds of a directory.
const (
	MaxDepth            = 5  // levels of accounts
	MaxPrefixBytes      = 16 // of a key, that a route may compare
	MaxConditionSets    = 16 // different sets of conditions in one list of routes: a decision looks up each
	maxFallbacks        = 3  // pools of a route
	maxNameBytes        = 64 // of a name; of an account's, for each part between slashes
	maxRetryAfterMillis = 60_000
)

// WholeShare is the share that is all traffic, in hundredths of a per cent.
const WholeShare = 10_000

const minutesPerDay = 24 * 60

// Directory is what a version says of pools, accounts and namespaces.
type Directory struct {
	Pools      []Pool      `cbor:"1,keyasint,omitempty"` // by name
	Accounts   []Account   `cbor:"2,keyasint,omitempty"` // by name: a parent comes before its children
	Namespaces []Namespace `cbor:"3,keyasint,omitempty"` // by account; "" is the operators' own
	// Previous is the earlier assignment, while something is reassigned: a host or a tenant that changes owners gets no new requests until no process
	// acts by the version before.
	Previous *Assignment `cbor:"4,keyasint,omitempty"`
}

// Assignment is the part of a directory that says who owns each host and tenant.
type Assignment struct {
	Pools    []Pool    `cbor:"1,keyasint,omitempty"`
	Accounts []Account `cbor:"2,keyasint,omitempty"`
}

// Pool is hosts, chosen by their attributes in discovery. A host's name takes precedence over the longest prefix of it, that over its kind, that
// over its zone. No two pools name the same, so each host is in exactly one.
type Pool struct {
	Name     string   `cbor:"1,keyasint"`
	Hosts    []string `cbor:"2,keyasint,omitempty"`
	Prefixes []string `cbor:"3,keyasint,omitempty"`
	Kinds    []string `cbor:"4,keyasint,omitempty"`
	Zones    []string `cbor:"5,keyasint,omitempty"`
}

// Account is a customer or one of its teams: "acme", "acme/web". An empty list means the parent's.
type Account struct {
	Name          string   `cbor:"1,keyasint"`
	Tenants       []string `cbor:"2,keyasint,omitempty"`  // a request belongs to the deepest account that names its tenant
	Pools         []string `cbor:"3,keyasint,omitempty"`  // it may use; the first gets the requests that no route fits
	Classes       []string `cbor:"4,keyasint,omitempty"`  // it may use
	Rate          Limit    `cbor:"5,keyasint,omitempty"`  // new connections a second, fleet-wide
	Connections   Limit    `cbor:"6,keyasint,omitempty"`  // open connections, fleet-wide
	Routes        uint32   `cbor:"7,keyasint,omitempty"`  // of its namespace; 0: as the parent has it
	Changes       uint32   `cbor:"8,keyasint,omitempty"`  // of its namespace a minute; 0: as the parent has it
	Grants        []Grant  `cbor:"9,keyasint,omitempty"`  // by label
	VersionNumber uint64   `cbor:"10,keyasint,omitempty"` // of the version that changed it last
}

// Limit is a bound of an account and the part of it that is reserved. All children together reserve no more than their parent has reserved, and no
// child's bound is above its parent's.
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

// Namespace is an account's routes. Guards apply to the account and all below it, before their own; routes to the account alone; defaults to the
// account and all below it, after their own.
type Namespace struct {
	Account       string  `cbor:"1,keyasint"`
	VersionNumber uint64  `cbor:"2,keyasint"` // of the version that changed it last
	Guards        []Route `cbor:"3,keyasint,omitempty"`
	Routes        []Route `cbor:"4,keyasint,omitempty"`
	Defaults      []Route `cbor:"5,keyasint,omitempty"`
}

// ValidationError is what is invalid in a directory, and where.
type ValidationError struct {
	Account string // "": the operators'
	Route   string // "": it is the account's or a pool's
	Text    string
}

// Error names the place and what is wrong.
func (f *ValidationError) Error() string {
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

// validName reports whether a name can be written in a file, a log and a path without quotes.
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
