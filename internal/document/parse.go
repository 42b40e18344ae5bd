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

// maxFaults limits the faults that are reported for one document. Operators would
// not read more.
const maxFaults = 1000

// numberPattern accepts only plain decimal numbers, without a sign, base prefix,
// underscore or leading zero.
var numberPattern = regexp.MustCompile(`^(0|[1-9][0-9]*)$`)

// Parse parses and checks a document. The file name is only used in errors. The
// error is of type Faults and lists the first maxFaults faults by position, but none
// after a syntax error. The returned document is in canonical order.
func Parse(file string, data []byte) (Document, error) {
	dec := decoder{file: file, positions: map[location]*token.Position{}, invalid: map[location]bool{}}
	d := dec.parseAndCheck(data)
	if len(dec.faults) > 0 {
		dec.faults.sort()
		return Document{}, dec.faults[:min(len(dec.faults), maxFaults)]
	}
	return Canonical(d), nil
}

// decoder decodes a YAML syntax tree into a document. It records the position of
// each part of the document for the faults that the checker finds.
type decoder struct {
	file      string
	faults    Faults
	positions map[location]*token.Position
	invalid   map[location]bool // values of a wrong type, which the checker skips
}

func (dec *decoder) parseAndCheck(data []byte) Document {
	root := dec.parseTree(data)
	if root == nil {
		return Document{}
	}
	d := dec.decodeDocument(root)
	c := checker{faults: dec.faults, report: dec.addCheckerFault}
	c.checkDocument(d)
	dec.faults = c.faults
	return d
}

// addCheckerFault adds a fault found by the checker. It skips values of a wrong
// type: they were decoded as zero, and the type fault is already reported.
func (dec *decoder) addCheckerFault(faults *Faults, at location, message string) {
	var position *token.Position
	for p, ok := at, true; ok; p, ok = p.parent() {
		if dec.invalid[p] {
			return
		}
		if position == nil {
			position = dec.positions[p]
		}
	}
	if position == nil {
		position = &token.Position{Line: 1, Column: 1}
	}
	*faults = append(*faults, Fault{File: dec.file, Line: position.Line, Column: position.Column, Message: message})
}

func (dec *decoder) addFault(at *token.Position, format string, args ...any) {
	dec.faults = append(dec.faults, Fault{File: dec.file, Line: max(at.Line, 1), Column: max(at.Column, 1), Message: fmt.Sprintf(format, args...)})
}

// addTypeFault adds a fault and marks the value so that the checker skips it.
func (dec *decoder) addTypeFault(at location, n ast.Node, format string, args ...any) {
	dec.invalid[at] = true
	dec.addFault(nodePosition(n), format, args...)
}

// parseTree returns the root node, or nil if a fault prevents decoding.
func (dec *decoder) parseTree(data []byte) ast.Node {
	first := &token.Position{Line: 1, Column: 1}
	if len(data) > MaxBytes {
		dec.addFault(first, "document has %d bytes, more than %d", len(data), MaxBytes)
		return nil
	}
	if !utf8.Valid(data) {
		dec.addFault(invalidBytePosition(data), "document is not valid UTF-8")
		return nil
	}
	tokens := lexer.Tokenize(string(data))
	if t, problem := checkYAMLLimits(tokens); t != nil {
		dec.addFault(t.Position, "%s", problem)
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		dec.addSyntaxFault(err)
		return nil
	}
	var bodies []ast.Node
	for _, d := range file.Docs {
		if d.Body != nil {
			bodies = append(bodies, d.Body)
		}
	}
	if len(bodies) == 0 {
		dec.addFault(first, "document is empty; write \"sections: []\" for one without sections")
		return nil
	}
	for _, b := range bodies[1:] {
		dec.addFault(nodePosition(b), "file has more than one YAML document")
	}
	return bodies[0]
}

func (dec *decoder) addSyntaxFault(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		dec.addFault(syntax.Token.Position, "syntax: %s", syntax.Message)
		return
	}
	first, _, _ := strings.Cut(err.Error(), "\n")
	dec.addFault(&token.Position{}, "syntax: %s", first)
}

// invalidBytePosition returns the position of the first byte that is not UTF-8.
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

// nodePosition returns where a node begins in the text. For a block mapping this
// is its first key, because the token of the node is the colon after that key.
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

// fieldDecoder decodes the value of one key. The location is that of the value.
type fieldDecoder func(at location, n ast.Node)

// decodeMapping decodes a mapping with the given fields. It reports whether the
// node is a mapping.
func (dec *decoder) decodeMapping(at location, n ast.Node, what string, fields map[string]fieldDecoder) bool {
	var values []*ast.MappingValueNode
	switch v := n.(type) {
	case *ast.MappingNode:
		values = v.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{v}
	default:
		dec.addTypeFault(at, n, "%s must be a mapping, but is %s", what, nodeTypeName(n))
		return false
	}
	dec.positions[at] = nodePosition(n)
	seen := map[string]*token.Position{}
	for _, v := range values {
		key, ok := v.Key.(*ast.StringNode)
		if !ok {
			dec.addFault(nodePosition(v.Key), "%s: key must be a string, but is %s", what, nodeTypeName(v.Key))
			continue
		}
		decode, ok := fields[key.Value]
		if !ok {
			dec.addFault(nodePosition(key), "%s: unknown key %q", what, key.Value)
			continue
		}
		if before := seen[key.Value]; before != nil {
			dec.addFault(nodePosition(key), "%s: duplicate key %q, first in line %d", what, key.Value, before.Line)
			continue
		}
		seen[key.Value] = nodePosition(key)
		dec.positions[at.withField(key.Value)] = nodePosition(v.Value)
		decode(at.withField(key.Value), v.Value)
	}
	return true
}

// decodeSequence calls read for each element of a list.
func (dec *decoder) decodeSequence(at location, n ast.Node, read func(i int, n ast.Node)) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		dec.addTypeFault(at, n, "%s must be a list, but is %s", at.field, nodeTypeName(n))
		return
	}
	for i, value := range list.Values {
		read(i, value)
	}
}

func (dec *decoder) decodeDocument(root ast.Node) Document {
	var d Document
	var listed bool
	ok := dec.decodeMapping(location{}, root, "document", map[string]fieldDecoder{
		"sections": func(at location, n ast.Node) {
			listed = true
			dec.decodeSequence(at, n, func(_ int, n ast.Node) {
				at := location{section: len(d.Sections) + 1}
				if s, ok := dec.decodeSection(at, n); ok {
					d.Sections = append(d.Sections, s)
				}
			})
		},
	})
	if ok && !listed {
		dec.addFault(nodePosition(root), "document: key \"sections\" is missing")
	}
	return d
}

func (dec *decoder) decodeSection(at location, n ast.Node) (Section, bool) {
	var s Section
	ok := dec.decodeMapping(at, n, "section", map[string]fieldDecoder{
		"name":          stringField(dec, &s.Name),
		"team":          stringField(dec, &s.Team),
		"limits":        func(at location, n ast.Node) { s.Limits = dec.decodeLimits(at, n) },
		"keys-required": dec.boolField(&s.KeysRequired),
		"services": func(list location, n ast.Node) {
			dec.decodeSequence(list, n, func(_ int, n ast.Node) {
				at := location{section: at.section, itemKind: serviceItem, item: len(s.Services) + 1}
				if v, ok := dec.decodeService(at, n); ok {
					s.Services = append(s.Services, v)
				}
			})
		},
		"routes": func(list location, n ast.Node) {
			dec.decodeSequence(list, n, func(_ int, n ast.Node) {
				at := location{section: at.section, itemKind: routeItem, item: len(s.Routes) + 1}
				if v, ok := dec.decodeRoute(at, n); ok {
					s.Routes = append(s.Routes, v)
				}
			})
		},
		"organisations": func(list location, n ast.Node) {
			dec.decodeSequence(list, n, func(_ int, n ast.Node) {
				at := location{section: at.section, itemKind: organisationItem, item: len(s.Organisations) + 1}
				if v, ok := dec.decodeOrganisation(at, n); ok {
					s.Organisations = append(s.Organisations, v)
				}
			})
		},
	})
	if !ok {
		delete(dec.invalid, at) // the next section gets this location
	}
	return s, ok
}

func (dec *decoder) decodeService(at location, n ast.Node) (Service, bool) {
	var s Service
	ok := dec.decodeMapping(at, n, "service", map[string]fieldDecoder{
		"name":            stringField[backend.ServiceName](dec, &s.Name),
		"slots":           uintField(dec, &s.Slots, 65535),
		"connections":     uintField(dec, &s.Connections, 65535),
		"warm-up":         dec.durationField(&s.WarmUp),
		"suspended-hosts": stringListField[host.ID](dec, &s.SuspendedHosts),
		"health-path":     stringField(dec, &s.HealthPath),
	})
	if !ok {
		delete(dec.invalid, at)
	}
	return s, ok
}

func (dec *decoder) decodeRoute(at location, n ast.Node) (Route, bool) {
	var v Route
	ok := dec.decodeMapping(at, n, "route", map[string]fieldDecoder{
		"name":           stringField(dec, &v.Name),
		"authority":      stringField(dec, &v.Authority),
		"path-prefix":    stringField(dec, &v.PathPrefix),
		"literal-prefix": dec.boolField(&v.LiteralPrefix),
		"methods":        stringListField(dec, &v.Methods),
		"service":        stringField(dec, &v.Service),
		"split": func(list location, n ast.Node) {
			dec.decodeSequence(list, n, func(i int, n ast.Node) { v.Split = append(v.Split, dec.decodeShare(list.withElement(i), n)) })
		},
		"timeout":      dec.durationField(&v.Timeout),
		"target":       dec.durationField(&v.Target),
		"retries":      uintField(dec, &v.Retries, MaxRetries),
		"priority":     uintField(dec, &v.Priority, 255),
		"paid":         dec.boolField(&v.Paid),
		"at-most-once": dec.boolField(&v.AtMostOnce),
		"public":       dec.boolField(&v.Public),
	})
	if !ok {
		delete(dec.invalid, at)
	}
	return v, ok
}

func (dec *decoder) decodeShare(at location, n ast.Node) Share {
	var s Share
	dec.decodeMapping(at, n, "share", map[string]fieldDecoder{
		"service": stringField(dec, &s.Service),
		"weight":  uintField(dec, &s.Weight, 1<<31),
	})
	return s
}

// decodeLimits decodes the limits of caller requests.
func (dec *decoder) decodeLimits(at location, n ast.Node) *Limits {
	var l Limits
	dec.decodeMapping(at, n, "limits", map[string]fieldDecoder{
		"header-bytes":   uintField(dec, &l.HeaderBytes, 1<<31),
		"body-bytes":     uintField(dec, &l.BodyBytes, 1<<62),
		"header-timeout": dec.durationField(&l.HeaderTimeout),
		"idle-timeout":   dec.durationField(&l.IdleTimeout),
	})
	return &l
}

func stringField[T ~string](dec *decoder, to *T) fieldDecoder {
	return func(at location, n ast.Node) {
		if v, ok := n.(*ast.StringNode); ok {
			*to = T(v.Value)
			return
		}
		dec.addTypeFault(at, n, "%s must be a string, but is %s", at.field, nodeTypeName(n))
	}
}

func stringListField[T ~string](dec *decoder, to *[]T) fieldDecoder {
	return func(at location, n ast.Node) {
		dec.decodeSequence(at, n, func(i int, n ast.Node) {
			var element T
			dec.positions[at.withElement(i)] = nodePosition(n)
			if v, ok := n.(*ast.StringNode); ok {
				element = T(v.Value)
			} else {
				dec.addTypeFault(at.withElement(i), n, "%s must be a list of strings, but element %d is %s", at.field, i+1, nodeTypeName(n))
			}
			*to = append(*to, element)
		})
	}
}

func uintField[T uint8 | uint16 | uint32 | uint64](dec *decoder, to *T, limit uint64) fieldDecoder {
	return func(at location, n ast.Node) {
		v, ok := n.(*ast.IntegerNode)
		if !ok {
			dec.addTypeFault(at, n, "%s must be a whole number, but is %s", at.field, nodeTypeName(n))
			return
		}
		literal := v.GetToken().Value
		value, err := strconv.ParseUint(literal, 10, 64)
		if err != nil || value > limit || !numberPattern.MatchString(literal) {
			dec.addTypeFault(at, n, "%s must be a decimal number up to %d, but is %s", at.field, limit, literal)
			return
		}
		*to = T(value)
	}
}

func (dec *decoder) durationField(to *time.Duration) fieldDecoder {
	return func(at location, n ast.Node) {
		v, ok := n.(*ast.StringNode)
		if !ok {
			dec.addTypeFault(at, n, "%s must be a duration with a unit, such as 500ms, but is %s", at.field, nodeTypeName(n))
			return
		}
		d, err := time.ParseDuration(v.Value)
		if err != nil || v.Value == "0" {
			dec.addTypeFault(at, n, "%s must be a duration with a unit, such as 500ms, but is %q", at.field, v.Value)
			return
		}
		*to = d
	}
}

func (dec *decoder) boolField(to *bool) fieldDecoder {
	return func(at location, n ast.Node) {
		v, ok := n.(*ast.BoolNode)
		if !ok {
			dec.addTypeFault(at, n, "%s must be true or false, but is %s", at.field, nodeTypeName(n))
			return
		}
		*to = v.Value
	}
}

// nodeTypeName returns the type of a node for an error message.
func nodeTypeName(n ast.Node) string {
	switch v := n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode:
		return "a string"
	case *ast.LiteralNode:
		return "a block scalar"
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
