package document

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Words that YAML 1.1 or 1.2 reads as something other than a string.
var reserved = map[string]bool{
	"null": true, "true": true, "false": true, "yes": true, "no": true,
	"on": true, "off": true, "y": true, "n": true, "nan": true, "inf": true,
}

var plainForm = regexp.MustCompile(`^[A-Za-z/][A-Za-z0-9/._-]*$`)

// Format writes a document as YAML in canonical order. The error is that of
// Check: a document that Parse would refuse is not written.
func Format(d Document) ([]byte, error) {
	if err := Check(d); err != nil {
		return nil, fmt.Errorf("format document: %w", err)
	}
	return format(d), nil
}

func formattedSize(d Document) int { return len(format(d)) }

func format(d Document) []byte {
	var w writer
	d = Canonical(d)
	if len(d.Sections) == 0 {
		w.line(0, "sections: []")
	} else {
		w.line(0, "sections:")
	}
	for _, s := range d.Sections {
		w.section(s)
	}
	return []byte(w.String())
}

// writer builds YAML text.
type writer struct{ strings.Builder }

func (w *writer) line(indent int, text string) {
	for range indent {
		w.WriteByte(' ')
	}
	w.WriteString(text)
	w.WriteByte('\n')
}

func (w *writer) section(s Section) {
	w.line(2, "- name: "+scalar(string(s.Name)))
	w.line(4, "team: "+scalar(string(s.Team)))
	if s.Limits != nil {
		w.limits(*s.Limits)
	}
	if len(s.Services) > 0 {
		w.line(4, "services:")
	}
	for _, v := range s.Services {
		w.line(6, "- name: "+scalar(string(v.Name)))
		w.line(8, "slots: "+strconv.Itoa(int(v.Slots)))
		w.line(8, "connections: "+strconv.Itoa(int(v.Connections)))
		w.line(8, "warm-up: "+v.WarmUp.String())
		w.line(8, "suspended-hosts: "+list(v.SuspendedHosts))
		if v.HealthPath != "" {
			w.line(8, "health-path: "+scalar(v.HealthPath))
		}
	}
	if len(s.Routes) > 0 {
		w.line(4, "routes:")
	}
	for _, r := range s.Routes {
		w.route(r)
	}
}

func (w *writer) limits(l Limits) {
	w.line(4, "limits:")
	w.line(6, "header-bytes: "+strconv.FormatUint(uint64(l.HeaderBytes), 10))
	w.line(6, "body-bytes: "+strconv.FormatUint(l.BodyBytes, 10))
	w.line(6, "header-timeout: "+l.HeaderTimeout.String())
	w.line(6, "idle-timeout: "+l.IdleTimeout.String())
}

// route writes a route. Keys that most routes leave at their default are left
// out then.
func (w *writer) route(r Route) {
	w.line(6, "- name: "+scalar(string(r.Name)))
	if r.Authority != "" {
		w.line(8, "authority: "+scalar(r.Authority))
	}
	w.line(8, "path-prefix: "+scalar(r.PathPrefix))
	if r.LiteralPrefix {
		w.line(8, "literal-prefix: true")
	}
	w.line(8, "methods: "+list(r.Methods))
	if len(r.Split) == 0 {
		w.line(8, "service: "+scalar(string(r.Service)))
	} else {
		w.line(8, "split:")
	}
	for _, s := range r.Split {
		w.line(10, "- service: "+scalar(string(s.Service)))
		w.line(12, "weight: "+strconv.FormatUint(uint64(s.Weight), 10))
	}
	w.line(8, "timeout: "+r.Timeout.String())
	if r.Target != 0 {
		w.line(8, "target: "+r.Target.String())
	}
	w.line(8, "retries: "+strconv.Itoa(int(r.Retries)))
	if r.Priority != 0 {
		w.line(8, "priority: "+strconv.Itoa(int(r.Priority)))
	}
	w.line(8, "paid: "+strconv.FormatBool(r.Paid))
	if r.AtMostOnce {
		w.line(8, "at-most-once: true")
	}
}

// scalar quotes a string when YAML could read it as another type.
func scalar(s string) string {
	if plainForm.MatchString(s) && !reserved[strings.ToLower(s)] {
		return s
	}
	return strconv.Quote(s)
}

func list[T ~string](items []T) string {
	quoted := make([]string, len(items))
	for i, item := range items {
		quoted[i] = scalar(string(item))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
