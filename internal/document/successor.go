package document

import (
	"slices"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// CheckSuccessor checks a document whose sections other than the changed ones
// are part of base, which was checked before. Both must be canonical. It
// refuses the same documents as Check does, other than for the formatted size,
// with the same faults.
func CheckIncremental(base, d Document, changed func(SectionName) bool) error {
	if len(base.Sections) > 0 && len(d.Sections) <= MaxSections && validIncrement(base, d, changed) {
		return nil
	}
	c := newChecker()
	c.unchanged = func(n SectionName) bool { return !changed(n) }
	c.checkDocument(d)
	if len(c.faults) > 0 {
		return c.faults
	}
	return nil
}

// followsFrom reports whether the changed sections of d are valid, alone and
// with the unchanged ones, without comparing all routes with each other. False
// does not mean that d is at fault.
//
// Two sections can only be in conflict over something that one of them did not
// have in base, since base is valid. Routes that base has in the same section
// therefore need no comparison with other sections.
func validIncrement(base, d Document, changed func(SectionName) bool) bool {
	before := make(map[SectionName]*Section, len(base.Sections))
	for i := range base.Sections {
		before[base.Sections[i].Name] = &base.Sections[i]
	}
	services := make(map[backend.ServiceName]bool, len(d.Sections))
	fresh := addedRoutes{names: make(map[RouteName]int), prefixes: make(map[string]int)}
	var part Document
	for i := range d.Sections {
		s := &d.Sections[i]
		for _, v := range s.Services {
			if services[v.Name] {
				return false
			}
			services[v.Name] = true
		}
		if changed(s.Name) {
			part.Sections = append(part.Sections, *s)
			fresh.add(i, before[s.Name], s)
		}
	}
	for i := range base.Sections {
		for _, v := range base.Sections[i].Services {
			if !services[v.Name] {
				return false // a route of an unchanged section may refer to it
			}
		}
	}
	c := newChecker()
	c.checkItems(part)
	c.checkServiceReferences(part, func(s backend.ServiceName) bool { return services[s] })
	c.checkOverlaps(part)
	return len(c.faults) == 0 && !fresh.conflictsWith(d)
}

// addedRoutes holds the names and path prefixes of routes that base does not
// have in the same section, with the index of their section.
type addedRoutes struct {
	names    map[RouteName]int
	prefixes map[string]int
}

// add notes the routes of a section that its predecessor lacks, which may be
// nil. What two sections add is found by conflict.
func (a *addedRoutes) add(section int, before, s *Section) {
	if before == nil {
		before = &Section{}
	}
	// Both are sorted by name.
	next := 0
	for i := range s.Routes {
		r := &s.Routes[i]
		for next < len(before.Routes) && before.Routes[next].Name < r.Name {
			next++
		}
		known := next < len(before.Routes) && before.Routes[next].Name == r.Name
		if !known {
			a.names[r.Name] = section
		}
		if !known || !sameMatch(&before.Routes[next], r) {
			a.prefixes[r.PathPrefix] = section
		}
	}
}

func sameMatch(a, b *Route) bool {
	return a.Authority == b.Authority && a.PathPrefix == b.PathPrefix && slices.Equal(a.Methods, b.Methods)
}

// conflict reports whether another section of d has the name or the path prefix
// of an added route.
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
