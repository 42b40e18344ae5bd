package version

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlb/peridotlb/internal/document"
)

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   4,
		MaxArrayElements:  document.MaxSections,
	}.DecMode())
)

// must panics on an error of constant options.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeManifest returns the CBOR encoding of a manifest, as kept in the table.
func EncodeManifest(m Manifest) ([]byte, error) {
	data, err := encoding.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode manifest of version %d: %w", m.Number, err)
	}
	return data, nil
}

// DecodeManifest decodes a manifest strictly.
func DecodeManifest(data []byte) (Manifest, error) {
	var m Manifest
	if err := decoding.Unmarshal(data, &m); err != nil {
		return Manifest{}, fmt.Errorf("decode manifest: %w", err)
	}
	return m, nil
}
