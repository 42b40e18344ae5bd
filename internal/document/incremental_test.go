package document_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

// Guards against an incremental check that accepts or refuses a document
// differently from the full check, because it does not compare unchanged
// sections.
func TestCheckIncrementalAgreesWithCheck(t *testing.T) {
	// Few different names make conflicts within and between sections likely.
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"})
	routeName := rapid.StringMatching("[a-e][a-e]")
	service := rapid.SampledFrom([]string{"a", "a", "a", "b", "c"}) // "a" exists in most documents
	route := rapid.Custom(func(t *rapid.T) document.Route {
		return document.Route{
			Name: document.RouteName(routeName.Draw(t, "route")), PathPrefix: "/" + name.Draw(t, "prefix"),
			Methods: rapid.SampledFrom([][]string{nil, {"GET"}, {"POST"}, {"GET", "POST"}}).Draw(t, "methods"),
			Service: backend.ServiceName(service.Draw(t, "service")), Timeout: 1e9, Retries: rapid.SampledFrom([]uint8{1, 2, 3, 4, 5, 6, 7, 8, 99}).Draw(t, "retries"),
		}
	})
	editSection := func(t *rapid.T, s document.Section) document.Section {
		for range rapid.IntRange(1, 3).Draw(t, "edits") {
			switch i := rapid.IntRange(0, 9).Draw(t, "edit"); {
			case i < 4:
				s.Routes = append(slices.Clone(s.Routes), route.Draw(t, "route"))
			case i < 6:
				s.Services = append(slices.Clone(s.Services), document.Service{Name: backend.ServiceName(name.Draw(t, "service")), Slots: 1, Connections: 1})
			case i < 7 && len(s.Routes) > 0:
				s.Routes = s.Routes[1:]
			case i < 8 && len(s.Services) > 0:
				s.Services = s.Services[1:]
			case len(s.Routes) > 0:
				s.Routes = slices.Clone(s.Routes)
				s.Routes[len(s.Routes)-1] = route.Draw(t, "route")
			}
		}
		return s
	}
	var accepted, refused int
	rapid.Check(t, func(t *rapid.T) {
		base := document.Document{Sections: []document.Section{{Name: "s0", Team: "t", Services: []document.Service{{Name: "a", Slots: 1, Connections: 1}}}}}
		for range 12 {
			next := document.Document{Sections: slices.Clone(base.Sections)}
			if len(next.Sections) > 1 && rapid.IntRange(0, 9).Draw(t, "remove") == 0 {
				i := rapid.IntRange(0, len(next.Sections)-1).Draw(t, "section")
				next.Sections = slices.Delete(next.Sections, i, i+1)
			}
			for range rapid.IntRange(1, 2).Draw(t, "changes") {
				s := document.Section{Name: document.SectionName(fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "section"))), Team: "t"}
				i := slices.IndexFunc(next.Sections, func(o document.Section) bool { return o.Name == s.Name })
				if i < 0 {
					next.Sections, i = append(next.Sections, s), len(next.Sections)
				}
				next.Sections[i] = editSection(t, next.Sections[i])
			}
			next = document.Canonical(next)
			changed := func(n document.SectionName) bool {
				same := func(s document.Section) bool { return s.Name == n }
				i, j := slices.IndexFunc(base.Sections, same), slices.IndexFunc(next.Sections, same)
				return i < 0 || !reflect.DeepEqual(base.Sections[i], next.Sections[j])
			}
			got, want := document.CheckIncremental(base, next, changed), document.Check(next)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("got %v, want %v, for %+v after %+v", got, want, next, base)
			}
			if want == nil {
				base = next
				accepted++
			} else {
				refused++
			}
		}
	})
	t.Logf("%d documents accepted, %d refused", accepted, refused)
}
