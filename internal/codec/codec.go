// Package codec provides the CBOR modes for rows, sections and messages. Encoding is
// deterministic, so that equal values have equal digests. Decoding is strict, so
// that no daemon reads anything other than what was written.
package codec

import "github.com/fxamacker/cbor/v2"

// Limits are limits for decoding. Zero selects the default of the CBOR library: 32
// levels, 131,072 elements and 131,072 pairs.
type Limits struct {
	MaxLevels   int // nested arrays and maps
	MaxElements int // elements of an array
	MaxPairs    int // key-value pairs of a map
}

var encMode = must(cbor.CoreDetEncOptions().EncMode())

// Marshal returns the deterministic CBOR encoding of a value.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// MessageEncMode returns the encoding mode for messages. Unlike Marshal, it encodes
// nil slices as empty ones, since rows in messages may contain empty slices. It
// also forbids tags.
func MessageEncMode() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	o.NilContainers = cbor.NilContainerAsEmpty
	o.TagsMd = cbor.TagsForbidden
	return must(o.EncMode())
}

// StrictDecMode returns a decoding mode that rejects unknown fields, duplicate keys,
// indefinite lengths, tags and trailing bytes.
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

// must panics if err is not nil. Errors can't happen, since the options are
// constant.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}
