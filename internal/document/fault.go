package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a document. Line and Column count from one; Line zero
// means that the document has no positions.
type Fault struct {
	File    string
	Line    int
	Column  int
	Message string
}

// Error returns "file:line:column: message", or the message alone when the
// fault has no position.
func (f Fault) Error() string {
	if f.Line == 0 {
		return f.Message
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Faults lists all errors of a document in the order of their positions.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// sort orders the faults by position; faults of one position stay in the order
// in which they were found.
func (f Faults) sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
