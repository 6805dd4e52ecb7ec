// Package rules owns the rules on which all proxies agree: immutable versions of them, the lease without which no process may act by one, and the
// parts of the publisher and of the members. It does no I/O and reads no clock, so that tests play it with clocks that drift.
//
// The publisher is the process that owns the rules' job; a member is any process of the fleet, the publisher's own included. A version is staged
// when the group has stored it and members compile it, and active when the publisher grants leases to act by it. Promised: once any process acts by
// a version, none acts by an older one for longer than a lease lasts.
package rules

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"

	"croftlock/internal/fleet/namespace"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

// MaxEntries bounds what a version holds: refusals, hosts, pools, accounts and routes.
const MaxEntries = 4096

const (
	maxEncodedBytes     = 256 << 10 // of a version, encoded and uncompressed
	maxStoredBytes      = 12 << 10  // of a version in a checkpoint: two fit within a job's 32 KiB
	maxNameBytes        = 128
	maxRetryAfterMillis = 60_000
)

// Refusal says that new requests get no placement. An empty tenant or class matches all.
type Refusal struct {
	Tenant           string `cbor:"1,keyasint,omitempty"`
	Class            string `cbor:"2,keyasint,omitempty"`
	RetryAfterMillis uint32 `cbor:"3,keyasint,omitempty"` // Retry-After in milliseconds; 0: none
}

func compareRefusals(a, b Refusal) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Class, b.Class))
}

// Version is one complete state of the rules. It is immutable.
type Version struct {
	Number        uint64    `cbor:"1,keyasint"`
	Refusals      []Refusal `cbor:"2,keyasint,omitempty"` // sorted by tenant and class
	ExcludedHosts []string  `cbor:"3,keyasint,omitempty"` // hosts that get no new requests, sorted
	// OperatorsNumber is of the version that last changed the operators' own part; each namespace and account has such a number of its own.
	OperatorsNumber uint64               `cbor:"4,keyasint,omitempty"`
	Directory       *namespace.Directory `cbor:"5,keyasint,omitempty"` // pools, accounts, namespaces; nil: there are none
}

// Hash identifies a version's content.
type Hash [sha256.Size]byte

// Encode gives the canonical encoding: equal versions give equal bytes.
func (v *Version) Encode() []byte { return marshal(v) }

// Hash is over the canonical encoding.
func (v *Version) Hash() Hash { return sha256.Sum256(v.Encode()) }

// ErrNotCanonical says that a version's bytes are not its canonical encoding.
var ErrNotCanonical = errors.New("rules: not in the one form")

// EncodedSizeError says that an encoded version is too long.
type EncodedSizeError struct{ Bytes int }

// Error names the length and the bound.
func (e *EncodedSizeError) Error() string {
	return fmt.Sprintf("rules: %d bytes, %d are possible", e.Bytes, maxEncodedBytes)
}

// Decode reads a version; an error says that it is too long, malformed, not canonical, or fails Check.
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

// Check returns the first fault of a version, and names the entry.
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

// Entries counts what a version holds: refusals, hosts, pools, accounts and routes.
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

// directoryOrEmpty is the version's directoryOrEmpty, empty where it has none.
func (v *Version) directoryOrEmpty() namespace.Directory {
	if v.Directory == nil {
		return namespace.Directory{}
	}
	return *v.Directory
}
