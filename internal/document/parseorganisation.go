package document

import (
	"regexp"
	"strconv"

	"github.com/goccy/go-yaml/ast"
)

// decimalPattern accepts only plain decimal numbers, with or without a fraction.
var decimalPattern = regexp.MustCompile(`^(0|[1-9][0-9]*)(\.[0-9]+)?$`)

func (dec *decoder) decodeOrganisation(at location, n ast.Node) (Organisation, bool) {
	var o Organisation
	ok := dec.decodeMapping(at, n, "organisation", map[string]fieldDecoder{
		"name":        stringField(dec, &o.Name),
		"key-digests": dec.keyDigestsField(&o.KeyDigests),
		"priority": func(at location, n ast.Node) {
			o.Priority = new(uint8)
			uintField(dec, o.Priority, 255)(at, n)
		},
		"rate-per-second": decimalField(dec, &o.RatePerSecond),
		"burst":           decimalField(dec, &o.Burst),
	})
	if !ok {
		delete(dec.invalid, at)
	}
	return o, ok
}

// keyDigestsField decodes a list of digests. Its faults do not quote an element, which
// may be a key.
func (dec *decoder) keyDigestsField(to *[]KeyDigest) fieldDecoder {
	return func(at location, n ast.Node) {
		dec.decodeSequence(at, n, func(i int, n ast.Node) {
			at := at.withElement(i)
			dec.positions[at] = nodePosition(n)
			var digest KeyDigest
			if v, ok := n.(*ast.StringNode); !ok {
				dec.addTypeFault(at, n, "key-digests must be a list of strings, but element %d is %s", i+1, nodeTypeName(n))
			} else if d, err := ParseKeyDigest(v.Value); err != nil {
				dec.addTypeFault(at, n, "key-digests: element %d: %v", i+1, err)
			} else {
				digest = d
			}
			*to = append(*to, digest)
		})
	}
}

func decimalField[T ~float64](dec *decoder, to *T) fieldDecoder {
	return func(at location, n ast.Node) {
		text := ""
		switch n.(type) {
		case *ast.IntegerNode, *ast.FloatNode:
			text = n.GetToken().Value
		default:
			dec.addTypeFault(at, n, "%s must be a number, but is %s", at.field, nodeTypeName(n))
			return
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !decimalPattern.MatchString(text) {
			dec.addTypeFault(at, n, "%s must be a decimal number, but is %s", at.field, text)
			return
		}
		*to = T(value)
	}
}
