package document

import (
	"github.com/goccy/go-yaml/token"
)

// maxKeys is the number of keys in one mapping. The parser takes time
// quadratic in it, and no mapping of a document has as many.
const maxKeys = 64

// frame is an open list or mapping.
type frame struct {
	column int
	flow   bool
	list   bool
	keys   int
}

// nesting follows the open lists and mappings of a token sequence, so that the
// recursive parser is not started on text that is nested too deeply.
type nesting struct {
	frames []frame
	line   int  // of the token before
	opened bool // the token before began a list element or an explicit key
	marks  int  // consecutive tags, anchors and aliases
	named  bool // the token before was an anchor or alias, whose name follows
}

// scan returns the first token at which a limit is exceeded and says which, or
// nil.
func scan(tokens token.Tokens) (*token.Token, string) {
	var n nesting
	headers := 0
	for _, t := range tokens {
		if t.Type == token.CommentType {
			continue
		}
		if t.Type == token.DocumentHeaderType {
			headers++
		}
		if headers > 1 { // the parser takes time quadratic in them
			return t, "file has more than one YAML document"
		}
		n.step(t)
		if len(n.frames) > MaxDepth || n.marks > MaxDepth {
			return t, "lists and mappings are nested too deeply"
		}
		if len(n.frames) > 0 && n.frames[len(n.frames)-1].keys > maxKeys {
			return t, "mapping has too many keys"
		}
	}
	return nil, ""
}

func (n *nesting) step(t *token.Token) {
	inFlow := len(n.frames) > 0 && n.frames[len(n.frames)-1].flow
	starts := !inFlow && (n.opened || t.Position.Line != n.line)
	n.line, n.opened = t.Position.Line, false
	n.mark(t.Type)
	switch t.Type {
	case token.DocumentHeaderType, token.DocumentEndType:
		n.frames = n.frames[:0]
	case token.SequenceEntryType, token.MappingKeyType:
		n.close(t.Position.Column)
		n.frames = append(n.frames, frame{column: t.Position.Column, list: true})
		n.opened = true
	case token.MappingStartType, token.SequenceStartType:
		if starts {
			n.close(t.Position.Column)
		}
		n.frames = append(n.frames, frame{flow: true})
	case token.MappingEndType, token.SequenceEndType:
		if inFlow {
			n.frames = n.frames[:len(n.frames)-1]
		}
	default:
		if starts {
			n.open(t.Position.Column)
		}
		if t.Type == token.MappingValueType && len(n.frames) > 0 {
			n.frames[len(n.frames)-1].keys++
		}
	}
}

// mark counts the tags, anchors and aliases in a row.
func (n *nesting) mark(t token.Type) {
	named := n.named
	n.named = t == token.AnchorType || t == token.AliasType
	switch {
	case n.named || t == token.TagType:
		n.marks++
	case !named:
		n.marks = 0
	}
}

// close closes the block lists and mappings that a token in the given column
// ends. A list may stand in the column of the key that it belongs to.
func (n *nesting) close(column int) {
	for len(n.frames) > 0 {
		top := n.frames[len(n.frames)-1]
		if top.flow || top.column < column || top.column == column && !top.list {
			return
		}
		n.frames = n.frames[:len(n.frames)-1]
	}
}

// open closes what a key or scalar in the given column ends, and opens a
// mapping there unless it continues one.
func (n *nesting) open(column int) {
	n.close(column)
	if len(n.frames) > 0 {
		if top := n.frames[len(n.frames)-1]; !top.flow && top.column == column {
			return
		}
	}
	n.frames = append(n.frames, frame{column: column})
}
