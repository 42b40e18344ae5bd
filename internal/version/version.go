// Package version defines configuration versions: their numbers, manifests and
// complete snapshots.
package version

import (
	"encoding/hex"

	"github.com/peridotlb/peridotlb/internal/document"
)

// Number is the position of a version in the order of acceptance. Zero means
// that there is no version yet.
type Number uint64

// Position is a position in the sequence of changes at a source of versions.
// Zero precedes all changes.
type Position uint64

// Digest is the SHA-256 digest of a section's canonical encoding.
type Digest [32]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// SubmissionID identifies a submission. The submitting tool or the operator
// chooses it.
type SubmissionID string

// SectionRef references the content of one section in a version.
type SectionRef struct {
	_ struct{} `cbor:",toarray"`

	Name   document.SectionName
	Team   document.TeamName
	Digest Digest
	Size   uint32 // bytes of the canonical encoding
}

// Manifest lists the sections of a version, sorted by name.
type Manifest struct {
	_ struct{} `cbor:",toarray"`

	Number     Number
	Sections   []SectionRef
	Submission SubmissionID
	AcceptedMS int64 // acceptance time in Unix milliseconds
}
