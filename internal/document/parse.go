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
var numberPattern = regexp.MustCompile(`^(0|[1-9][0-9]*)$`)

// Parse parses and checks a document. The file is only named in errors. The
// error is Faults, with all that was found; a syntax error hides what follows
// it. The document is in canonical order.
func Parse(file string, data []byte) (Document, error) {
	r := decoder{file: file, positions: map[location]*token.Position{}, invalid: map[location]bool{}}
	d := r.parseAndCheck(data)
	if len(r.faults) > 0 {
		r.faults.sort()
		return Document{}, r.faults[:min(len(r.faults), maxFaults)]
	}
	return Canonical(d), nil
}

// reader turns a syntax tree into a document. It keeps the positions of the
// document's parts for the checker.
type decoder struct {
	file      string
	faults    Faults
	positions map[location]*token.Position
	invalid   map[location]bool // places with a wrong type, not checked further
}

func (r *decoder) parseAndCheck(data []byte) Document {
	root := r.parseTree(data)
	if root == nil {
		return Document{}
	}
	d := r.decodeDocument(root)
	c := checker{faults: r.faults, report: r.addCheckerFault}
	c.checkDocument(d)
	r.faults = c.faults
	return d
}

// report adds a fault found by the checker. A place whose text had a wrong type
// holds a zero value, so that the checker's fault would only repeat that.
func (r *decoder) addCheckerFault(faults *Faults, at location, message string) {
	var position *token.Position
	for p, ok := at, true; ok; p, ok = p.parent() {
		if r.invalid[p] {
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

func (r *decoder) addFault(at *token.Position, format string, args ...any) {
	r.faults = append(r.faults, Fault{File: r.file, Line: max(at.Line, 1), Column: max(at.Column, 1), Message: fmt.Sprintf(format, args...)})
}

// wrong adds a fault and marks the place so that it is not checked further.
func (r *decoder) addTypeFault(at location, n ast.Node, format string, args ...any) {
	r.invalid[at] = true
	r.addFault(nodePosition(n), format, args...)
}

// tree returns the root node, or nil after a fault that prevents reading on.
func (r *decoder) parseTree(data []byte) ast.Node {
	first := &token.Position{Line: 1, Column: 1}
	if len(data) > MaxBytes {
		r.addFault(first, "document has %d bytes, more than %d", len(data), MaxBytes)
		return nil
	}
	if !utf8.Valid(data) {
		r.addFault(invalidBytePosition(data), "document is not valid UTF-8")
		return nil
	}
	tokens := lexer.Tokenize(string(data))
	if t, problem := checkYAMLLimits(tokens); t != nil {
		r.addFault(t.Position, "%s", problem)
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.addSyntaxFault(err)
		return nil
	}
	var bodies []ast.Node
	for _, d := range file.Docs {
		if d.Body != nil {
			bodies = append(bodies, d.Body)
		}
	}
	if len(bodies) == 0 {
		r.addFault(first, "document is empty; write \"sections: []\" for one without sections")
		return nil
	}
	for _, b := range bodies[1:] {
		r.addFault(nodePosition(b), "file has more than one YAML document")
	}
	return bodies[0]
}

func (r *decoder) addSyntaxFault(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		r.addFault(syntax.Token.Position, "syntax: %s", syntax.Message)
		return
	}
	first, _, _ := strings.Cut(err.Error(), "\n")
	r.addFault(&token.Position{}, "syntax: %s", first)
}

// invalidByte returns the position of the first byte that is not UTF-8.
func invalidBytePosition(data []byte) *token.Position {
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
func nodePosition(n ast.Node) *token.Position {
	switch v := n.(type) {
	case *ast.MappingNode:
		if !v.IsFlowStyle && len(v.Values) > 0 {
			return nodePosition(v.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return nodePosition(v.Key)
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position
	}
	return &token.Position{}
}

// field reads the value of one key into a place.
type fieldDecoder func(at location, n ast.Node)

// mapping reads a mapping with the given fields.
func (r *decoder) decodeMapping(at location, n ast.Node, what string, fields map[string]fieldDecoder) bool {
	var values []*ast.MappingValueNode
	switch v := n.(type) {
	case *ast.MappingNode:
		values = v.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{v}
	default:
		r.addTypeFault(at, n, "%s must be a mapping, but is %s", what, nodeTypeName(n))
		return false
	}
	r.positions[at] = nodePosition(n)
	seen := map[string]*token.Position{}
	for _, v := range values {
		key, ok := v.Key.(*ast.StringNode)
		if !ok {
			r.addFault(nodePosition(v.Key), "%s: key must be a plain word, but is %s", what, nodeTypeName(v.Key))
			continue
		}
		read, ok := fields[key.Value]
		if !ok {
			r.addFault(nodePosition(key), "%s: unknown key %q", what, key.Value)
			continue
		}
		if before := seen[key.Value]; before != nil {
			r.addFault(nodePosition(key), "%s: duplicate key %q, first in line %d", what, key.Value, before.Line)
			continue
		}
		seen[key.Value] = nodePosition(key)
		r.positions[at.withField(key.Value)] = nodePosition(v.Value)
		read(at.withField(key.Value), v.Value)
	}
	return true
}

// sequence reads each element of a list.
func (r *decoder) decodeSequence(at location, n ast.Node, read func(i int, n ast.Node)) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		r.addTypeFault(at, n, "%s must be a list, but is %s", at.field, nodeTypeName(n))
		return
	}
	for i, value := range list.Values {
		read(i, value)
	}
}

func (r *decoder) decodeDocument(root ast.Node) Document {
	var d Document
	var listed bool
	ok := r.decodeMapping(location{}, root, "document", map[string]fieldDecoder{
		"sections": func(at location, n ast.Node) {
			listed = true
			r.decodeSequence(at, n, func(_ int, n ast.Node) {
				at := location{section: len(d.Sections) + 1}
				if s, ok := r.decodeSection(at, n); ok {
					d.Sections = append(d.Sections, s)
				}
			})
		},
	})
	if ok && !listed {
		r.addFault(nodePosition(root), "document: key \"sections\" is missing")
	}
	return d
}

func (r *decoder) decodeSection(at location, n ast.Node) (Section, bool) {
	var s Section
	ok := r.decodeMapping(at, n, "section", map[string]fieldDecoder{
		"name":   stringField(r, &s.Name),
		"team":   stringField(r, &s.Team),
		"limits": func(at location, n ast.Node) { s.Limits = r.decodeLimits(at, n) },
		"services": func(list location, n ast.Node) {
			r.decodeSequence(list, n, func(_ int, n ast.Node) {
				at := location{section: at.section, itemKind: serviceItem, item: len(s.Services) + 1}
				if v, ok := r.decodeService(at, n); ok {
					s.Services = append(s.Services, v)
				}
			})
		},
		"routes": func(list location, n ast.Node) {
			r.decodeSequence(list, n, func(_ int, n ast.Node) {
				at := location{section: at.section, itemKind: routeItem, item: len(s.Routes) + 1}
				if v, ok := r.decodeRoute(at, n); ok {
					s.Routes = append(s.Routes, v)
				}
			})
		},
	})
	if !ok {
		delete(r.invalid, at) // the next section gets this place
	}
	return s, ok
}

func (r *decoder) decodeService(at location, n ast.Node) (Service, bool) {
	var s Service
	ok := r.decodeMapping(at, n, "service", map[string]fieldDecoder{
		"name":            stringField[backend.ServiceName](r, &s.Name),
		"slots":           uintField(r, &s.Slots, 65535),
		"connections":     uintField(r, &s.Connections, 65535),
		"warm-up":         r.durationField(&s.WarmUp),
		"suspended-hosts": stringListField[host.ID](r, &s.SuspendedHosts),
		"health-path":     stringField(r, &s.HealthPath),
	})
	if !ok {
		delete(r.invalid, at)
	}
	return s, ok
}

func (r *decoder) decodeRoute(at location, n ast.Node) (Route, bool) {
	var v Route
	ok := r.decodeMapping(at, n, "route", map[string]fieldDecoder{
		"name":           stringField(r, &v.Name),
		"authority":      stringField(r, &v.Authority),
		"path-prefix":    stringField(r, &v.PathPrefix),
		"literal-prefix": r.boolField(&v.LiteralPrefix),
		"methods":        stringListField(r, &v.Methods),
		"service":        stringField(r, &v.Service),
		"split": func(list location, n ast.Node) {
			r.decodeSequence(list, n, func(i int, n ast.Node) { v.Split = append(v.Split, r.decodeShare(list.withElement(i), n)) })
		},
		"timeout":      r.durationField(&v.Timeout),
		"target":       r.durationField(&v.Target),
		"retries":      uintField(r, &v.Retries, MaxRetries),
		"priority":     uintField(r, &v.Priority, 255),
		"paid":         r.boolField(&v.Paid),
		"at-most-once": r.boolField(&v.AtMostOnce),
	})
	if !ok {
		delete(r.invalid, at)
	}
	return v, ok
}

func (r *decoder) decodeShare(at location, n ast.Node) Share {
	var s Share
	r.decodeMapping(at, n, "share", map[string]fieldDecoder{
		"service": stringField(r, &s.Service),
		"weight":  uintField(r, &s.Weight, 1<<31),
	})
	return s
}

// limits reads the bounds of what callers may send.
func (r *decoder) decodeLimits(at location, n ast.Node) *Limits {
	var l Limits
	r.decodeMapping(at, n, "limits", map[string]fieldDecoder{
		"header-bytes":   uintField(r, &l.HeaderBytes, 1<<31),
		"body-bytes":     uintField(r, &l.BodyBytes, 1<<62),
		"header-timeout": r.durationField(&l.HeaderTimeout),
		"idle-timeout":   r.durationField(&l.IdleTimeout),
	})
	return &l
}

func stringField[T ~string](r *decoder, to *T) fieldDecoder {
	return func(at location, n ast.Node) {
		if v, ok := n.(*ast.StringNode); ok {
			*to = T(v.Value)
			return
		}
		r.addTypeFault(at, n, "%s must be a string, but is %s", at.field, nodeTypeName(n))
	}
}

func stringListField[T ~string](r *decoder, to *[]T) fieldDecoder {
	return func(at location, n ast.Node) {
		r.decodeSequence(at, n, func(i int, n ast.Node) {
			var element T
			r.positions[at.withElement(i)] = nodePosition(n)
			if v, ok := n.(*ast.StringNode); ok {
				element = T(v.Value)
			} else {
				r.addTypeFault(at.withElement(i), n, "%s must be a list of strings, but element %d is %s", at.field, i+1, nodeTypeName(n))
			}
			*to = append(*to, element)
		})
	}
}

func uintField[T uint8 | uint16 | uint32 | uint64](r *decoder, to *T, most uint64) fieldDecoder {
	return func(at location, n ast.Node) {
		v, ok := n.(*ast.IntegerNode)
		if !ok {
			r.addTypeFault(at, n, "%s must be a whole number, but is %s", at.field, nodeTypeName(n))
			return
		}
		spelling := v.GetToken().Value
		value, err := strconv.ParseUint(spelling, 10, 64)
		if err != nil || value > most || !numberPattern.MatchString(spelling) {
			r.addTypeFault(at, n, "%s must be a decimal number up to %d, but is %s", at.field, most, spelling)
			return
		}
		*to = T(value)
	}
}

func (r *decoder) durationField(to *time.Duration) fieldDecoder {
	return func(at location, n ast.Node) {
		v, ok := n.(*ast.StringNode)
		if !ok {
			r.addTypeFault(at, n, "%s must be a duration with a unit, such as 500ms, but is %s", at.field, nodeTypeName(n))
			return
		}
		d, err := time.ParseDuration(v.Value)
		if err != nil || v.Value == "0" {
			r.addTypeFault(at, n, "%s must be a duration with a unit, such as 500ms, but is %q", at.field, v.Value)
			return
		}
		*to = d
	}
}

func (r *decoder) boolField(to *bool) fieldDecoder {
	return func(at location, n ast.Node) {
		v, ok := n.(*ast.BoolNode)
		if !ok {
			r.addTypeFault(at, n, "%s must be true or false, but is %s", at.field, nodeTypeName(n))
			return
		}
		*to = v.Value
	}
}

// typeName names the type of a node in an error.
func nodeTypeName(n ast.Node) string {
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
