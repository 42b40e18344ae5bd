package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"
)

// reporter prints measurements as tables, or as JSON objects one per line.
type reporter struct {
	out  io.Writer
	json bool
}

// column is a named value of a measurement.
type column struct {
	name  string // with the unit, in kebab case
	value any
}

// row is one measurement.
type row []column

// MarshalJSON keeps the order of the columns.
func (r row) MarshalJSON() ([]byte, error) {
	var b strings.Builder
	b.WriteByte('{')
	for i, c := range r {
		value, err := json.Marshal(c.value)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", c.name, err)
		}
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%q:%s", c.name, value)
	}
	b.WriteByte('}')
	return []byte(b.String()), nil
}

// print writes the rows of one table. Rows have the same columns.
func (r *reporter) printTable(title string, rows ...row) error {
	if len(rows) == 0 {
		return nil
	}
	if r.json {
		for _, columns := range rows {
			data, err := json.Marshal(append(row{{"measurement", title}, {"load", loadAverage()}}, columns...))
			if err != nil {
				return err
			}
			fmt.Fprintf(r.out, "%s\n", data)
		}
		return nil
	}
	fmt.Fprintf(r.out, "\n%s (load of the machine %s)\n", title, loadAverage())
	w := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	var names []string
	for _, c := range rows[0] {
		names = append(names, c.name)
	}
	fmt.Fprintln(w, strings.Join(names, "\t"))
	for _, row := range rows {
		var cells []string
		for _, c := range row {
			cells = append(cells, formatCell(c.value))
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

// note prints a line next to the tables.
func (r *reporter) printNote(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if r.json {
		_ = json.NewEncoder(r.out).Encode(map[string]string{"note": text})
		return
	}
	fmt.Fprintln(r.out, text)
}

func formatCell(value any) string {
	if f, ok := value.(float64); ok {
		return formatNumber(f)
	}
	return fmt.Sprint(value)
}

// number keeps three digits of small numbers.
func formatNumber(f float64) string {
	switch {
	case f >= 100 || f == float64(int64(f)):
		return fmt.Sprintf("%.0f", f)
	case f >= 10:
		return fmt.Sprintf("%.1f", f)
	default:
		return fmt.Sprintf("%.2f", f)
	}
}

// loadAverage returns the load of the machine over the last minute, or "?"
// where the system does not tell it.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "?"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
