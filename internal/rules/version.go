// Package rules owns the rules on which all proxies agree: immutable versions of them, the right to act by one, which lapses, and the
// keeper's and the members' parts. It does no I/O and reads no clock; what is decided here are plain functions over values.
package rules

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"croftlock/internal/settings"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

// Bounds of a version: what the group keeps of a job is 32 KiB, and two versions are kept side by side.
const (
	MostEntries = 512
	mostBytes   = 12 << 10
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
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 16,
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
	if n := len(v.Refuse) + len(v.Out); n > MostEntries {
		return fmt.Errorf("rules: %d entries, %d are possible", n, MostEntries)
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
	if n := len(v.Encode()); n > mostBytes {
		return fmt.Errorf("rules: %d bytes, %d are possible", n, mostBytes)
	}
	return nil
}

func compare(a, b Refusal) int {
	if c := slices.Compare([]string{a.Tenant, a.Class}, []string{b.Tenant, b.Class}); c != 0 {
		return c
	}
	return 0
}

// Section is what operators write: (refuse LABEL (tenant T) (class C) (advice 2s)) and (out HOST), each as often as wanted.
func Section() settings.Section {
	return settings.Section{Name: "rules", Doc: "rules on which all proxies agree", Bind: func(f *settings.Form) any {
		v := &Version{}
		f.Each("refuse", "requests that get no placement, under a label that is the operators' own", func(_ string, f *settings.Form) {
			var r Refusal
			var advice time.Duration
			any := func(string) bool { return true }
			f.Text("tenant", "whose; all where it is left out", "a name", &r.Tenant, any)
			f.Text("class", "of which class; all where it is left out", "a name", &r.Class, any)
			f.Duration("advice", "after which its client may come again", &advice, 0, time.Minute)
			r.Advice = uint32(advice.Milliseconds())
			v.Refuse = append(v.Refuse, r)
		})
		f.Each("out", "a host that gets nothing new", func(host string, _ *settings.Form) { v.Out = append(v.Out, host) })
		slices.SortFunc(v.Refuse, compare)
		slices.Sort(v.Out)
		if err := v.Check(); err != nil {
			f.Fault("", "%v", err)
		}
		return v
	}}
}
