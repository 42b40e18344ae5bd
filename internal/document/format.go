package document

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// reservedWords are the words that YAML 1.1 or 1.2 does not read as strings.
var reservedWords = map[string]bool{
	"null": true, "true": true, "false": true, "yes": true, "no": true,
	"on": true, "off": true, "y": true, "n": true, "nan": true, "inf": true,
}

var plainScalarPattern = regexp.MustCompile(`^[A-Za-z/][A-Za-z0-9/._-]*$`)

// Format formats a document as YAML in canonical order. It returns the error of
// Check if the document is not valid, because Parse would refuse the result.
func Format(d Document) ([]byte, error) {
	if err := Check(d); err != nil {
		return nil, fmt.Errorf("format document: %w", err)
	}
	return format(d), nil
}

func formattedSize(d Document) int { return len(format(d)) }

func format(d Document) []byte {
	var w yamlWriter
	d = Canonical(d)
	if len(d.Sections) == 0 {
		w.writeLine(0, "sections: []")
	} else {
		w.writeLine(0, "sections:")
	}
	for _, s := range d.Sections {
		w.writeSection(s)
	}
	return []byte(w.String())
}

// yamlWriter builds YAML text.
type yamlWriter struct{ strings.Builder }

func (w *yamlWriter) writeLine(indent int, text string) {
	for range indent {
		w.WriteByte(' ')
	}
	w.WriteString(text)
	w.WriteByte('\n')
}

func (w *yamlWriter) writeSection(s Section) {
	w.writeLine(2, "- name: "+formatScalar(string(s.Name)))
	w.writeLine(4, "team: "+formatScalar(string(s.Team)))
	for _, entry := range s.Unreadable {
		w.writeLine(4, "# unreadable: "+strconv.Quote(entry))
	}
	if s.Limits != nil {
		w.writeLimits(*s.Limits)
	}
	if s.KeysRequired {
		w.writeLine(4, "keys-required: true")
	}
	if len(s.Services) > 0 {
		w.writeLine(4, "services:")
	}
	for _, v := range s.Services {
		w.writeLine(6, "- name: "+formatScalar(string(v.Name)))
		w.writeLine(8, "slots: "+strconv.Itoa(int(v.Slots)))
		w.writeLine(8, "connections: "+strconv.Itoa(int(v.Connections)))
		w.writeLine(8, "warm-up: "+v.WarmUp.String())
		w.writeLine(8, "suspended-hosts: "+formatList(v.SuspendedHosts))
		if v.HealthPath != "" {
			w.writeLine(8, "health-path: "+formatScalar(v.HealthPath))
		}
	}
	if len(s.Routes) > 0 {
		w.writeLine(4, "routes:")
	}
	for _, r := range s.Routes {
		w.writeRoute(r)
	}
	if len(s.Organisations) > 0 {
		w.writeLine(4, "organisations:")
	}
	for _, o := range s.Organisations {
		w.writeOrganisation(o)
	}
}

func (w *yamlWriter) writeLimits(l Limits) {
	w.writeLine(4, "limits:")
	w.writeLine(6, "header-bytes: "+strconv.FormatUint(uint64(l.HeaderBytes), 10))
	w.writeLine(6, "body-bytes: "+strconv.FormatUint(l.BodyBytes, 10))
	w.writeLine(6, "header-timeout: "+l.HeaderTimeout.String())
	w.writeLine(6, "idle-timeout: "+l.IdleTimeout.String())
}

// writeRoute writes a route. Rarely used keys are omitted if they have their
// default value.
func (w *yamlWriter) writeRoute(r Route) {
	if r.Unreadable != "" {
		w.writeLine(6, "# unreadable: "+strconv.Quote("route "+string(r.Name)+": "+r.Unreadable))
		return
	}
	w.writeLine(6, "- name: "+formatScalar(string(r.Name)))
	if r.Authority != "" {
		w.writeLine(8, "authority: "+formatScalar(r.Authority))
	}
	w.writeLine(8, "path-prefix: "+formatScalar(r.PathPrefix))
	if r.LiteralPrefix {
		w.writeLine(8, "literal-prefix: true")
	}
	w.writeLine(8, "methods: "+formatList(r.Methods))
	if len(r.Split) == 0 {
		w.writeLine(8, "service: "+formatScalar(string(r.Service)))
	} else {
		w.writeLine(8, "split:")
	}
	for _, s := range r.Split {
		w.writeLine(10, "- service: "+formatScalar(string(s.Service)))
		w.writeLine(12, "weight: "+strconv.FormatUint(uint64(s.Weight), 10))
	}
	w.writeLine(8, "timeout: "+r.Timeout.String())
	if r.Target != 0 {
		w.writeLine(8, "target: "+r.Target.String())
	}
	w.writeLine(8, "retries: "+strconv.Itoa(int(r.Retries)))
	if r.Priority != 0 {
		w.writeLine(8, "priority: "+strconv.Itoa(int(r.Priority)))
	}
	w.writeLine(8, "paid: "+strconv.FormatBool(r.Paid))
	if r.AtMostOnce {
		w.writeLine(8, "at-most-once: true")
	}
	if r.Public {
		w.writeLine(8, "public: true")
	}
}

func (w *yamlWriter) writeOrganisation(o Organisation) {
	w.writeLine(6, "- name: "+formatScalar(string(o.Name)))
	digests := make([]string, len(o.KeyDigests))
	for i, k := range o.KeyDigests {
		digests[i] = strconv.Quote(k.String())
	}
	w.writeLine(8, "key-digests: ["+strings.Join(digests, ", ")+"]")
	if o.Priority != nil {
		w.writeLine(8, "priority: "+strconv.Itoa(int(*o.Priority)))
	}
	if o.RatePerSecond != 0 {
		w.writeLine(8, "rate-per-second: "+formatNumber(float64(o.RatePerSecond)))
	}
	if o.Burst != 0 {
		w.writeLine(8, "burst: "+formatNumber(o.Burst))
	}
}

// formatNumber formats a number without an exponent.
func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// formatScalar quotes a string if YAML could read it as another type.
func formatScalar(s string) string {
	if plainScalarPattern.MatchString(s) && !reservedWords[strings.ToLower(s)] {
		return s
	}
	return strconv.Quote(s)
}

func formatList[T ~string](items []T) string {
	quoted := make([]string, len(items))
	for i, item := range items {
		quoted[i] = formatScalar(string(item))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
