// Package version holds configuration versions: their numbers, manifests and
// complete snapshots.
package version

import (
	"encoding/hex"

	"github.com/peridotlb/peridotlb/internal/document"
)

// Number is the position of a version in the order of acceptance. Zero means
// that there is none yet.
type Number uint64

// Position is a place in the sequence of changes at a source of versions. Zero is
// before all of them.
type Position uint64

// Digest is the SHA-256 of a section's canonical encoding.
type Digest [32]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// SubmissionID identifies a submission; the tool or the operator chooses it.
type SubmissionID string

// SectionRef names the content of one section in a version.
type SectionRef struct {
	_ struct{} `cbor:",toarray"`

	Name   document.SectionName
	Team   document.TeamName
	Digest Digest
	Size   uint32 // bytes of the canonical encoding
}

// Manifest states what a version consists of. Sections are sorted by name.
type Manifest struct {
	_ struct{} `cbor:",toarray"`

	Number     Number
	Sections   []SectionRef
	Submission SubmissionID
	AcceptedMS int64 // Unix milliseconds
}
