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
	if len(s.Services) > 0 {
		w.line(4, "services:")
	}
	for _, v := range s.Services {
		w.line(6, "- name: "+scalar(string(v.Name)))
		w.line(8, "slots: "+strconv.Itoa(int(v.Slots)))
		w.line(8, "connections: "+strconv.Itoa(int(v.Connections)))
		w.line(8, "warm-up: "+v.WarmUp.String())
		w.line(8, "suspended-hosts: "+list(v.SuspendedHosts))
	}
	if len(s.Routes) > 0 {
		w.line(4, "routes:")
	}
	for _, r := range s.Routes {
		w.line(6, "- name: "+scalar(string(r.Name)))
		w.line(8, "path-prefix: "+scalar(r.PathPrefix))
		w.line(8, "methods: "+list(r.Methods))
		w.line(8, "service: "+scalar(string(r.Service)))
		w.line(8, "timeout: "+r.Timeout.String())
		w.line(8, "retries: "+strconv.Itoa(int(r.Retries)))
		w.line(8, "paid: "+strconv.FormatBool(r.Paid))
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
