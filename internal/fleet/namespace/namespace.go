// Package namespace decides where customers' requests may go. It has accounts, the pools into which
// the hosts are divided, and each account's namespace of routes. A request's tenant determines its
// account. Only the routes of that account's chain are searched: its own and those of the accounts
// above it, up to the operators. One customer's routes therefore never affect another's requests.
// The package does no I/O and reads no clock. A compiled directory is one immutable value.
package namespace

import (
	"fmt"
	"strings"
)

// MainPool is the pool of all hosts that are in no other pool. Accounts that name no pools use it.
const MainPool = "main"

// Bounds of a directory.
const (
	MaxDepth            = 5      // levels of accounts
	MaxPrefixBytes      = 16     // of a key; the longest prefix that a route compares
	MaxConditionSets    = 16     // different sets of conditions in one list of routes; a decision looks up each set
	maxFallbacks        = 3      // fallback pools of a route
	maxNameBytes        = 64     // of a name, or of each part of an account name between slashes
	maxRetryAfterMillis = 60_000 // longest Retry-After of a route
)

// WholeShare is the share that covers all requests, in hundredths of a percent.
const WholeShare = 10_000

const minutesPerDay = 24 * 60

// Directory holds the pools, accounts and namespaces of a rules version.
type Directory struct {
	Pools      []Pool      `cbor:"1,keyasint,omitempty"` // sorted by name
	Accounts   []Account   `cbor:"2,keyasint,omitempty"` // sorted by name, so that a parent precedes its children
	Namespaces []Namespace `cbor:"3,keyasint,omitempty"` // sorted by account; "" holds the operators' routes
	// Previous is the earlier assignment during a reassignment, and nil otherwise. A host or tenant
	// that changes owners gets no new requests until no process applies the previous version.
	Previous *Assignment `cbor:"4,keyasint,omitempty"`
}

// Assignment is the part of a directory that determines which pool each host and which account each
// tenant belongs to.
type Assignment struct {
	Pools    []Pool    `cbor:"1,keyasint,omitempty"`
	Accounts []Account `cbor:"2,keyasint,omitempty"`
}

// Pool is a set of hosts, selected by their attributes in discovery. A host's ID takes precedence
// over the ID's longest matching prefix, the prefix over the host's kind, and the kind over its
// zone. No two pools name the same value, so each host is in exactly one pool.
type Pool struct {
	Name     string   `cbor:"1,keyasint"`
	Hosts    []string `cbor:"2,keyasint,omitempty"`
	Prefixes []string `cbor:"3,keyasint,omitempty"` // of host IDs
	Kinds    []string `cbor:"4,keyasint,omitempty"`
	Zones    []string `cbor:"5,keyasint,omitempty"`
}

// Account is a customer or one of its teams, such as "acme" or "acme/web". An empty list means the
// parent's list.
type Account struct {
	Name          string   `cbor:"1,keyasint"`
	Tenants       []string `cbor:"2,keyasint,omitempty"`  // a request belongs to the deepest account that names its tenant
	Pools         []string `cbor:"3,keyasint,omitempty"`  // that it may use; the first gets the requests that no route matches
	Classes       []string `cbor:"4,keyasint,omitempty"`  // that it may use
	Rate          Limit    `cbor:"5,keyasint,omitempty"`  // new connections per second, fleet-wide
	Connections   Limit    `cbor:"6,keyasint,omitempty"`  // open connections, fleet-wide
	Routes        uint32   `cbor:"7,keyasint,omitempty"`  // most routes of its namespace; 0 means the parent's limit
	Changes       uint32   `cbor:"8,keyasint,omitempty"`  // most changes of it and its namespace per minute and key; 0 means the parent's limit
	Grants        []Grant  `cbor:"9,keyasint,omitempty"`  // sorted by label
	VersionNumber uint64   `cbor:"10,keyasint,omitempty"` // rules version that last changed the account
}

// Limit is a bound of an account and the part of it that is reserved for the account. The children
// of an account together reserve no more than the account has reserved, and no child's bound
// exceeds its parent's.
type Limit struct {
	Max      uint32 `cbor:"1,keyasint,omitempty"` // 0 means the parent's bound, and no bound at a top-level account
	Reserved uint32 `cbor:"2,keyasint,omitempty"`
}

// Grant lets the holder of a key use verbs on an account and all accounts below it until the grant
// ends.
type Grant struct {
	Label string `cbor:"1,keyasint"`
	Key   []byte `cbor:"2,keyasint"` // Ed25519 public key
	Verbs Verbs  `cbor:"3,keyasint"`
	Until int64  `cbor:"4,keyasint,omitempty"` // Unix seconds; 0 means no end
}

// Namespace holds an account's routes. Guards apply to the account and all accounts below it,
// before their own routes. Routes apply to the account only. Defaults apply to the account and all
// accounts below it, after their own routes.
type Namespace struct {
	Account       string  `cbor:"1,keyasint"`
	VersionNumber uint64  `cbor:"2,keyasint"` // rules version that last changed the namespace
	Guards        []Route `cbor:"3,keyasint,omitempty"`
	Routes        []Route `cbor:"4,keyasint,omitempty"`
	Defaults      []Route `cbor:"5,keyasint,omitempty"`
}

// ValidationError reports what is invalid in a directory, and where.
type ValidationError struct {
	Account string // empty for the operators
	Route   string // empty if an account or a pool is invalid
	Text    string // why it is invalid
}

// Error returns the place and the reason.
func (e *ValidationError) Error() string {
	switch {
	case e.Route != "":
		return fmt.Sprintf("namespace: %s: %s", QualifiedName(e.Account, e.Route), e.Text)
	case e.Account != "":
		return fmt.Sprintf("namespace: account %s: %s", e.Account, e.Text)
	}
	return "namespace: " + e.Text
}

// QualifiedName returns a route's name prefixed with its account's name, or with "operators" if
// account is empty.
func QualifiedName(account, route string) string {
	if account == "" {
		return "operators/" + route
	}
	return account + "/" + route
}

// Parent returns the name of the account above, or "" (the operators) for a top-level account.
func Parent(account string) string {
	i := strings.LastIndexByte(account, '/')
	return account[:max(0, i)]
}

// IsWithin reports whether account is top or below it. Every account is within "", the operators.
func IsWithin(account, top string) bool {
	return top == "" || account == top || strings.HasPrefix(account, top+"/")
}

// validName reports whether a name is not empty, not too long, and can be written in a file, a log
// and a path without quotes.
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
