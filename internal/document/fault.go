package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a document. Line and Column start at one; a zero Line
// means that the position is not known.
type Fault struct {
	File    string
	Line    int
	Column  int
	Message string
}

// Error returns "file:line:column: message", or only the message if the fault has
// no position.
func (f Fault) Error() string {
	if f.Line == 0 {
		return f.Message
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Faults is a list of errors in a document or a submission. Parse sorts it by
// position and limits its length to maxFaults.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// sort sorts the faults by position. Faults at the same position keep their
// order.
func (f Faults) sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
