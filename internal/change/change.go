// Package change compares documents by section.
package change

import (
	"bytes"
	"slices"

	"github.com/peridotlb/peridotlb/internal/document"
)

// Change is the difference between two documents. All lists are sorted by name.
type Change struct {
	Changed []document.Section     // new and replaced sections
	Removed []document.SectionName // sections that are gone
}

// Empty reports whether the documents were equal.
func (c Change) IsEmpty() bool { return len(c.Changed)+len(c.Removed) == 0 }

// Names returns the names of all sections in the change, sorted.
func (c Change) Names() []document.SectionName {
	names := slices.Clone(c.Removed)
	for _, s := range c.Changed {
		names = append(names, s.Name)
	}
	slices.Sort(names)
	return names
}

// Between returns the change that turns the document from into the document to.
func Between(from, to document.Document) (Change, error) {
	before := sectionsByName(from)
	after := sectionsByName(to)
	var c Change
	for _, s := range to.Sections {
		old, ok := before[s.Name]
		if ok {
			same, err := EqualSections(old, s)
			if err != nil {
				return Change{}, err
			}
			if same {
				continue
			}
		}
		c.Changed = append(c.Changed, s)
	}
	for _, s := range from.Sections {
		if _, ok := after[s.Name]; !ok {
			c.Removed = append(c.Removed, s.Name)
		}
	}
	slices.SortFunc(c.Changed, func(a, b document.Section) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	slices.Sort(c.Removed)
	return c, nil
}

// Equal reports whether two sections have the same canonical encoding.
func EqualSections(a, b document.Section) (bool, error) {
	x, err := document.EncodeSection(a)
	if err != nil {
		return false, err
	}
	y, err := document.EncodeSection(b)
	if err != nil {
		return false, err
	}
	return bytes.Equal(x, y), nil
}

// Split parts a change into the sections that a team may submit and the names
// of the others. A section is the team's when it names the team both before
// and after the change, as far as it exists.
func (c Change) SplitByTeam(from document.Document, team document.TeamName) (own Change, foreign []document.SectionName) {
	before := sectionsByName(from)
	owned := func(name document.SectionName) bool {
		old, ok := before[name]
		return !ok || old.Team == team
	}
	for _, s := range c.Changed {
		if s.Team == team && owned(s.Name) {
			own.Changed = append(own.Changed, s)
		} else {
			foreign = append(foreign, s.Name)
		}
	}
	for _, name := range c.Removed {
		if owned(name) {
			own.Removed = append(own.Removed, name)
		} else {
			foreign = append(foreign, name)
		}
	}
	slices.Sort(foreign)
	return own, foreign
}

func sectionsByName(d document.Document) map[document.SectionName]document.Section {
	m := make(map[document.SectionName]document.Section, len(d.Sections))
	for _, s := range d.Sections {
		m[s.Name] = s
	}
	return m
}
