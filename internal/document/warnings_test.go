package document

import (
	"strings"
	"testing"
	"time"
)

// Guards against entries that never match and contradicting settings that are not
// reported, and against warnings about a sound document.
func TestWarnings(t *testing.T) {
	const s = time.Second
	service := Service{Name: "stock", Slots: 9, Connections: 130}
	sound := Route{Name: "a", PathPrefix: "/stock", Service: "stock", Timeout: 2 * s, Target: s, Retries: 1}
	for name, c := range map[string]struct {
		services []Service
		routes   []Route
		limits   *Limits
		want     string // part of the only warning; empty for none
	}{
		"sound": {},
		"hidden by a trailing slash": {
			routes: []Route{{Name: "b", PathPrefix: "/stock/", Service: "stock", Timeout: s}},
			want:   `route "b": it never matches: its calls match "a" first`,
		},
		"longer prefix":   {routes: []Route{{Name: "b", PathPrefix: "/stock/x", Service: "stock", Timeout: s}}},
		"other authority": {routes: []Route{{Name: "b", PathPrefix: "/stock", Authority: "shop", Service: "stock", Timeout: s}}},
		"authorities that are compared alike": {
			routes: []Route{{Name: "b", PathPrefix: "/x", Authority: "shop", Service: "stock", Timeout: s}, {Name: "c", PathPrefix: "/x", Authority: "Shop:80", Service: "stock", Timeout: s}},
			want:   `route "c": it never matches`,
		},
		"methods covered by two": {
			routes: []Route{
				{Name: "b", PathPrefix: "/x", Methods: []string{"GET"}, Service: "stock", Timeout: s},
				{Name: "c", PathPrefix: "/x", Methods: []string{"PUT"}, Service: "stock", Timeout: s},
				{Name: "d", PathPrefix: "/x/", Methods: []string{"GET", "PUT"}, Service: "stock", Timeout: s},
			},
			want: `route "d": it never matches: its calls match "b", "c" first`,
		},
		"one method left": {routes: []Route{
			{Name: "b", PathPrefix: "/x", Methods: []string{"GET"}, Service: "stock", Timeout: s},
			{Name: "c", PathPrefix: "/x/", Methods: []string{"GET", "PUT"}, Service: "stock", Timeout: s},
		}},
		"literal prefixes": {routes: []Route{
			{Name: "b", PathPrefix: "/x/", LiteralPrefix: true, Service: "stock", Timeout: s},
			{Name: "c", PathPrefix: "/x", LiteralPrefix: true, Service: "stock", Timeout: s},
		}},
		"target above the timeout": {
			routes: []Route{{Name: "b", PathPrefix: "/x", Service: "stock", Timeout: s, Target: 2 * s}},
			want:   "the target 2s is longer than the timeout 1s",
		},
		"retry does not fit": {
			routes: []Route{{Name: "b", PathPrefix: "/x", Service: "stock", Timeout: s, Target: 600 * time.Millisecond, Retries: 2}},
			want:   "a retry does not fit",
		},
		"timeout above the limits": {
			routes: []Route{{Name: "b", PathPrefix: "/x", Service: "stock", Timeout: 20 * s}}, limits: &Limits{HeaderTimeout: 3 * s, IdleTimeout: 15 * s},
			want: "the timeout 20s is longer than",
		},
		"connections below slots": {
			services: []Service{{Name: "few", Slots: 9, Connections: 4}},
			routes:   []Route{{Name: "b", PathPrefix: "/x", Service: "few", Timeout: s}}, want: "4 connections limit it",
		},
		"unused service": {services: []Service{{Name: "unused", Slots: 9}}, want: `service "unused": no route leads to it`},
	} {
		d := Document{Sections: []Section{{Name: "s", Limits: c.limits, Services: append([]Service{service}, c.services...), Routes: append([]Route{sound}, c.routes...)}}}
		got := Warnings(d)
		if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || !strings.Contains(got[0], c.want)) {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

// TestChangeWarnings guards against a version that takes the last organisation away
// without a word to the operator.
func TestChangeWarnings(t *testing.T) {
	with := Document{Sections: []Section{{Organisations: []Organisation{{Name: "acme"}}}}}
	closed, open := Document{Sections: []Section{{KeysRequired: true}}}, Document{}
	for _, c := range []struct {
		from, to Document
		want     int
	}{{with, open, 1}, {closed, open, 1}, {with, closed, 0}, {with, with, 0}, {open, open, 0}, {open, with, 0}} {
		if got := ChangeWarnings(c.from, c.to); len(got) != c.want {
			t.Errorf("from %+v to %+v: got warnings %v, want %d", c.from, c.to, got, c.want)
		}
	}
}
