package rules

import (
	"bytes"
	"crypto/sha256"
	"errors"

	"croftlock/internal/fleet/namespace"
)

// run describes consecutive accounts or namespaces of a version: either Count elements of the base
// version, from index From on, or a single Element that the base does not have. Element is nil in
// the first case, and Count is 0 in the second.
type run[T any] struct {
	_       struct{} `cbor:",toarray"`
	From    uint32
	Count   uint32
	Element *T
}

// delta describes a version relative to a base that the receiver has. It contains the accounts and
// namespaces as runs, and everything else complete.
type delta struct {
	_          struct{} `cbor:",toarray"`
	BaseHash   []byte   // hash of the base
	ResultHash []byte   // hash of the version that the delta describes
	Head       []byte   // the version without accounts and namespaces, encoded
	Accounts   []run[namespace.Account]
	Namespaces []run[namespace.Namespace]
}

// valid reports whether both hashes have the length of a Hash.
func (d *delta) valid() bool {
	return len(d.BaseHash) == len(Hash{}) && len(d.ResultHash) == len(Hash{})
}

func accountName(a *namespace.Account) string        { return a.Name }
func namespaceAccount(s *namespace.Namespace) string { return s.Account }

// toRuns returns the runs that describe the elements of all by those of base. name returns an
// element's unique name.
func toRuns[T any](all, base []T, name func(*T) string) (runs []run[T]) {
	baseIndex := map[string]uint32{}
	for i := range base {
		baseIndex[name(&base[i])] = uint32(i)
	}
	for i := range all {
		j, inBase := baseIndex[name(&all[i])]
		if !inBase || !bytes.Equal(marshal(all[i]), marshal(base[j])) {
			runs = append(runs, run[T]{Element: &all[i]})
			continue
		}
		if n := len(runs); n > 0 && runs[n-1].Element == nil && runs[n-1].From+runs[n-1].Count == j {
			runs[n-1].Count++
			continue
		}
		runs = append(runs, run[T]{From: j, Count: 1})
	}
	return runs
}

// fromRuns returns the elements that runs describe by those of base. It returns
// errMalformedVersion if a run is neither of the two kinds or reaches beyond the base, or if there
// are more than MaxEntries elements.
func fromRuns[T any](runs []run[T], base []T) (all []T, err error) {
	for _, r := range runs {
		switch {
		case r.Element != nil && r.Count == 0:
			all = append(all, *r.Element)
		case r.Element == nil && r.Count > 0 && uint64(r.From)+uint64(r.Count) <= uint64(len(base)):
			all = append(all, base[r.From:r.From+r.Count]...)
		default:
			return nil, errMalformedVersion
		}
		if len(all) > MaxEntries {
			return nil, errMalformedVersion
		}
	}
	return all, nil
}

// newDelta returns the delta of v relative to base.
func newDelta(v, base *Version) delta {
	directory, baseDirectory := v.directoryOrEmpty(), base.directoryOrEmpty()
	baseHash, hash := base.Hash(), v.Hash()
	head := *v
	if v.Directory != nil {
		rest := directory
		rest.Accounts, rest.Namespaces = nil, nil
		head.Directory = &rest
	}
	return delta{
		BaseHash:   baseHash[:],
		ResultHash: hash[:],
		Head:       marshal(head),
		Accounts:   toRuns(directory.Accounts, baseDirectory.Accounts, accountName),
		Namespaces: toRuns(directory.Namespaces, baseDirectory.Namespaces, namespaceAccount),
	}
}

// apply returns the version that a delta describes relative to base. The caller must check the
// version and its hash.
func (d *delta) apply(base *Version) (*Version, error) {
	v, baseDirectory := &Version{}, base.directoryOrEmpty()
	if unmarshal(d.Head, v) != nil {
		return nil, errMalformedVersion
	}
	directory := v.directoryOrEmpty()
	var err error
	if directory.Accounts, err = fromRuns(d.Accounts, baseDirectory.Accounts); err != nil {
		return nil, err
	}
	if directory.Namespaces, err = fromRuns(d.Namespaces, baseDirectory.Namespaces); err != nil {
		return nil, err
	}
	if v.Directory != nil || len(directory.Accounts)+len(directory.Namespaces) > 0 {
		v.Directory = &directory
	}
	return v, nil
}

// encodeFor returns the encoding of a version for a receiver that has base: the complete version,
// compressed if it is long, or a delta if that is shorter. A nil base means that the receiver may
// have no version; the encoding is then complete.
func (v *Version) encodeFor(base *Version) []byte {
	data := compress(v.Encode())
	if base == nil || len(data) <= deltaThresholdBytes {
		return data
	}
	if encodedDelta := deflate(formatDelta, marshal(newDelta(v, base))); len(encodedDelta) < len(data) {
		return encodedDelta
	}
	return data
}

// errMissingBase is returned if the receiver does not have the base of a delta. The sender must then
// send the complete version.
var errMissingBase = errors.New("rules: the version that a difference is from is not here")

// versionByHash returns the receiver's version with a hash, or nil if the receiver does not have
// it.
type versionByHash func(Hash) *Version

// onlyBase returns the versionByHash of a receiver that has only version v, or none if v is nil.
func onlyBase(v *Version) versionByHash {
	return func(h Hash) *Version {
		if v != nil && v.Hash() == h {
			return v
		}
		return nil
	}
}

// decodeVersion decodes and checks a version that is uncompressed, compressed or a delta. bases
// returns the base of a delta.
func decodeVersion(data []byte, bases versionByHash) (*Version, error) {
	if len(data) > 0 && data[0] == formatDelta {
		return decodeDelta(data[1:], bases)
	}
	data, err := decompress(data)
	if err != nil {
		return nil, err
	}
	return Decode(data)
}

// decodeDelta decodes a delta without its format byte, and returns the checked version that the
// delta describes. It returns errMissingBase if bases does not return the base of the delta.
func decodeDelta(data []byte, bases versionByHash) (*Version, error) {
	data, err := inflate(data, maxEncodedBytes)
	if err != nil {
		return nil, err
	}
	var d delta
	if unmarshal(data, &d) != nil || !d.valid() {
		return nil, errMalformedVersion
	}
	base := bases(Hash(d.BaseHash))
	if base == nil {
		return nil, errMissingBase
	}
	v, err := d.apply(base)
	if err != nil {
		return nil, err
	}
	if v.Hash() != Hash(d.ResultHash) {
		return nil, errMissingBase // the base differs from the one that the delta was made from
	}
	if err := v.Check(); err != nil {
		return nil, err
	}
	return v, nil
}

// transferredHash returns the hash under which the publisher knows the version that it sent in data,
// even if the version can't be decoded. A member reports the fault of such a version with this
// hash. data must not be empty.
func transferredHash(data []byte) Hash {
	if data[0] == formatDelta {
		var d delta
		if data, err := inflate(data[1:], maxEncodedBytes); err == nil && unmarshal(data, &d) == nil && len(d.ResultHash) == len(Hash{}) {
			return Hash(d.ResultHash)
		}
	}
	if plain, err := decompress(data); err == nil {
		data = plain
	}
	return sha256.Sum256(data)
}
