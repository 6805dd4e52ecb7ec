package rules

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"croftlock/internal/fleet/namespace"
)

// A version travels and is kept in one of three forms: as it is written, which also processes of an earlier build read; squeezed; or as what is
// different from another version that the receiver has.
const (
	formSqueezed  = 1
	formDifferent = 2
	plainUpTo     = 4 << 10 // bytes that go as they are written
	wholeUpTo     = 1 << 10 // bytes that go whole: a difference would save little
)

var errForm = errors.New("rules: a version in a form that can't be read")

// squeeze makes what is written of a version shorter.
func squeeze(data []byte) []byte {
	if len(data) <= plainUpTo {
		return data
	}
	return deflate(formSqueezed, data)
}

func deflate(form byte, data []byte) []byte {
	var b bytes.Buffer
	b.WriteByte(form)
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err == nil {
		if _, err = w.Write(data); err == nil {
			err = w.Close()
		}
	}
	if err != nil {
		panic(err) // a buffer takes all, and the level is one that there is
	}
	return b.Bytes()
}

// inflate is bounded: a few bytes can stand for very many.
func inflate(data []byte, most int64) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), most+1))
	switch {
	case err != nil:
		return nil, errForm
	case int64(len(out)) > most:
		return nil, fmt.Errorf("rules: over %d bytes", most)
	}
	return out, nil
}

// loosen gives back what is written of a version.
func loosen(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != formSqueezed {
		return data, nil
	}
	return inflate(data[1:], mostBytes)
}

// run is pieces of a version: so many of the base, from one of them on, or one of its own.
type run[T any] struct {
	_       struct{} `cbor:",toarray"`
	From, N uint32
	Own     *T
}

// different is what a version has that its base has not: everything but accounts and namespaces, and the runs of these.
type different struct {
	_        struct{} `cbor:",toarray"`
	Base     []byte   // hash of the base
	Is       []byte   // hash of what comes out
	Head     []byte
	Accounts []run[namespace.Account]
	Spaces   []run[namespace.Space]
}

func runs[T any](all, base []T, name func(*T) string) (out []run[T]) {
	at := map[string]uint32{}
	for i := range base {
		at[name(&base[i])] = uint32(i)
	}
	for i := range all {
		j, has := at[name(&all[i])]
		if has = has && bytes.Equal(marshal(all[i]), marshal(base[j])); !has {
			out = append(out, run[T]{Own: &all[i]})
			continue
		}
		if n := len(out); n > 0 && out[n-1].Own == nil && out[n-1].From+out[n-1].N == j {
			out[n-1].N++
			continue
		}
		out = append(out, run[T]{From: j, N: 1})
	}
	return out
}

func whole[T any](all []run[T], base []T) (out []T, err error) {
	for _, r := range all {
		switch {
		case r.Own != nil && r.N == 0:
			out = append(out, *r.Own)
		case r.Own == nil && r.N > 0 && uint64(r.From)+uint64(r.N) <= uint64(len(base)):
			out = append(out, base[r.From:r.From+r.N]...)
		default:
			return nil, errForm
		}
		if len(out) > MaxEntries {
			return nil, errForm
		}
	}
	return out, nil
}

func accountName(a *namespace.Account) string { return a.Name }
func spaceName(s *namespace.Space) string     { return s.Account }

func book(v *Version) namespace.Book {
	if v.Book == nil {
		return namespace.Book{}
	}
	return *v.Book
}

// travel gives a version as it goes to one that has base; nil: to one of which it is not known what it has.
func (v *Version) travel(base *Version) []byte {
	data := squeeze(v.Encode())
	if base == nil || len(data) <= wholeUpTo {
		return data
	}
	b, was, h, is := book(v), book(base), base.Hash(), v.Hash()
	head := *v
	if v.Book != nil {
		rest := b
		rest.Accounts, rest.Spaces = nil, nil
		head.Book = &rest
	}
	d := different{Base: h[:], Is: is[:], Head: marshal(head), Accounts: runs(b.Accounts, was.Accounts, accountName), Spaces: runs(b.Spaces, was.Spaces, spaceName)}
	if short := deflate(formDifferent, marshal(d)); len(short) < len(data) {
		return short
	}
	return data
}

// errBase says that the version that a difference is from is not here: the whole has to come.
var errBase = errors.New("rules: the version that a difference is from is not here")

// arrive reads a version as it travels. have gives a version that is here, by its hash.
func arrive(data []byte, have func(Hash) *Version) (*Version, error) {
	if len(data) == 0 || data[0] != formDifferent {
		data, err := loosen(data)
		if err != nil {
			return nil, err
		}
		return Decode(data)
	}
	data, err := inflate(data[1:], mostBytes)
	if err != nil {
		return nil, err
	}
	var d different
	if decoding().Unmarshal(data, &d) != nil || len(d.Base) != len(Hash{}) || len(d.Is) != len(Hash{}) {
		return nil, errForm
	}
	base := have(Hash(d.Base))
	if base == nil {
		return nil, errBase
	}
	v, was := &Version{}, book(base)
	if decoding().Unmarshal(d.Head, v) != nil {
		return nil, errForm
	}
	b := book(v)
	if b.Accounts, err = whole(d.Accounts, was.Accounts); err != nil {
		return nil, err
	}
	if b.Spaces, err = whole(d.Spaces, was.Spaces); err != nil {
		return nil, err
	}
	if v.Book != nil || len(b.Accounts)+len(b.Spaces) > 0 {
		v.Book = &b
	}
	if v.Hash() != Hash(d.Is) {
		return nil, errBase // what is here is not what it was made from
	}
	if err := v.Check(); err != nil {
		return nil, err
	}
	return v, nil
}
