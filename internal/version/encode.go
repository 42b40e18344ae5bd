package version

import (
	"fmt"

	"github.com/peridotlb/peridotlb/internal/codec"
	"github.com/peridotlb/peridotlb/internal/document"
)

var manifestDecoding = codec.StrictDecMode(codec.Limits{MaxLevels: 4, MaxElements: document.MaxSections})

// EncodeManifest returns the CBOR encoding of a manifest, as kept in the table.
func EncodeManifest(m Manifest) ([]byte, error) {
	data, err := codec.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode manifest of version %d: %w", m.Number, err)
	}
	return data, nil
}

// DecodeManifest decodes a manifest strictly.
func DecodeManifest(data []byte) (Manifest, error) {
	var m Manifest
	if err := manifestDecoding.Unmarshal(data, &m); err != nil {
		return Manifest{}, fmt.Errorf("decode manifest: %w", err)
	}
	return m, nil
}
