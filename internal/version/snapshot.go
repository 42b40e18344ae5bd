package version

import (
	"github.com/peridotlb/peridotlb/internal/document"
)

// Snapshot is a complete, checked version. Only New, Assemble and
// AssembleFromBase create one, so that an incomplete or invalid version cannot
// be applied. The zero value is version zero, which has no sections.
type Snapshot struct {
	manifest Manifest
	document document.Document
	blobs    map[Digest][]byte
}

// Manifest returns the manifest of the version.
func (s Snapshot) Manifest() Manifest { return s.manifest }

// Number returns the number of the version.
func (s Snapshot) Number() Number { return s.manifest.Number }

// Document returns the document of the version. It must not be modified.
func (s Snapshot) Document() document.Document { return s.document }

// Blob returns the canonical encoding of a section, or nil if the version does
// not contain it.
func (s Snapshot) Blob(d Digest) []byte { return s.blobs[d] }
