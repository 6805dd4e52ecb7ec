package rules

import (
	"bytes"
	"crypto/sha256"
	"errors"

	"croftlock/internal/fleet/namespace"
)

// run is consecutive elements of a version: either Count of the base's from From on, or a single one, Own, that the base lacks.
type run[T any] struct {
	_       struct{} `cbor:",toarray"`
	From    uint32
	Count   uint32
	Element *T
}

// delta is a version relative to a base that the receiver has: everything but accounts and namespaces, and the runs of these.
type delta struct {
	_          struct{} `cbor:",toarray"`
	BaseHash   []byte
	ResultHash []byte
	Head       []byte // the version without accounts and namespaces, encoded
	Accounts   []run[namespace.Account]
	Namespaces []run[namespace.Namespace]
}

func (d *delta) valid() bool {
	return len(d.BaseHash) == len(Hash{}) && len(d.ResultHash) == len(Hash{})
}

func accountName(a *namespace.Account) string        { return a.Name }
func namespaceAccount(s *namespace.Namespace) string { return s.Account }

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

// apply gives the version that a delta describes. The caller checks it and its hash.
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

// encodeFor encodes a version in the shortest form that a receiver with base can decode; a nil base: the receiver may have nothing.
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

// errMissingBase says that the receiver lacks a delta's base: the version has to be sent complete.
var errMissingBase = errors.New("rules: the version that a difference is from is not here")

// versionByHash gives a version that the receiver has; nil: it has none with that hash.
type versionByHash func(Hash) *Version

// onlyBase is for a receiver that has one version, or with nil none.
func onlyBase(v *Version) versionByHash {
	return func(h Hash) *Version {
		if v != nil && v.Hash() == h {
			return v
		}
		return nil
	}
}

// decodeVersion reads a version in any transfer form.
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
		return nil, errMissingBase // the base here is not the one that the delta was made from
	}
	if err := v.Check(); err != nil {
		return nil, err
	}
	return v, nil
}

// transferredHash is the hash by which the publisher knows a version that was sent, also where it can't be decoded: a member reports the fault
// under it.
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
