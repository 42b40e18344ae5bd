package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"unicode"
)

// Table is a listing.
type Table struct {
	Header []string
	Rows   [][]string
}

// Add adds a row.
func (t *Table) AddRow(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.Rows = append(t.Rows, row)
}

// Write prints aligned columns with a header on a terminal, and tab-separated
// rows without a header otherwise.
func (t *Table) Write(s Streams) error {
	out := s.Out
	if s.Terminal {
		w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
		defer w.Flush()
		out = w
		if _, err := fmt.Fprintln(w, strings.Join(t.Header, "\t")); err != nil {
			return err
		}
	}
	for _, row := range t.Rows {
		cells := make([]string, len(row))
		for i, c := range row {
			cells[i] = stripControl(strings.Map(func(r rune) rune {
				if r == '\n' || r == '\t' {
					return ' '
				}
				return r
			}, c))
			if cells[i] == "" && s.Terminal {
				cells[i] = "-"
			}
		}
		if _, err := fmt.Fprintln(out, strings.Join(cells, "\t")); err != nil {
			return err
		}
	}
	return nil
}

// printable removes control characters, which could change the terminal. Texts
// of a timeline can come from callers.
func stripControl(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) && r != '\n' && r != '\t' {
			return -1
		}
		return r
	}, s)
}

// JSON prints a value as indented JSON.
func WriteJSON(s Streams, v any) error {
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}
