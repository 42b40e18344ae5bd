package document

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/peridotlb/peridotlb/internal/codec"
)

// maxCBORDepth is the maximum nesting of CBOR arrays and maps in an encoded
// section: the section, its routes, one route, its shares, one share.
const maxCBORDepth = 5

var sectionDecMode = codec.StrictDecMode(codec.Limits{MaxLevels: maxCBORDepth})

var errNotCanonical = errors.New("encoding is not canonical")

// Canonical returns the document in canonical order: sections, services and
// routes are sorted by name, methods and suspended hosts are sorted, and empty
// lists are nil.
func Canonical(d Document) Document {
	sections := make([]Section, len(d.Sections))
	for i, s := range d.Sections {
		sections[i] = canonicalSection(s)
	}
	slices.SortStableFunc(sections, func(a, b Section) int { return cmp.Compare(a.Name, b.Name) })
	return Document{Sections: emptyToNil(sections)}
}

func canonicalSection(s Section) Section {
	s.Services = emptyToNil(slices.Clone(s.Services))
	for i := range s.Services {
		s.Services[i].SuspendedHosts = sortedOrNil(s.Services[i].SuspendedHosts)
	}
	slices.SortStableFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	s.Routes = emptyToNil(slices.Clone(s.Routes))
	for i := range s.Routes {
		s.Routes[i].Methods = sortedOrNil(s.Routes[i].Methods)
		s.Routes[i].Split = emptyToNil(s.Routes[i].Split)
	}
	s.Organisations = canonicalOrganisations(s.Organisations)
	s.Unreadable = sortedOrNil(s.Unreadable)
	slices.SortStableFunc(s.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func sortedOrNil[T cmp.Ordered](items []T) []T {
	return emptyToNil(slices.Sorted(slices.Values(items)))
}

func emptyToNil[T any](items []T) []T {
	if len(items) == 0 {
		return nil
	}
	return items
}

// EncodeSection returns the canonical encoding of a section. It does not depend on
// the order of the items in the section.
func EncodeSection(s Section) ([]byte, error) {
	data, err := codec.Marshal(canonicalSection(s))
	if err != nil {
		return nil, fmt.Errorf("encode section %q: %w", s.Name, err)
	}
	return data, nil
}

// DecodeSection decodes the canonical encoding of a section. Any other encoding is
// an error, so that a section has exactly one digest. The content of the section
// is not checked.
func DecodeSection(data []byte) (Section, error) {
	var s Section
	if err := sectionDecMode.Unmarshal(data, &s); err != nil {
		return Section{}, fmt.Errorf("decode section: %w", err)
	}
	canonical, err := EncodeSection(s)
	if err != nil {
		return Section{}, fmt.Errorf("decode section: %w", err)
	}
	if !bytes.Equal(canonical, data) {
		return Section{}, fmt.Errorf("decode section %q: %w", s.Name, errNotCanonical)
	}
	return s, nil
}
