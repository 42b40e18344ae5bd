package version

import (
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/peridotlb/peridotlb/internal/document"
)

// Errors of Assemble. Each means that the version must not be applied.
var (
	ErrNoNumber         = errors.New("version number is zero")
	ErrUnsorted         = errors.New("sections are not sorted by unique names")
	ErrMissingBlob      = errors.New("content of a section is missing")
	ErrDigestMismatch   = errors.New("content of a section does not match its digest")
	ErrSizeMismatch     = errors.New("content of a section does not match its size")
	ErrIdentityMismatch = errors.New("name or team of a section differs from the manifest")
)

// DigestOf returns the digest of a section's canonical encoding.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// New creates a version from a document. The error wraps document.Faults if the
// document is invalid.
func New(n Number, id SubmissionID, acceptedMS int64, d document.Document) (Snapshot, error) {
	d = document.Canonical(d)
	m := Manifest{Number: n, Submission: id, AcceptedMS: acceptedMS}
	blobs := make(map[Digest][]byte, len(d.Sections))
	for _, s := range d.Sections {
		data, err := document.EncodeSection(s)
		if err != nil {
			return Snapshot{}, fmt.Errorf("create version %d: %w", n, err)
		}
		digest := DigestOf(data)
		blobs[digest] = data
		m.Sections = append(m.Sections, SectionRef{Name: s.Name, Team: s.Team, Digest: digest, Size: uint32(len(data))})
	}
	// Check the document before the order of the manifest, so that a duplicate
	// section name is reported as a fault of the document.
	if err := document.CheckAccepted(d); err != nil {
		return Snapshot{}, fmt.Errorf("create version %d: %w", n, err)
	}
	return assemble(m, blobs, d)
}

// Assemble creates a version from its manifest and the content of its sections.
// It verifies every section and checks the whole document. Content that the
// manifest does not name is ignored. The blobs must not be modified afterwards.
func Assemble(m Manifest, blobs map[Digest][]byte) (Snapshot, error) {
	return AssembleFromBase(Snapshot{}, m, blobs)
}

// AssembleFromBase is like Assemble, but reuses the sections that base
// contains. They were verified with base. Checks that concern several sections
// are repeated for the whole document.
func AssembleFromBase(base Snapshot, m Manifest, blobs map[Digest][]byte) (Snapshot, error) {
	known := base.sectionsByRef()
	all := make(map[Digest][]byte, len(m.Sections))
	changed := make(map[document.SectionName]bool)
	var d document.Document
	for i, ref := range m.Sections {
		if i > 0 && m.Sections[i-1].Name >= ref.Name {
			return Snapshot{}, fmt.Errorf("assemble version %d: section %q: %w", m.Number, ref.Name, ErrUnsorted)
		}
		s, ok := known[ref]
		if ok {
			all[ref.Digest] = base.blobs[ref.Digest]
		} else {
			var err error
			if s, err = verifySection(ref, blobs[ref.Digest]); err != nil {
				return Snapshot{}, fmt.Errorf("assemble version %d: section %q: %w", m.Number, ref.Name, err)
			}
			all[ref.Digest] = blobs[ref.Digest]
			changed[ref.Name] = true
		}
		d.Sections = append(d.Sections, s)
	}
	if err := document.CheckIncremental(base.document, d, func(n document.SectionName) bool { return changed[n] }); err != nil {
		return Snapshot{}, fmt.Errorf("assemble version %d: %w", m.Number, err)
	}
	return assemble(m, all, d)
}

// sectionsByRef returns the decoded sections keyed by their references. A
// section is reused only if name, team, digest and size are all equal.
func (s Snapshot) sectionsByRef() map[SectionRef]document.Section {
	known := make(map[SectionRef]document.Section, len(s.document.Sections))
	for i, ref := range s.manifest.Sections {
		known[ref] = s.document.Sections[i]
	}
	return known
}

// verifySection decodes the content of a section and compares it with the
// manifest.
func verifySection(ref SectionRef, data []byte) (document.Section, error) {
	if data == nil {
		return document.Section{}, ErrMissingBlob
	}
	if uint64(len(data)) != uint64(ref.Size) {
		return document.Section{}, ErrSizeMismatch
	}
	if DigestOf(data) != ref.Digest {
		return document.Section{}, ErrDigestMismatch
	}
	s, err := document.DecodeSection(data)
	if err != nil {
		return document.Section{}, err
	}
	if s.Name != ref.Name || s.Team != ref.Team {
		return document.Section{}, ErrIdentityMismatch
	}
	return s, nil
}

// assemble creates a snapshot from verified parts and keeps only the blobs that
// the manifest names.
func assemble(m Manifest, blobs map[Digest][]byte, d document.Document) (Snapshot, error) {
	if m.Number == 0 {
		return Snapshot{}, fmt.Errorf("assemble version: %w", ErrNoNumber)
	}
	kept := make(map[Digest][]byte, len(m.Sections))
	for _, ref := range m.Sections {
		kept[ref.Digest] = blobs[ref.Digest]
	}
	return Snapshot{manifest: m, document: d, blobs: kept}, nil
}
