package document

import (
	"github.com/goccy/go-yaml/token"
)

// maxMappingKeys limits the keys of one mapping, because the parser takes time
// quadratic in them. No mapping of a valid document has as many.
const maxMappingKeys = 64

// openCollection is a list or mapping that has not ended yet.
type openCollection struct {
	column   int
	flow     bool
	list     bool
	keyCount int
}

// nestingTracker tracks the open lists and mappings in a sequence of tokens. It is
// used to reject deeply nested text before the parser, which is recursive, runs.
type nestingTracker struct {
	stack          []openCollection
	lastLine       int  // line of the previous token
	afterIndicator bool // the previous token began a list element or an explicit key
	properties     int  // number of consecutive tags, anchors and aliases
	afterAnchor    bool // the previous token was an anchor or alias indicator; its name follows
}

// checkYAMLLimits returns the first token that exceeds a limit and a message that
// names the limit. It returns a nil token if there is none.
func checkYAMLLimits(tokens token.Tokens) (*token.Token, string) {
	var n nestingTracker
	documentHeaders := 0
	for _, t := range tokens {
		if t.Type == token.CommentType {
			continue
		}
		if t.Type == token.DocumentHeaderType {
			documentHeaders++
		}
		if documentHeaders > 1 { // the parser takes time quadratic in their number
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

// next updates the state with the next token.
func (n *nestingTracker) next(t *token.Token) {
	inFlow := len(n.stack) > 0 && n.stack[len(n.stack)-1].flow
	startsBlock := !inFlow && (n.afterIndicator || t.Position.Line != n.lastLine)
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
		if startsBlock {
			n.closeBlocks(t.Position.Column)
		}
		n.stack = append(n.stack, openCollection{flow: true})
	case token.MappingEndType, token.SequenceEndType:
		if inFlow {
			n.stack = n.stack[:len(n.stack)-1]
		}
	default:
		if startsBlock {
			n.openMapping(t.Position.Column)
		}
		if t.Type == token.MappingValueType && len(n.stack) > 0 {
			n.stack[len(n.stack)-1].keyCount++
		}
	}
}

// countProperty counts consecutive tags, anchors and aliases.
func (n *nestingTracker) countProperty(t token.Type) {
	isName := n.afterAnchor
	n.afterAnchor = t == token.AnchorType || t == token.AliasType
	switch {
	case n.afterAnchor || t == token.TagType:
		n.properties++
	case !isName:
		n.properties = 0
	}
}

// closeBlocks closes the block lists and mappings that end before a token in the
// given column. A list may be in the same column as its key.
func (n *nestingTracker) closeBlocks(column int) {
	for len(n.stack) > 0 {
		top := n.stack[len(n.stack)-1]
		if top.flow || top.column < column || top.column == column && !top.list {
			return
		}
		n.stack = n.stack[:len(n.stack)-1]
	}
}

// openMapping closes the blocks that end before a key or scalar in the given
// column. It opens a mapping in this column unless one is already open.
func (n *nestingTracker) openMapping(column int) {
	n.closeBlocks(column)
	if len(n.stack) > 0 {
		if top := n.stack[len(n.stack)-1]; !top.flow && top.column == column {
			return
		}
	}
	n.stack = append(n.stack, openCollection{column: column})
}
