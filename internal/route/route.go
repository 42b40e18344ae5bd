// Package route holds the routing table of a version.
package route

import (
	"slices"
	"strings"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Match is the route of a call and the service it leads to. Both point into
// the table and must not be changed.
type Match struct {
	Route   *document.Route
	Service *document.Service
}

// Table is the immutable routing table of one version.
type Table struct {
	number  version.Number
	first   map[string]int32 // by path prefix without trailing slash: index into entries, plus one
	entries []entry
	longest int // length of the longest prefix in bytes
}

// entry is a route in the list of those with its prefix. A slice per prefix
// took one allocation per route, and 2.6 ms instead of 1.0 ms for 8,550 routes.
type entry struct {
	match Match
	next  int32 // index into entries, plus one; zero at the end
}

// New builds the table of a snapshot.
func New(s version.Snapshot) *Table { return FromDocument(s.Number(), s.Document()) }

// FromDocument builds the table of a checked document. Routes of unknown
// services are left out.
func FromDocument(number version.Number, d document.Document) *Table {
	services := make(map[backend.ServiceName]*document.Service)
	for i := range d.Sections {
		for j := range d.Sections[i].Services {
			s := &d.Sections[i].Services[j]
			services[s.Name] = s
		}
	}
	routes := 0
	for i := range d.Sections {
		routes += len(d.Sections[i].Routes)
	}
	t := &Table{number: number, first: make(map[string]int32, routes), entries: make([]entry, 0, routes)}
	// Backwards, so that the first of several routes with a prefix is found
	// first.
	for i := range slices.Backward(d.Sections) {
		for j := range slices.Backward(d.Sections[i].Routes) {
			r := &d.Sections[i].Routes[j]
			if s := services[r.Service]; s != nil {
				t.add(r, s)
			}
		}
	}
	return t
}

func (t *Table) add(r *document.Route, s *document.Service) {
	prefix := strings.TrimRight(r.PathPrefix, "/")
	t.longest = max(t.longest, len(prefix))
	t.entries = append(t.entries, entry{match: Match{r, s}, next: t.first[prefix]})
	t.first[prefix] = int32(len(t.entries))
}

// Number returns the version that the table was built from.
func (t *Table) Number() version.Number { return t.number }

// Match returns the route with the longest path prefix that accepts the method.
// A prefix ends at the end of a path segment: /stock matches /stock/beads and
// not /stockings.
func (t *Table) Match(method, path string) (Match, bool) {
	if path == "" || path[0] != '/' {
		return Match{}, false
	}
	for prefix := t.candidate(path); ; prefix = prefix[:strings.LastIndexByte(prefix, '/')] {
		for i := t.first[prefix]; i != 0; i = t.entries[i-1].next {
			m := t.entries[i-1].match
			if len(m.Route.Methods) == 0 || slices.Contains(m.Route.Methods, method) {
				return m, true
			}
		}
		if prefix == "" {
			return Match{}, false
		}
	}
}

// candidate returns the longest part of path that ends at a segment boundary
// and is no longer than the longest prefix. The bound keeps the cost of a long
// path with many segments small.
func (t *Table) candidate(path string) string {
	if len(path) <= t.longest {
		return path
	}
	if path[t.longest] == '/' {
		return path[:t.longest]
	}
	return path[:strings.LastIndexByte(path[:t.longest+1], '/')]
}
