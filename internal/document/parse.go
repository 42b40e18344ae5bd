package document

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
)

// maxFaults bounds the errors of one document; the rest would not be read.
const maxFaults = 1000

// Numbers have one spelling: no sign, base prefix, underscore or leading zero.
var numberForm = regexp.MustCompile(`^(0|[1-9][0-9]*)$`)

// Parse parses and checks a document. The file is only named in errors. The
// error is Faults, with all that was found; a syntax error hides what follows
// it. The document is in canonical order.
func Parse(file string, data []byte) (Document, error) {
	r := reader{file: file, positions: map[place]*token.Position{}, faulty: map[place]bool{}}
	d := r.parse(data)
	if len(r.faults) > 0 {
		r.faults.sort()
		return Document{}, r.faults[:min(len(r.faults), maxFaults)]
	}
	return Canonical(d), nil
}

// reader turns a syntax tree into a document. It keeps the positions of the
// document's parts for the checker.
type reader struct {
	file      string
	faults    Faults
	positions map[place]*token.Position
	faulty    map[place]bool // places with a wrong type, not checked further
}

func (r *reader) parse(data []byte) Document {
	root := r.tree(data)
	if root == nil {
		return Document{}
	}
	d := r.document(root)
	c := checker{faults: r.faults, report: r.report}
	c.document(d)
	r.faults = c.faults
	return d
}

// report adds a fault found by the checker. A place whose text had a wrong type
// holds a zero value, so that the checker's fault would only repeat that.
func (r *reader) report(faults *Faults, at place, message string) {
	var position *token.Position
	for p, ok := at, true; ok; p, ok = p.parent() {
		if r.faulty[p] {
			return
		}
		if position == nil {
			position = r.positions[p]
		}
	}
	if position == nil {
		position = &token.Position{Line: 1, Column: 1}
	}
	*faults = append(*faults, Fault{File: r.file, Line: position.Line, Column: position.Column, Message: message})
}

func (r *reader) fault(at *token.Position, format string, args ...any) {
	r.faults = append(r.faults, Fault{File: r.file, Line: max(at.Line, 1), Column: max(at.Column, 1), Message: fmt.Sprintf(format, args...)})
}

// wrong adds a fault and marks the place so that it is not checked further.
func (r *reader) wrong(at place, n ast.Node, format string, args ...any) {
	r.faulty[at] = true
	r.fault(start(n), format, args...)
}

// tree returns the root node, or nil after a fault that prevents reading on.
func (r *reader) tree(data []byte) ast.Node {
	first := &token.Position{Line: 1, Column: 1}
	if len(data) > MaxBytes {
		r.fault(first, "document has %d bytes, more than %d", len(data), MaxBytes)
		return nil
	}
	if !utf8.Valid(data) {
		r.fault(invalidByte(data), "document is not valid UTF-8")
		return nil
	}
	tokens := lexer.Tokenize(string(data))
	if t, problem := scan(tokens); t != nil {
		r.fault(t.Position, "%s", problem)
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.syntax(err)
		return nil
	}
	var bodies []ast.Node
	for _, d := range file.Docs {
		if d.Body != nil {
			bodies = append(bodies, d.Body)
		}
	}
	if len(bodies) == 0 {
		r.fault(first, "document is empty; write \"sections: []\" for one without sections")
		return nil
	}
	for _, b := range bodies[1:] {
		r.fault(start(b), "file has more than one YAML document")
	}
	return bodies[0]
}

func (r *reader) syntax(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		r.fault(syntax.Token.Position, "syntax: %s", syntax.Message)
		return
	}
	first, _, _ := strings.Cut(err.Error(), "\n")
	r.fault(&token.Position{}, "syntax: %s", first)
}

// invalidByte returns the position of the first byte that is not UTF-8.
func invalidByte(data []byte) *token.Position {
	p := &token.Position{Line: 1, Column: 1}
	for len(data) > 0 {
		c, size := utf8.DecodeRune(data)
		switch {
		case c == utf8.RuneError && size == 1:
			return p
		case c == '\n':
			p.Line, p.Column = p.Line+1, 1
		default:
			p.Column++
		}
		data = data[size:]
	}
	return p
}

// start returns where a node begins in the text. The token of a block mapping
// is the colon after its first key.
func start(n ast.Node) *token.Position {
	switch v := n.(type) {
	case *ast.MappingNode:
		if !v.IsFlowStyle && len(v.Values) > 0 {
			return start(v.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return start(v.Key)
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position
	}
	return &token.Position{}
}

// field reads the value of one key into a place.
type field func(at place, n ast.Node)

// mapping reads a mapping with the given fields.
func (r *reader) mapping(at place, n ast.Node, what string, fields map[string]field) bool {
	var values []*ast.MappingValueNode
	switch v := n.(type) {
	case *ast.MappingNode:
		values = v.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{v}
	default:
		r.wrong(at, n, "%s must be a mapping, but is %s", what, typeName(n))
		return false
	}
	r.positions[at] = start(n)
	seen := map[string]*token.Position{}
	for _, v := range values {
		key, ok := v.Key.(*ast.StringNode)
		if !ok {
			r.fault(start(v.Key), "%s: key must be a plain word, but is %s", what, typeName(v.Key))
			continue
		}
		read, ok := fields[key.Value]
		if !ok {
			r.fault(start(key), "%s: unknown key %q", what, key.Value)
			continue
		}
		if before := seen[key.Value]; before != nil {
			r.fault(start(key), "%s: duplicate key %q, first in line %d", what, key.Value, before.Line)
			continue
		}
		seen[key.Value] = start(key)
		r.positions[at.in(key.Value)] = start(v.Value)
		read(at.in(key.Value), v.Value)
	}
	return true
}

// sequence reads each element of a list.
func (r *reader) sequence(at place, n ast.Node, read func(i int, n ast.Node)) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		r.wrong(at, n, "%s must be a list, but is %s", at.field, typeName(n))
		return
	}
	for i, value := range list.Values {
		read(i, value)
	}
}

func (r *reader) document(root ast.Node) Document {
	var d Document
	var listed bool
	ok := r.mapping(place{}, root, "document", map[string]field{
		"sections": func(at place, n ast.Node) {
			listed = true
			r.sequence(at, n, func(_ int, n ast.Node) {
				at := place{section: len(d.Sections) + 1}
				if s, ok := r.section(at, n); ok {
					d.Sections = append(d.Sections, s)
				}
			})
		},
	})
	if ok && !listed {
		r.fault(start(root), "document: key \"sections\" is missing")
	}
	return d
}

func (r *reader) section(at place, n ast.Node) (Section, bool) {
	var s Section
	ok := r.mapping(at, n, "section", map[string]field{
		"name":   text(r, &s.Name),
		"team":   text(r, &s.Team),
		"limits": func(at place, n ast.Node) { s.Limits = r.limits(at, n) },
		"services": func(list place, n ast.Node) {
			r.sequence(list, n, func(_ int, n ast.Node) {
				at := place{section: at.section, kind: serviceItem, item: len(s.Services) + 1}
				if v, ok := r.service(at, n); ok {
					s.Services = append(s.Services, v)
				}
			})
		},
		"routes": func(list place, n ast.Node) {
			r.sequence(list, n, func(_ int, n ast.Node) {
				at := place{section: at.section, kind: routeItem, item: len(s.Routes) + 1}
				if v, ok := r.route(at, n); ok {
					s.Routes = append(s.Routes, v)
				}
			})
		},
	})
	if !ok {
		delete(r.faulty, at) // the next section gets this place
	}
	return s, ok
}

func (r *reader) service(at place, n ast.Node) (Service, bool) {
	var s Service
	ok := r.mapping(at, n, "service", map[string]field{
		"name":            text[backend.ServiceName](r, &s.Name),
		"slots":           number(r, &s.Slots, 65535),
		"connections":     number(r, &s.Connections, 65535),
		"warm-up":         r.duration(&s.WarmUp),
		"suspended-hosts": texts[host.ID](r, &s.SuspendedHosts),
		"health-path":     text(r, &s.HealthPath),
	})
	if !ok {
		delete(r.faulty, at)
	}
	return s, ok
}

func (r *reader) route(at place, n ast.Node) (Route, bool) {
	var v Route
	ok := r.mapping(at, n, "route", map[string]field{
		"name":           text(r, &v.Name),
		"authority":      text(r, &v.Authority),
		"path-prefix":    text(r, &v.PathPrefix),
		"literal-prefix": r.boolean(&v.LiteralPrefix),
		"methods":        texts(r, &v.Methods),
		"service":        text(r, &v.Service),
		"split": func(list place, n ast.Node) {
			r.sequence(list, n, func(i int, n ast.Node) { v.Split = append(v.Split, r.share(list.at(i), n)) })
		},
		"timeout":      r.duration(&v.Timeout),
		"target":       r.duration(&v.Target),
		"retries":      number(r, &v.Retries, MaxRetries),
		"priority":     number(r, &v.Priority, 255),
		"paid":         r.boolean(&v.Paid),
		"at-most-once": r.boolean(&v.AtMostOnce),
	})
	if !ok {
		delete(r.faulty, at)
	}
	return v, ok
}

func (r *reader) share(at place, n ast.Node) Share {
	var s Share
	r.mapping(at, n, "share", map[string]field{
		"service": text(r, &s.Service),
		"weight":  number(r, &s.Weight, 1<<31),
	})
	return s
}

// limits reads the bounds of what callers may send.
func (r *reader) limits(at place, n ast.Node) *Limits {
	var l Limits
	r.mapping(at, n, "limits", map[string]field{
		"header-bytes":   number(r, &l.HeaderBytes, 1<<31),
		"body-bytes":     number(r, &l.BodyBytes, 1<<62),
		"header-timeout": r.duration(&l.HeaderTimeout),
		"idle-timeout":   r.duration(&l.IdleTimeout),
	})
	return &l
}

func text[T ~string](r *reader, to *T) field {
	return func(at place, n ast.Node) {
		if v, ok := n.(*ast.StringNode); ok {
			*to = T(v.Value)
			return
		}
		r.wrong(at, n, "%s must be a string, but is %s", at.field, typeName(n))
	}
}

func texts[T ~string](r *reader, to *[]T) field {
	return func(at place, n ast.Node) {
		r.sequence(at, n, func(i int, n ast.Node) {
			var element T
			r.positions[at.at(i)] = start(n)
			if v, ok := n.(*ast.StringNode); ok {
				element = T(v.Value)
			} else {
				r.wrong(at.at(i), n, "%s must be a list of strings, but element %d is %s", at.field, i+1, typeName(n))
			}
			*to = append(*to, element)
		})
	}
}

func number[T uint8 | uint16 | uint32 | uint64](r *reader, to *T, most uint64) field {
	return func(at place, n ast.Node) {
		v, ok := n.(*ast.IntegerNode)
		if !ok {
			r.wrong(at, n, "%s must be a whole number, but is %s", at.field, typeName(n))
			return
		}
		spelling := v.GetToken().Value
		value, err := strconv.ParseUint(spelling, 10, 64)
		if err != nil || value > most || !numberForm.MatchString(spelling) {
			r.wrong(at, n, "%s must be a decimal number up to %d, but is %s", at.field, most, spelling)
			return
		}
		*to = T(value)
	}
}

func (r *reader) duration(to *time.Duration) field {
	return func(at place, n ast.Node) {
		v, ok := n.(*ast.StringNode)
		if !ok {
			r.wrong(at, n, "%s must be a duration with a unit, such as 500ms, but is %s", at.field, typeName(n))
			return
		}
		d, err := time.ParseDuration(v.Value)
		if err != nil || v.Value == "0" {
			r.wrong(at, n, "%s must be a duration with a unit, such as 500ms, but is %q", at.field, v.Value)
			return
		}
		*to = d
	}
}

func (r *reader) boolean(to *bool) field {
	return func(at place, n ast.Node) {
		v, ok := n.(*ast.BoolNode)
		if !ok {
			r.wrong(at, n, "%s must be true or false, but is %s", at.field, typeName(n))
			return
		}
		*to = v.Value
	}
}

// typeName names the type of a node in an error.
func typeName(n ast.Node) string {
	switch v := n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode:
		return "a string"
	case *ast.LiteralNode:
		return "a block of text"
	case *ast.IntegerNode:
		return "a number"
	case *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a fractional number"
	case *ast.BoolNode:
		return "true or false"
	case *ast.NullNode:
		return "empty"
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		return "an anchor, alias or merge, which are not allowed"
	case *ast.TagNode:
		return "tagged, which is not allowed"
	case *ast.DirectiveNode:
		return "a directive, which is not allowed"
	default:
		return v.Type().String()
	}
}
