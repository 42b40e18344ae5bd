package document

import (
	"fmt"
	"slices"
	"strings"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// Warnings returns what is permitted in a document but can't be intended: routes and
// services that never get a call, and settings that contradict each other.
func Warnings(d Document) []string {
	d = Canonical(d)
	w := warner{used: make(map[backend.ServiceName]bool), earlier: make(map[pathKey][]*Route)}
	for _, s := range d.Sections {
		if s.Limits != nil {
			w.limits = *s.Limits
		}
	}
	for _, s := range d.Sections {
		for i := range s.Routes {
			w.checkRoute(itemLabel{section: s.Name, kind: "route", name: string(s.Routes[i].Name)}, &s.Routes[i])
		}
	}
	for _, s := range d.Sections {
		for i := range s.Services {
			w.checkService(itemLabel{section: s.Name, kind: "service", name: string(s.Services[i].Name)}, &s.Services[i])
		}
	}
	return w.warnings
}

// ChangeWarnings returns what a document changes against an earlier one and probably
// should not.
func ChangeWarnings(from, to Document) []string {
	if from.NeedsKeys() && !to.NeedsKeys() {
		return []string{"the last organisation is taken away: calls of all routes need no key any more; set keys-required to refuse them instead"}
	}
	return nil
}

// pathKey is the key under which the routing table finds routes.
type pathKey struct{ authority, prefix string }

// warner collects warnings.
type warner struct {
	warnings []string
	limits   Limits
	used     map[backend.ServiceName]bool
	earlier  map[pathKey][]*Route // in the order in which the routing table tries them
}

func (w *warner) add(label itemLabel, format string, args ...any) {
	w.warnings = append(w.warnings, label.String()+": "+fmt.Sprintf(format, args...))
}

func (w *warner) checkRoute(label itemLabel, r *Route) {
	for _, name := range r.Services() {
		w.used[name] = true
	}
	w.checkHidden(label, r)
	longest := w.limits.HeaderTimeout + w.limits.IdleTimeout
	switch {
	case r.Target > r.Timeout:
		w.add(label, "the target %s is longer than the timeout %s, so that no response is late", r.Target, r.Timeout)
	case r.Retries > 0 && r.Timeout < 2*r.Target:
		w.add(label, "a retry does not fit: the timeout %s is shorter than two attempts of the target %s", r.Timeout, r.Target)
	}
	if w.limits.HeaderTimeout > 0 && w.limits.IdleTimeout > 0 && r.Timeout > longest {
		w.add(label, "the timeout %s is longer than the header timeout and the idle timeout of callers together, %s", r.Timeout, longest)
	}
}

// checkHidden reports a route whose calls all match routes that are tried before it.
func (w *warner) checkHidden(label itemLabel, r *Route) {
	key := pathKey{strings.TrimSuffix(strings.ToLower(r.Authority), ":80"), strings.TrimRight(r.PathPrefix, "/")}
	var covering []*Route
	for _, other := range w.earlier[key] {
		if other.coversPaths(r) {
			covering = append(covering, other)
		}
	}
	w.earlier[key] = append(w.earlier[key], r)
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	var hiding []string
	for _, m := range methods {
		i := slices.IndexFunc(covering, func(other *Route) bool { return len(other.Methods) == 0 || slices.Contains(other.Methods, m) })
		if i < 0 {
			return
		}
		hiding = append(hiding, fmt.Sprintf("%q", covering[i].Name))
	}
	w.add(label, "it never matches: its calls match %s first", strings.Join(slices.Compact(hiding), ", "))
}

// coversPaths reports whether a route matches all paths of another with the same
// pathKey.
func (r *Route) coversPaths(other *Route) bool {
	if !r.LiteralPrefix {
		return true
	}
	shortest := strings.TrimRight(other.PathPrefix, "/")
	if other.LiteralPrefix {
		shortest = other.PathPrefix
	}
	return strings.HasPrefix(shortest, r.PathPrefix)
}

func (w *warner) checkService(label itemLabel, s *Service) {
	if !w.used[s.Name] {
		w.add(label, "no route leads to it")
	}
	if s.Connections > 0 && s.Connections < s.Slots {
		w.add(label, "%d connections limit it to fewer calls than its %d slots", s.Connections, s.Slots)
	}
}
