package rules

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// encodingMode returns the deterministic CBOR encoder. It is built at its first use, so that a
// process without rules does not pay for the library's tables.
var encodingMode = sync.OnceValue(func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the library defines the options
	}
	return m
})

// decodingMode returns the CBOR decoder. Its limits bound the memory that a message from another
// process can make this one allocate.
var decodingMode = sync.OnceValue(func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   12,
		MaxArrayElements:  MaxEntries,
		MaxMapPairs:       16,
		IndefLength:       cbor.IndefLengthForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
})

// marshal returns the deterministic CBOR encoding of x.
func marshal(x any) []byte {
	data, err := encodingMode().Marshal(x)
	if err != nil {
		panic(err) // all marshalled types are known to be encodable
	}
	return data
}

// unmarshal decodes data into the value that into points to.
func unmarshal(data []byte, into any) error { return decodingMode().Unmarshal(data, into) }
