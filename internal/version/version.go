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

// Digest is the SHA-256 of a section's canonical encoding.
type Digest [32]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// SubmissionID identifies a submission; the tool or the operator chooses it.
type SubmissionID string

// SectionRef names the content of one section in a version.
type SectionRef struct {
	Name   document.SectionName `cbor:"1,keyasint"`
	Team   document.TeamName    `cbor:"2,keyasint"`
	Digest Digest               `cbor:"3,keyasint"`
	Size   uint32               `cbor:"4,keyasint"` // bytes of the canonical encoding
}

// Manifest states what a version consists of. Sections are sorted by name.
type Manifest struct {
	Number     Number       `cbor:"1,keyasint"`
	Sections   []SectionRef `cbor:"2,keyasint"`
	Submission SubmissionID `cbor:"3,keyasint"`
	AcceptedMS int64        `cbor:"4,keyasint"` // Unix milliseconds
}
