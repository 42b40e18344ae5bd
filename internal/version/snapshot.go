package version

import (
	"github.com/peridotlb/peridotlb/internal/document"
)

// Snapshot is a complete, checked version. Assemble is the only way to make
// one, so that a partial or bad version cannot be applied. The zero value is
// version zero: no sections.
type Snapshot struct {
	manifest Manifest
	document document.Document
	blobs    map[Digest][]byte
}

// Manifest returns the manifest of the version.
func (s Snapshot) Manifest() Manifest { return s.manifest }

// Number returns the number of the version.
func (s Snapshot) Number() Number { return s.manifest.Number }

// Document returns the document of the version. It must not be changed.
func (s Snapshot) Document() document.Document { return s.document }

// Blob returns the canonical encoding of a section, or nil when the version
// does not have it.
func (s Snapshot) Blob(d Digest) []byte { return s.blobs[d] }
