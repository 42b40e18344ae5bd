package document

import (
	"slices"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// CheckIncremental checks a document that differs from base only in the changed
// sections. The base must have been checked before, and both documents must be
// canonical. Apart from the formatted size, which it does not check, it returns the
// same faults as CheckAccepted.
func CheckIncremental(base, d Document, changed func(SectionName) bool) error {
	if len(base.Sections) > 0 && len(d.Sections) <= MaxSections && validIncrement(base, d, changed) {
		return nil
	}
	c := newChecker()
	c.foreignNames = true
	c.alreadyChecked = func(n SectionName) bool { return !changed(n) }
	c.checkDocument(d)
	if len(c.faults) > 0 {
		return c.faults
	}
	return nil
}

// validIncrement reports whether the changed sections of d are valid on their own
// and together with the unchanged ones. It does not compare all routes with each
// other. If it returns false, d may still be valid.
//
// Because base is valid, two sections can only conflict over something that one of
// them does not have in base. Routes that base has in the same section are
// therefore not compared with other sections.
func validIncrement(base, d Document, changed func(SectionName) bool) bool {
	baseSections := make(map[SectionName]*Section, len(base.Sections))
	for i := range base.Sections {
		baseSections[base.Sections[i].Name] = &base.Sections[i]
	}
	services := make(map[backend.ServiceName]bool, len(d.Sections))
	added := addedRoutes{names: make(map[RouteName]int), prefixes: make(map[string]int)}
	var changedPart Document
	for i := range d.Sections {
		s := &d.Sections[i]
		for _, v := range s.Services {
			if services[v.Name] {
				return false
			}
			services[v.Name] = true
		}
		if changed(s.Name) {
			changedPart.Sections = append(changedPart.Sections, *s)
			added.add(i, baseSections[s.Name], s)
		}
	}
	for i := range base.Sections {
		for _, v := range base.Sections[i].Services {
			if !services[v.Name] {
				return false // a route of an unchanged section may use it
			}
		}
	}
	c := newChecker()
	c.foreignNames = true
	c.checkItems(changedPart)
	c.checkServiceReferences(changedPart, func(s backend.ServiceName) bool { return services[s] })
	c.checkOverlaps(changedPart)
	c.checkOrganisations(d)
	return len(c.faults) == 0 && !added.conflictsWith(d)
}

// addedRoutes maps the names and path prefixes of routes that base does not have
// in the same section to the index of their section.
type addedRoutes struct {
	names    map[RouteName]int
	prefixes map[string]int
}

// add records the routes that a section has and its predecessor lacks. The
// predecessor may be nil. If two sections add the same name or prefix, one entry
// replaces the other, and conflictsWith finds the conflict.
func (a *addedRoutes) add(section int, predecessor, s *Section) {
	if predecessor == nil {
		predecessor = &Section{}
	}
	// Both are sorted by name.
	next := 0
	for i := range s.Routes {
		r := &s.Routes[i]
		for next < len(predecessor.Routes) && predecessor.Routes[next].Name < r.Name {
			next++
		}
		exists := next < len(predecessor.Routes) && predecessor.Routes[next].Name == r.Name
		if !exists {
			a.names[r.Name] = section
		}
		if !exists || !sameMatch(&predecessor.Routes[next], r) {
			a.prefixes[r.PathPrefix] = section
		}
	}
}

func sameMatch(a, b *Route) bool {
	return a.Authority == b.Authority && a.PathPrefix == b.PathPrefix && slices.Equal(a.Methods, b.Methods)
}

// conflictsWith reports whether a section of d has the name or the path prefix of
// a route that was added to another section.
func (a *addedRoutes) conflictsWith(d Document) bool {
	if len(a.names)+len(a.prefixes) == 0 {
		return false
	}
	for i := range d.Sections {
		for j := range d.Sections[i].Routes {
			r := &d.Sections[i].Routes[j]
			if other, ok := a.names[r.Name]; ok && other != i {
				return true
			}
			if other, ok := a.prefixes[r.PathPrefix]; ok && other != i {
				return true
			}
		}
	}
	return false
}
