package document

import (
	"github.com/goccy/go-yaml/token"
)

// maxKeys is the number of keys in one mapping. The parser takes time
// quadratic in it, and no mapping of a document has as many.
const maxMappingKeys = 64

// frame is an open list or mapping.
type openCollection struct {
	column   int
	flow     bool
	list     bool
	keyCount int
}

// nesting follows the open lists and mappings of a token sequence, so that the
// recursive parser is not started on text that is nested too deeply.
type nestingTracker struct {
	stack          []openCollection
	lastLine       int  // of the token before
	afterIndicator bool // the token before began a list element or an explicit key
	properties     int  // consecutive tags, anchors and aliases
	afterAnchor    bool // the token before was an anchor or alias, whose name follows
}

// scan returns the first token at which a limit is exceeded and says which, or
// nil.
func checkYAMLLimits(tokens token.Tokens) (*token.Token, string) {
	var n nestingTracker
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
		n.next(t)
		if len(n.stack) > MaxNestingDepth || n.properties > MaxNestingDepth {
			return t, "lists and mappings are nested too deeply"
		}
		if len(n.stack) > 0 && n.stack[len(n.stack)-1].keyCount > maxMappingKeys {
			return t, "mapping has too many keys"
		}
	}
	return nil, ""
}

func (n *nestingTracker) next(t *token.Token) {
	inFlow := len(n.stack) > 0 && n.stack[len(n.stack)-1].flow
	starts := !inFlow && (n.afterIndicator || t.Position.Line != n.lastLine)
	n.lastLine, n.afterIndicator = t.Position.Line, false
	n.countProperty(t.Type)
	switch t.Type {
	case token.DocumentHeaderType, token.DocumentEndType:
		n.stack = n.stack[:0]
	case token.SequenceEntryType, token.MappingKeyType:
		n.closeBlocks(t.Position.Column)
		n.stack = append(n.stack, openCollection{column: t.Position.Column, list: true})
		n.afterIndicator = true
	case token.MappingStartType, token.SequenceStartType:
		if starts {
			n.closeBlocks(t.Position.Column)
		}
		n.stack = append(n.stack, openCollection{flow: true})
	case token.MappingEndType, token.SequenceEndType:
		if inFlow {
			n.stack = n.stack[:len(n.stack)-1]
		}
	default:
		if starts {
			n.openMapping(t.Position.Column)
		}
		if t.Type == token.MappingValueType && len(n.stack) > 0 {
			n.stack[len(n.stack)-1].keyCount++
		}
	}
}

// mark counts the tags, anchors and aliases in a row.
func (n *nestingTracker) countProperty(t token.Type) {
	named := n.afterAnchor
	n.afterAnchor = t == token.AnchorType || t == token.AliasType
	switch {
	case n.afterAnchor || t == token.TagType:
		n.properties++
	case !named:
		n.properties = 0
	}
}

// close closes the block lists and mappings that a token in the given column
// ends. A list may stand in the column of the key that it belongs to.
func (n *nestingTracker) closeBlocks(column int) {
	for len(n.stack) > 0 {
		top := n.stack[len(n.stack)-1]
		if top.flow || top.column < column || top.column == column && !top.list {
			return
		}
		n.stack = n.stack[:len(n.stack)-1]
	}
}

// open closes what a key or scalar in the given column ends, and opens a
// mapping there unless it continues one.
func (n *nestingTracker) openMapping(column int) {
	n.closeBlocks(column)
	if len(n.stack) > 0 {
		if top := n.stack[len(n.stack)-1]; !top.flow && top.column == column {
			return
		}
	}
	n.stack = append(n.stack, openCollection{column: column})
}
