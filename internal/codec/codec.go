// Package codec holds the CBOR modes of the rows, sections and messages: the
// encoding is deterministic, so that equal values have equal digests, and the
// decoding is strict, so that no daemon reads other data than was written.
package codec

import "github.com/fxamacker/cbor/v2"

// Limits bound what is decoded. Zero takes the default of the library: 32
// levels, 131,072 elements or pairs.
type Limits struct {
	MaxLevels   int // of arrays and maps within each other
	MaxElements int // of an array
	MaxPairs    int // of a map
}

var encMode = must(cbor.CoreDetEncOptions().EncMode())

// Marshal returns the deterministic encoding of a value.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// MessageMode returns the mode of Marshal with nil slices encoded like empty
// ones, for messages, whose rows hold slices without elements.
func MessageEncMode() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	o.NilContainers = cbor.NilContainerAsEmpty
	o.TagsMd = cbor.TagsForbidden
	return must(o.EncMode())
}

// Strict returns a mode that refuses unknown fields, keys that occur twice,
// lengths that are not given in advance, tags and trailing bytes.
func StrictDecMode(l Limits) cbor.DecMode {
	return must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   l.MaxLevels,
		MaxArrayElements:  l.MaxElements,
		MaxMapPairs:       l.MaxPairs,
	}.DecMode())
}

// must panics on an error of constant options.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}
