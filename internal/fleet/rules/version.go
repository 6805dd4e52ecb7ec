// Package rules owns the rules on which all proxies agree: immutable versions of them, the lease by which a process may act by one, and the
// coordinator's and the members' parts. It does no I/O and reads no clock; what is decided here are plain functions over values.
package rules

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"croftlock/internal/fleet/namespace"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

// Bounds of a version: what the group keeps of a job is 32 KiB, and two versions are kept side by side, squeezed.
const (
	MaxEntries  = 4096
	mostBytes   = 256 << 10 // as it is written
	mostKeptOne = 12 << 10  // as it is kept
	mostName    = 128
	mostAdvice  = 60_000
)

// Refusal says that new requests get no placement. An empty tenant or class stands for all.
type Refusal struct {
	Tenant string `cbor:"1,keyasint,omitempty"`
	Class  string `cbor:"2,keyasint,omitempty"`
	Advice uint32 `cbor:"3,keyasint,omitempty"` // milliseconds after which its client may come again; 0: none
}

// Version is one state of the rules, whole. It is never changed.
type Version struct {
	Number uint64    `cbor:"1,keyasint"`
	Refuse []Refusal `cbor:"2,keyasint,omitempty"`
	Out    []string  `cbor:"3,keyasint,omitempty"` // hosts that get nothing new
	// Root is the number of the version that changed the operators' own part last; each namespace and account has its own such number.
	Root uint64          `cbor:"4,keyasint,omitempty"`
	Book *namespace.Book `cbor:"5,keyasint,omitempty"` // pools, accounts, namespaces; nil: there are none
}

// Hash tells versions apart.
type Hash [sha256.Size]byte

// The library's tables are made at the first use: a start that has no rules pays nothing for them.
var encoding = sync.OnceValue(func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // options of the library's own
	}
	return m
})

var decoding = sync.OnceValue(func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 12, MaxArrayElements: MaxEntries, MaxMapPairs: 16,
		IndefLength: cbor.IndefLengthForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
})

// Encode gives the one form in which a version is written: two that say the same are the same bytes.
func (v *Version) Encode() []byte {
	data, err := encoding().Marshal(v)
	if err != nil {
		panic(err) // text and numbers alone
	}
	return data
}

// Hash is over the one form.
func (v *Version) Hash() Hash { return sha256.Sum256(v.Encode()) }

// Decode reads a version, and refuses what Check does and any other form than the one.
func Decode(data []byte) (*Version, error) {
	if len(data) > mostBytes {
		return nil, fmt.Errorf("rules: %d bytes, %d are possible", len(data), mostBytes)
	}
	v := &Version{}
	if err := decoding().Unmarshal(data, v); err != nil {
		return nil, fmt.Errorf("rules: %w", err)
	}
	if err := v.Check(); err != nil {
		return nil, err
	}
	if string(v.Encode()) != string(data) {
		return nil, errors.New("rules: not in the one form")
	}
	return v, nil
}

// Check says what is wrong with a version.
func (v *Version) Check() error {
	if n := v.Entries(); n > MaxEntries {
		return fmt.Errorf("rules: %d entries, %d are possible", n, MaxEntries)
	}
	for i, r := range v.Refuse {
		if len(r.Tenant) > mostName || len(r.Class) > mostName || r.Advice > mostAdvice {
			return fmt.Errorf("rules: refusal %d is too long, or advises more than a minute", i+1)
		}
		if i > 0 && compare(v.Refuse[i-1], r) >= 0 {
			return fmt.Errorf("rules: tenant %q and class %q are refused twice, or out of order", r.Tenant, r.Class)
		}
	}
	for i, h := range v.Out {
		if h == "" || len(h) > mostName || i > 0 && v.Out[i-1] >= h {
			return fmt.Errorf("rules: host %q is without a name, named twice, or out of order", h)
		}
	}
	data := v.Encode()
	if n := len(data); n > mostBytes {
		return fmt.Errorf("rules: %d bytes, %d are possible", n, mostBytes)
	}
	if len(data) > mostKeptOne {
		if n := len(squeeze(data)); n > mostKeptOne {
			return fmt.Errorf("rules: %d bytes as the group keeps them, %d are possible", n, mostKeptOne)
		}
	}
	if v.Book == nil {
		return nil
	}
	_, err := namespace.Compile(v.Book)
	return err
}

// Entries counts what a version holds: refusals, hosts, pools, accounts and routes.
func (v *Version) Entries() int {
	n := len(v.Refuse) + len(v.Out)
	if v.Book != nil {
		n += len(v.Book.Pools) + len(v.Book.Accounts)
		for i := range v.Book.Spaces {
			s := &v.Book.Spaces[i]
			n += len(s.Guards) + len(s.Routes) + len(s.Defaults)
		}
	}
	return n
}

func compare(a, b Refusal) int {
	if c := slices.Compare([]string{a.Tenant, a.Class}, []string{b.Tenant, b.Class}); c != 0 {
		return c
	}
	return 0
}
