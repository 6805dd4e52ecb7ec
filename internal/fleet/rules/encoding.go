package rules

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// encodingMode builds the library's tables at the first use: a process without rules does not pay for them.
var encodingMode = sync.OnceValue(func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are the library's own
	}
	return m
})

// decodingMode bounds what bytes from another process can make this one allocate.
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

func marshal(x any) []byte {
	data, err := encodingMode().Marshal(x)
	if err != nil {
		panic(err) // only structures of this package are marshalled
	}
	return data
}

func unmarshal(data []byte, into any) error { return decodingMode().Unmarshal(data, into) }
