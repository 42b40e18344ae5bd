package route

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

func newTable(routes ...document.Route) *Table {
	services := []document.Service{{Name: "stock"}}
	return FromDocument(7, document.Document{Sections: []document.Section{{Services: services, Routes: routes}}})
}

// Guards against prefixes that match inside a segment, against a longer
// prefix of another method that hides a shorter one, and against a choice among
// routes that differ in a trailing slash that depends on how the table is built.
func TestMatch(t *testing.T) {
	tab := newTable(
		document.Route{Name: "stock", PathPrefix: "/stock", Service: "stock", Methods: []string{"GET", "POST"}},
		document.Route{Name: "beads", PathPrefix: "/stock/beads/", Service: "stock", Methods: []string{"GET"}},
		document.Route{Name: "first", PathPrefix: "/twice", Service: "stock"},
		document.Route{Name: "second", PathPrefix: "/twice/", Service: "stock"},
		document.Route{Name: "dangling", PathPrefix: "/other", Service: "absent"},
	)
	for _, c := range []struct{ method, path, want string }{
		{"GET", "/stock", "stock"},
		{"GET", "/stock/", "stock"},
		{"GET", "/stockings", ""},
		{"GET", "/stock/beads", "beads"},
		{"GET", "/stock/beads/9/x", "beads"},
		{"GET", "/stock/beadsy", "stock"},
		{"POST", "/stock/beads/9", "stock"},
		{"PUT", "/stock", ""},
		{"GET", "/", ""},
		{"GET", "", ""},
		{"GET", "*", ""},
		{"GET", "/other", ""},
		{"GET", "/twice/x", "first"},
	} {
		m, ok := tab.Match(c.method, "", c.path)
		got := ""
		if ok {
			got = string(m.Route.Name)
		}
		if got != c.want {
			t.Errorf("%s %q: got route %q, want %q", c.method, c.path, got, c.want)
		}
	}
}

// Guards against a lookup that differs from comparing every prefix.
func TestMatchAgreesWithSearch(t *testing.T) {
	path := rapid.StringMatching(`(/[ab]{0,2}){1,4}`)
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfDistinct(path, func(p string) string { return strings.TrimRight(p, "/") }).Draw(t, "prefixes")
		var routes []document.Route
		for _, p := range prefixes {
			routes = append(routes, document.Route{PathPrefix: p, Service: "stock"})
		}
		call := path.Draw(t, "call")
		want := -1
		for _, p := range prefixes {
			p = strings.TrimRight(p, "/")
			if call == p || strings.HasPrefix(call, p+"/") {
				want = max(want, len(p))
			}
		}
		got := -1
		if m, ok := newTable(routes...).Match("GET", "", call); ok {
			got = len(strings.TrimRight(m.Route.PathPrefix, "/"))
		}
		if got != want {
			t.Fatalf("%q among %q: got prefix length %d, want %d", call, prefixes, got, want)
		}
	})
}

func largeTable() (*Table, []string) {
	var d document.Document
	var paths []string
	for i := range 57 {
		s := document.Section{Services: []document.Service{{Name: backend.ServiceName(fmt.Sprintf("service-%d", i))}}}
		for j := range 8 {
			prefix := fmt.Sprintf("/service-%d/resource-%d", i, j)
			s.Routes = append(s.Routes, document.Route{PathPrefix: prefix, Service: s.Services[0].Name, Methods: []string{"GET", "POST"}})
			paths = append(paths, prefix+"/item/4711")
		}
		d.Sections = append(d.Sections, s)
	}
	return FromDocument(1, d), paths
}

// Guards against a lookup that allocates on every call.
func TestMatchDoesNotAllocate(t *testing.T) {
	tab, paths := largeTable()
	if got := testing.AllocsPerRun(100, func() { tab.Match("POST", "", paths[100]) }); got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}

func BenchmarkMatch(b *testing.B) {
	tab, paths := largeTable()
	slices.Reverse(paths)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tab.Match("POST", "", paths[i%len(paths)])
	}
}

// BenchmarkNew builds the table of 57 sections of 20 kB.
func BenchmarkNew(b *testing.B) {
	var d document.Document
	for i := range 57 {
		s := document.Section{Services: []document.Service{{Name: backend.ServiceName(fmt.Sprintf("service-%02d", i))}}}
		for j := range 150 {
			s.Routes = append(s.Routes, document.Route{PathPrefix: fmt.Sprintf("/s%02d/%d/%s", i, j, strings.Repeat("x", 40)), Methods: []string{"GET"}, Service: s.Services[0].Name})
		}
		d.Sections = append(d.Sections, s)
	}
	b.ReportAllocs()
	for b.Loop() {
		FromDocument(1, d)
	}
}
