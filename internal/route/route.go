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
	number   version.Number
	prefixes map[string][]entry // by path prefix without trailing slash
	longest  int                // length of the longest prefix in bytes
}

type entry struct {
	methods []string // empty means every method
	match   Match
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
	t := &Table{number: number, prefixes: make(map[string][]entry)}
	for i := range d.Sections {
		for j := range d.Sections[i].Routes {
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
	t.prefixes[prefix] = append(t.prefixes[prefix], entry{r.Methods, Match{r, s}})
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
		for i := range t.prefixes[prefix] {
			e := &t.prefixes[prefix][i]
			if len(e.methods) == 0 || slices.Contains(e.methods, method) {
				return e.match, true
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
