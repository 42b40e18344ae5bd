package document

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// Limits of a document.
const (
	MaxBytes        = 4 << 20 // of the YAML text, as written and as formatted
	MaxSections     = 4096
	MaxNestingDepth = 16   // levels of nested lists and mappings
	MaxNameLength   = 63   // characters, the longest label in DNS
	MaxPathLength   = 1024 // bytes of a path prefix or an authority
	MaxRetries      = 10
	// MaxDuration limits timeouts and warm-up times. A longer duration is more
	// likely a wrong unit than intended.
	MaxDuration = time.Hour
	// MinTimeout is the resolution of the timeout header between daemons.
	MinTimeout = time.Millisecond
)

// pathCharacters are the characters other than letters and digits that a path
// prefix may have. Percent signs are not allowed, because whether such a prefix
// matches would depend on how the caller encoded the path.
const pathCharacters = "._~!$&'()*+,;=:@/-"

// ValidName reports whether s is in kebab case and not too long. It uses no
// regular expression, because every daemon checks all names of a version.
func ValidName(s string) bool {
	return len(s) <= MaxNameLength && s != "" && isLower(s[0]) && isHyphenated(s, func(b byte) bool { return isLower(b) || isDigit(b) })
}

// validForeignName reports whether s names a service or route of a version that was
// accepted outside the product, whose names need not be in kebab case. It can be sent in
// a header and used as a label.
func validForeignName(s string) bool {
	return s != "" && len(s) <= MaxNameLength && allBytes(s, func(b byte) bool {
		return isLower(b) || isUpper(b) || isDigit(b) || strings.IndexByte("-_.", b) >= 0
	})
}

func isLower(b byte) bool { return 'a' <= b && b <= 'z' }
func isUpper(b byte) bool { return 'A' <= b && b <= 'Z' }
func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isHyphenated reports whether s consists of words of allowed bytes, separated by
// single hyphens.
func isHyphenated(s string, allowed func(byte) bool) bool {
	wordExpected := true
	for i := range len(s) {
		switch {
		case allowed(s[i]):
			wordExpected = false
		case s[i] == '-' && !wordExpected:
			wordExpected = true
		default:
			return false
		}
	}
	return !wordExpected
}

// validMethod reports whether m consists of words of capital letters, separated by
// single hyphens. The length limit of names also applies to methods.
func validMethod(m string) bool { return len(m) <= MaxNameLength && isHyphenated(m, isUpper) }

func validPathByte(b byte) bool {
	return isLower(b) || isUpper(b) || isDigit(b) || strings.IndexByte(pathCharacters, b) >= 0
}

func newChecker() checker {
	return checker{report: func(faults *Faults, _ location, message string) {
		*faults = append(*faults, Fault{Message: message})
	}}
}

// Check checks a document that was not parsed from a file. The error is of type
// Faults, without positions.
func Check(d Document) error { return check(newChecker(), d) }

// CheckAccepted checks the document of a version that was accepted, possibly outside the
// product. It is like Check, but names of services and routes need not be in kebab case.
func CheckAccepted(d Document) error {
	c := newChecker()
	c.foreignNames = true
	return check(c, d)
}

func check(c checker, d Document) error {
	c.checkDocument(d)
	if len(c.faults) == 0 && formattedSize(d) > MaxBytes {
		c.addFault(location{}, "document is larger than %d bytes when formatted", MaxBytes)
	}
	if len(c.faults) > 0 {
		return c.faults
	}
	return nil
}

// CheckService checks a service of an accepted version on its own.
func CheckService(s Service) error {
	return checkItem(func(c *checker) {
		c.checkService(location{}, itemLabel{alone: true, kind: "service", name: string(s.Name)}, s)
	})
}

// CheckRoute checks a route of an accepted version on its own.
func CheckRoute(r Route) error {
	return checkItem(func(c *checker) {
		c.checkRoute(location{}, itemLabel{alone: true, kind: "route", name: string(r.Name)}, r)
	})
}

// CheckOrganisation checks an organisation on its own.
func CheckOrganisation(o Organisation) error {
	return checkItem(func(c *checker) {
		c.checkOrganisation(location{}, itemLabel{alone: true, kind: "organisation", name: string(o.Name)}, o)
	})
}

func checkItem(f func(*checker)) error {
	c := newChecker()
	c.foreignNames = true
	f(&c)
	if len(c.faults) > 0 {
		return c.faults
	}
	return nil
}

// checker collects the faults of a document. The function report adds a fault,
// with the position of the location if it is known.
type checker struct {
	faults Faults
	report func(faults *Faults, at location, message string)
	// alreadyChecked reports whether the content of a section was checked in an earlier
	// version; nil means that all sections must be checked.
	alreadyChecked func(SectionName) bool
	// foreignNames permits names of services and routes that are not in kebab case.
	foreignNames bool
}

// validItemName reports whether s can be the name of a service or route.
func (c *checker) validItemName(s string) bool {
	return ValidName(s) || c.foreignNames && validForeignName(s)
}

// itemLabel names a part of the document in a message. It is only formatted if
// there is a fault.
type itemLabel struct {
	section SectionName
	kind    string // "service", "route", "organisation" or empty, which stands for the section
	name    string
	alone   bool // the section is not known
}

// String returns, for example, section "stock": service "bead-stock".
func (l itemLabel) String() string {
	if l.alone {
		return fmt.Sprintf("%s %q", l.kind, l.name)
	}
	if l.kind == "" {
		return fmt.Sprintf("section %q", l.section)
	}
	return fmt.Sprintf("section %q: %s %q", l.section, l.kind, l.name)
}

// kindLabel returns a label without the name of the item, which may be missing.
func (l itemLabel) kindLabel() string {
	if l.alone {
		return l.kind
	}
	return fmt.Sprintf("section %q: %s", l.section, l.kind)
}

func (c *checker) addFault(at location, format string, args ...any) {
	c.report(&c.faults, at, fmt.Sprintf(format, args...))
}

func (c *checker) checkDocument(d Document) {
	if len(d.Sections) > MaxSections {
		c.addFault(location{}, "document has %d sections, more than %d", len(d.Sections), MaxSections)
	}
	services := c.checkItems(d)
	c.checkServiceReferences(d, func(s backend.ServiceName) bool { _, ok := services[s]; return ok })
	c.checkOverlaps(d)
	c.checkOrganisations(d)
}

// checkItems checks each section, service, route and organisation on its own, and that names
// are unique. It returns the section of each service.
func (c *checker) checkItems(d Document) map[backend.ServiceName]SectionName {
	sections := map[SectionName]bool{}
	services := map[backend.ServiceName]SectionName{}
	routes := map[RouteName]SectionName{}
	for i, s := range d.Sections {
		at := location{section: i + 1}
		label := itemLabel{section: s.Name}
		skip := c.alreadyChecked != nil && c.alreadyChecked(s.Name)
		if !skip {
			c.checkSection(at, label, s)
		}
		if sections[s.Name] && s.Name != "" {
			c.addFault(at.withField("name"), "%s is defined twice", label)
		}
		sections[s.Name] = true
		for j, v := range s.Services {
			at := location{section: i + 1, itemKind: serviceItem, item: j + 1}
			if !skip {
				c.checkService(at, itemLabel{section: s.Name, kind: "service", name: string(v.Name)}, v)
			}
			if other, ok := services[v.Name]; ok && v.Name != "" {
				c.addFault(at.withField("name"), "%s: service %q is already defined in section %q", label, v.Name, other)
				continue
			}
			services[v.Name] = s.Name
		}
		for j, r := range s.Routes {
			at := location{section: i + 1, itemKind: routeItem, item: j + 1}
			if !skip {
				c.checkRoute(at, itemLabel{section: s.Name, kind: "route", name: string(r.Name)}, r)
			}
			if other, ok := routes[r.Name]; ok && r.Name != "" {
				c.addFault(at.withField("name"), "%s: route %q is already defined in section %q", label, r.Name, other)
				continue
			}
			routes[r.Name] = s.Name
		}
		for j, o := range s.Organisations {
			if !skip {
				c.checkOrganisation(location{section: i + 1, itemKind: organisationItem, item: j + 1}, itemLabel{section: s.Name, kind: "organisation", name: string(o.Name)}, o)
			}
		}
	}
	return services
}

func (c *checker) checkSection(at location, label itemLabel, s Section) {
	if !ValidName(string(s.Name)) {
		c.addNameFault(at.withField("name"), "section", string(s.Name))
	}
	if !validTeamName(s.Team) {
		c.addNameFault(at.withField("team"), label.String()+": team", string(s.Team))
	}
}

func validTeamName(t TeamName) bool { return ValidName(string(t)) }

func (c *checker) addNameFault(at location, what, name string) {
	switch {
	case name == "":
		c.addFault(at, "%s: name is missing", what)
	case len(name) > MaxNameLength:
		c.addFault(at, "%s: name %q is longer than %d characters", what, name, MaxNameLength)
	default:
		c.addFault(at, "%s: name %q is not kebab case (lower-case letters, digits and single hyphens, starting with a letter)", what, name)
	}
}

func (c *checker) checkService(at location, label itemLabel, s Service) {
	if !c.validItemName(string(s.Name)) {
		c.addNameFault(at.withField("name"), label.kindLabel(), string(s.Name))
	}
	if s.Slots == 0 {
		c.addFault(at.withField("slots"), "%s: slots must be 1 to 65535", label)
	}
	if s.Connections == 0 {
		c.addFault(at.withField("connections"), "%s: connections must be 1 to 65535", label)
	}
	if s.WarmUp < 0 || s.WarmUp > MaxDuration {
		c.addFault(at.withField("warm-up"), "%s: warm-up must be 0s to %s", label, MaxDuration)
	}
	for i, h := range s.SuspendedHosts {
		element := at.withField("suspended-hosts").withElement(i)
		if !ValidName(string(h)) {
			c.addNameFault(element, label.String()+": suspended host", string(h))
		} else if slices.Contains(s.SuspendedHosts[:i], h) {
			c.addFault(element, "%s: suspended host %q is listed twice", label, h)
		}
	}
}

func (c *checker) checkRoute(at location, label itemLabel, r Route) {
	if !c.validItemName(string(r.Name)) {
		c.addNameFault(at.withField("name"), label.kindLabel(), string(r.Name))
	}
	if problem := pathPrefixProblem(r.PathPrefix); problem != "" {
		c.addFault(at.withField("path-prefix"), "%s: path-prefix %s", label, problem)
	}
	for i, m := range r.Methods {
		element := at.withField("methods").withElement(i)
		if !validMethod(m) {
			c.addFault(element, "%s: method %q is not an upper-case HTTP method", label, m)
		} else if slices.Contains(r.Methods[:i], m) {
			c.addFault(element, "%s: method %q is listed twice", label, m)
		}
	}
	if !validAuthority(r.Authority) {
		c.addFault(at.withField("authority"), "%s: authority %q is not a host name, with or without a port", label, r.Authority)
	}
	if r.Unreadable != "" {
		return
	}
	c.checkDestination(at, label, r)
	if r.Paid && r.AtMostOnce {
		c.addFault(at.withField("at-most-once"), "%s: paid and at-most-once cannot be combined", label)
	}
	if r.Target < 0 || r.Target > MaxDuration {
		c.addFault(at.withField("target"), "%s: target must be 0s to %s", label, MaxDuration)
	}
	if r.Timeout < MinTimeout || r.Timeout > MaxDuration {
		c.addFault(at.withField("timeout"), "%s: timeout must be %s to %s", label, MinTimeout, MaxDuration)
	}
	if r.Retries > MaxRetries {
		c.addFault(at.withField("retries"), "%s: retries must be 0 to %d", label, MaxRetries)
	}
}

// checkDestination checks that a route has either one service or a split among
// several services.
func (c *checker) checkDestination(at location, label itemLabel, r Route) {
	switch {
	case r.Service == "" && len(r.Split) == 0:
		c.addFault(at.withField("service"), "%s: service is missing", label)
	case r.Service != "" && len(r.Split) > 0:
		c.addFault(at.withField("split"), "%s: service and split cannot be combined", label)
	}
	var totalWeight uint64
	for i, s := range r.Split {
		if s.Service == "" {
			c.addFault(at.withField("split").withElement(i), "%s: share %d has no service", label, i+1)
		}
		totalWeight += uint64(s.Weight)
	}
	if len(r.Split) > 0 && totalWeight == 0 {
		c.addFault(at.withField("split"), "%s: no share has a weight", label)
	}
}

// validAuthority reports whether s has only characters that are valid in a Host
// header.
func validAuthority(s string) bool {
	return len(s) <= MaxPathLength && allBytes(s, func(b byte) bool {
		return isLower(b) || isUpper(b) || isDigit(b) || strings.IndexByte("-._:[]", b) >= 0
	})
}

// pathPrefixProblem returns why a path prefix is not valid, or an empty string.
// Empty segments and dot segments are refused because clients remove them from
// request paths, so that such a prefix would never match.
func pathPrefixProblem(p string) string {
	switch {
	case p == "":
		return "is missing"
	case len(p) > MaxPathLength:
		return fmt.Sprintf("is longer than %d bytes", MaxPathLength)
	case p[0] != '/':
		return fmt.Sprintf("%q must start with a slash", p)
	case !allBytes(p, validPathByte):
		return fmt.Sprintf("%q has characters that are not allowed in a path prefix", p)
	case strings.Contains(p, "//"):
		return fmt.Sprintf("%q has an empty segment", p)
	}
	for segment := range strings.SplitSeq(p, "/") {
		if segment == "." || segment == ".." {
			return fmt.Sprintf("%q has a dot segment", p)
		}
	}
	return ""
}

func allBytes(s string, allowed func(byte) bool) bool {
	for i := range len(s) {
		if !allowed(s[i]) {
			return false
		}
	}
	return true
}

// checkServiceReferences reports the routes whose service does not exist.
func (c *checker) checkServiceReferences(d Document, defined func(backend.ServiceName) bool) {
	for i, s := range d.Sections {
		for j, r := range s.Routes {
			for _, name := range r.Services() {
				if name != "" && !defined(name) {
					at := location{section: i + 1, itemKind: routeItem, item: j + 1, field: "service"}
					c.addFault(at, "section %q: route %q: service %q is not defined in any section", s.Name, r.Name, name)
				}
			}
		}
	}
}

// checkOverlaps reports routes that have the same authority and path prefix as an
// earlier route and a method in common with it.
func (c *checker) checkOverlaps(d Document) {
	type pathMatch struct{ authority, prefix string }
	type methodMatch struct {
		pathMatch
		method string
	}
	const every = ""                            // stands for all methods, of a route that lists none
	lastByMethod := map[methodMatch]RouteName{} // the last route with this prefix and method
	lastByPath := map[pathMatch]RouteName{}     // the last route with this prefix, whatever its methods
	for i, s := range d.Sections {
		for j, r := range s.Routes {
			if r.PathPrefix == "" {
				continue
			}
			at := location{section: i + 1, itemKind: routeItem, item: j + 1, field: "path-prefix"}
			match := pathMatch{r.Authority, r.PathPrefix}
			methods := r.Methods
			if !slices.IsSorted(methods) {
				methods = slices.Compact(slices.Sorted(slices.Values(methods)))
			}
			if len(methods) == 0 {
				methods = []string{every}
			}
			for _, m := range methods {
				other, ok := lastByMethod[methodMatch{match, m}]
				if !ok {
					other, ok = lastByMethod[methodMatch{match, every}]
				}
				if !ok && m == every {
					other, ok = lastByPath[match]
				}
				if ok {
					c.addFault(at, "section %q: route %q has the path prefix %q and %s in common with route %q", s.Name, r.Name, r.PathPrefix, methodLabel(m), other)
					break
				}
			}
			for _, m := range methods {
				lastByMethod[methodMatch{match, m}] = r.Name
			}
			lastByPath[match] = r.Name
		}
	}
}

func methodLabel(m string) string {
	if m == "" {
		return "a method"
	}
	return "the method " + m
}
