// Package rules implements the rules on which all proxies of a fleet agree: immutable versions of
// the rules, the lease that a process needs to act by a version, and the logic of the publisher and
// the members. It does no I/O, and callers provide the clock of the leases, so that tests can run
// it with clocks that drift.
//
// The publisher is the process that owns the rules' job. A member is any process of the fleet,
// including the publisher's own. A version is staged when the replicated group has stored it and
// the members compile it, and active when the publisher grants leases to act by it. The package
// guarantees that once any process acts by a version, no process acts by an older one for longer
// than a lease lasts.
package rules

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"

	"croftlock/internal/fleet/namespace"
)

// Time is a time on the caller's monotonic clock or a duration, in nanoseconds.
type Time = int64

// MaxEntries is the maximum number of entries of a version; see Version.Entries.
const MaxEntries = 4096

const (
	maxEncodedBytes     = 256 << 10 // of an encoded version before compression
	maxStoredBytes      = 12 << 10  // of a version in a checkpoint, compressed; two of them fit within the 32 KiB that a job may store
	maxNameBytes        = 128       // of the name of a host, tenant or class
	maxRetryAfterMillis = 60_000    // of a refusal
)

// Refusal rejects new requests of a tenant and a class. An empty tenant or class matches all.
type Refusal struct {
	Tenant           string `cbor:"1,keyasint,omitempty"`
	Class            string `cbor:"2,keyasint,omitempty"`
	RetryAfterMillis uint32 `cbor:"3,keyasint,omitempty"` // 0 means no Retry-After
}

// compareRefusals orders refusals by tenant and class.
func compareRefusals(a, b Refusal) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Class, b.Class))
}

// Version is one complete state of the rules. It must not be changed after it was checked.
type Version struct {
	Number        uint64    `cbor:"1,keyasint"`
	Refusals      []Refusal `cbor:"2,keyasint,omitempty"` // sorted by tenant and class
	ExcludedHosts []string  `cbor:"3,keyasint,omitempty"` // IDs of hosts that get no new requests, sorted
	// OperatorsNumber is the number of the version that last changed the operators' part: refusals,
	// excluded hosts, pools, top-level accounts and the operators' namespace. Each namespace and
	// account has a VersionNumber of the same kind.
	OperatorsNumber uint64               `cbor:"4,keyasint,omitempty"`
	Directory       *namespace.Directory `cbor:"5,keyasint,omitempty"` // nil if it would be empty
}

// Hash is the SHA-256 hash of a version's canonical encoding. It identifies the version's content.
type Hash [sha256.Size]byte

// Encode returns the canonical encoding. Equal versions have equal encodings.
func (v *Version) Encode() []byte { return marshal(v) }

// Hash returns the hash of the canonical encoding.
func (v *Version) Hash() Hash { return sha256.Sum256(v.Encode()) }

// ErrNotCanonical is returned for a version that is not in its canonical encoding.
var ErrNotCanonical = errors.New("rules: not in the one form")

// EncodedSizeError is returned for an encoded version that is too long.
type EncodedSizeError struct{ Bytes int }

// Error returns a message with the length and the limit, in bytes.
func (e *EncodedSizeError) Error() string {
	return fmt.Sprintf("rules: %d bytes, %d are possible", e.Bytes, maxEncodedBytes)
}

// Decode decodes a version. It returns an error if the version is too long, malformed or not in its
// canonical encoding, or fails Check.
func Decode(data []byte) (*Version, error) {
	if len(data) > maxEncodedBytes {
		return nil, &EncodedSizeError{len(data)}
	}
	v := &Version{}
	if err := unmarshal(data, v); err != nil {
		return nil, fmt.Errorf("rules: %w", err)
	}
	if err := v.Check(); err != nil {
		return nil, err
	}
	if string(v.Encode()) != string(data) {
		return nil, ErrNotCanonical
	}
	return v, nil
}

// Check returns an error that describes the first invalid entry of a version or the bound that the
// version exceeds, or nil if the version is valid.
func (v *Version) Check() error {
	if n := v.Entries(); n > MaxEntries {
		return fmt.Errorf("rules: %d entries, %d are possible", n, MaxEntries)
	}
	if err := checkRefusals(v.Refusals); err != nil {
		return err
	}
	for i, h := range v.ExcludedHosts {
		if h == "" || len(h) > maxNameBytes || i > 0 && v.ExcludedHosts[i-1] >= h {
			return fmt.Errorf("rules: host %q is without a name, named twice, or out of order", h)
		}
	}
	if err := v.checkSize(); err != nil {
		return err
	}
	if v.Directory == nil {
		return nil
	}
	_, err := namespace.Compile(v.Directory)
	return err
}

// checkRefusals returns an error unless the refusals are valid, sorted and unique.
func checkRefusals(refusals []Refusal) error {
	for i, r := range refusals {
		if len(r.Tenant) > maxNameBytes || len(r.Class) > maxNameBytes || r.RetryAfterMillis > maxRetryAfterMillis {
			return fmt.Errorf("rules: refusal %d is too long, or advises more than a minute", i+1)
		}
		if i > 0 && compareRefusals(refusals[i-1], r) >= 0 {
			return fmt.Errorf("rules: tenant %q and class %q are refused twice, or out of order", r.Tenant, r.Class)
		}
	}
	return nil
}

// checkSize checks the length of the encoded version, and of its compressed form in a checkpoint.
func (v *Version) checkSize() error {
	data := v.Encode()
	if n := len(data); n > maxEncodedBytes {
		return &EncodedSizeError{n}
	}
	if len(data) <= maxStoredBytes {
		return nil
	}
	if n := len(compress(data)); n > maxStoredBytes {
		return fmt.Errorf("rules: %d bytes as the group keeps them, %d are possible", n, maxStoredBytes)
	}
	return nil
}

// Entries returns the number of a version's refusals, excluded hosts, pools, accounts and routes.
func (v *Version) Entries() int {
	n := len(v.Refusals) + len(v.ExcludedHosts)
	if v.Directory != nil {
		n += len(v.Directory.Pools) + len(v.Directory.Accounts)
		for i := range v.Directory.Namespaces {
			s := &v.Directory.Namespaces[i]
			n += len(s.Guards) + len(s.Routes) + len(s.Defaults)
		}
	}
	return n
}

// directoryOrEmpty returns the version's directory, or an empty one if it has none.
func (v *Version) directoryOrEmpty() namespace.Directory {
	if v.Directory == nil {
		return namespace.Directory{}
	}
	return *v.Directory
}
