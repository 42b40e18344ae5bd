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
// Zero precedes all changes. A source that has lost changes begins a new era, in which it
// gives out the same sequence numbers again. A position of a later era is greater.
type Position uint64

// sequenceBits is the number of low bits of a position that hold the sequence number. At
// 16,000 changes per second they last for 34 years.
const sequenceBits = 44

// NewPosition returns the position of a sequence number in an era.
func NewPosition(era, sequence uint64) Position {
	return Position(era<<sequenceBits | sequence&(1<<sequenceBits-1))
}

// Era returns the era of the position.
func (p Position) Era() uint64 { return uint64(p) >> sequenceBits }

// Sequence returns the sequence number of the position in its era.
func (p Position) Sequence() uint64 { return uint64(p) & (1<<sequenceBits - 1) }

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
